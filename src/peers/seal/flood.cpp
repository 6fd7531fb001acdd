#include "peers/seal/flood.h"

#include <sodium.h>

#include <algorithm>
#include <cstring>

namespace lemonroute::peers::seal {

static_assert(crypto_shorthash_KEYBYTES == std::tuple_size_v<Flood::Secret>);

bool Bucket::take(Micros now, double rate) {
  const double seconds = std::chrono::duration<double>(std::max(Micros(0), now - at_)).count();
  at_ = std::max(at_, now);
  spent_ = std::max(0.0, spent_ - rate * seconds);
  if (spent_ + 1 > std::max(1.0, rate / 2))
    return false;
  spent_ += 1;
  return true;
}

// The address' own bucket is asked first, so that one that floods takes nothing of what is there for all.
bool Flood::look(Micros now, std::string_view address) {
  if (const auto found = proven_.find(std::string(address)); found != proven_.end()) {
    if (now - found->second.proven <= remembered)
      return found->second.bucket.take(now, rates_.address) && all_proven_.take(now, rates_.proven);
    proven_.erase(found);
  }
  std::array<unsigned char, crypto_shorthash_BYTES> hash;
  crypto_shorthash(hash.data(), reinterpret_cast<const unsigned char*>(address.data()), address.size(),
                   secret_.data());
  std::uint64_t spread;
  std::memcpy(&spread, hash.data(), sizeof spread);
  auto& bucket = strange_[spread % strange_.size()];
  // A stranger's own part is a tenth, so that ten that flood leave room for one that joins.
  return bucket.take(now, std::min(rates_.address, rates_.strangers / 10)) &&
         all_strange_.take(now, rates_.strangers);
}

void Flood::prove(Micros now, std::string_view address) {
  if (const auto found = proven_.find(std::string(address)); found != proven_.end()) {
    found->second.proven = now;
    return;
  }
  if (proven_.size() >= most_addresses) {
    // Sweeping costs as much as the table is long, so it is not done for each newcomer.
    if (now - swept_ < std::chrono::seconds(1))
      return;
    swept_ = now;
    std::erase_if(proven_, [&](const auto& one) { return now - one.second.proven > remembered; });
    if (proven_.size() >= most_addresses)
      return;
  }
  proven_[std::string(address)].proven = now;
}

}  // namespace lemonroute::peers::seal
