#include "faults/links.h"

#include <algorithm>

namespace lemonroute::rig {
namespace {

std::uint64_t mixed(std::uint64_t seed, const std::string& text) {  // FNV-1a: the same on every machine
  for (const unsigned char c : text + "\n")
    seed = (seed ^ c) * 0x100000001b3u;
  return seed;
}

void set(Faults& faults, const Step& step) {
  switch (step.verb) {
    case Verb::cut:
      faults.cut = true;
      break;
    case Verb::slow:
      faults.slow = step.span;
      break;
    case Verb::lose:
      faults.lose = step.part;
      break;
    case Verb::repeat:
      faults.repeat = step.part;
      break;
    case Verb::reorder:
      faults.reorder = step.part;
      break;
    case Verb::corrupt:
      faults.corrupt = step.part;
      break;
    default:
      faults = {};
  }
}

}  // namespace

Link& Links::between(const std::string& from, const std::string& to) {
  const auto seed = mixed(mixed(seed_ ^ 0xcbf29ce484222325u, from), to);
  return links_.try_emplace({from, to}, seed, period_).first->second;
}

void Links::apply(const Step& step) {
  if (step.names.empty())
    for (auto& [pair, link] : links_)
      set(link.faults, step);
  for (const auto& a : step.names)
    for (const auto& b : step.others) {
      set(between(a, b).faults, step);
      if (step.both_ways)
        set(between(b, a).faults, step);
    }
}

bool Links::whole() const {
  return std::all_of(links_.begin(), links_.end(), [](auto& one) { return one.second.faults.none(); });
}

}  // namespace lemonroute::rig
