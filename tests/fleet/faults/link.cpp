#include "faults/link.h"

namespace lemonroute::rig {

// splitmix64: a generator of a few lines, whose numbers are the same with every library.
double Link::chance() {
  std::uint64_t x = state_ += 0x9e3779b97f4a7c15u;
  x = (x ^ (x >> 30)) * 0xbf58476d1ce4e5b9u;
  x = (x ^ (x >> 27)) * 0x94d049bb133111ebu;
  return static_cast<double>((x ^ (x >> 31)) >> 11) * 0x1p-53;
}

std::vector<Link::Copy> Link::pass(std::string bytes) {
  if (faults.cut || happens(faults.lose))
    return {};
  std::vector<Copy> copies(happens(faults.repeat) ? 2 : 1);
  for (auto& copy : copies) {
    copy.bytes = bytes;
    copy.after = faults.slow;
    // Held back until later ones have gone by: up to two periods.
    if (happens(faults.reorder))
      copy.after += Micros(static_cast<Micros::rep>(chance() * 2 * static_cast<double>(period_.count())));
    if (happens(faults.corrupt) && !copy.bytes.empty()) {
      const auto at = static_cast<std::size_t>(chance() * static_cast<double>(copy.bytes.size()));
      copy.bytes[at] = static_cast<char>(copy.bytes[at] ^ (1 << static_cast<int>(chance() * 8)));
    }
  }
  // The second of two comes when its first one has been dealt with, or it would not be a late repeat.
  if (copies.size() == 2)
    copies[1].after += Micros(static_cast<Micros::rep>(chance() * static_cast<double>(period_.count())));
  return copies;
}

}  // namespace lemonroute::rig
