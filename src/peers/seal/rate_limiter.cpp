#include "peers/seal/rate_limiter.h"

#include <sodium.h>

#include <algorithm>
#include <cstring>

namespace lemonroute::peers::seal {

static_assert(crypto_shorthash_KEYBYTES == std::tuple_size_v<RateLimiter::Secret>);

bool TokenBucket::take(Micros now, double rate) {
  const double seconds = std::chrono::duration<double>(std::max(Micros(0), now - updated_at_)).count();
  updated_at_ = std::max(updated_at_, now);
  spent_ = std::max(0.0, spent_ - rate * seconds);
  if (spent_ + 1 > std::max(1.0, rate / 2))
    return false;
  spent_ += 1;
  return true;
}

// The bucket of the address is charged first, so that a flooding address does not use up the shared limit.
bool RateLimiter::allow_open(Micros now, std::string_view address) {
  if (const auto found = authenticated_.find(std::string(address)); found != authenticated_.end()) {
    if (now - found->second.authenticated_at <= authenticated_ttl)
      return found->second.bucket.take(now, rates_.per_address) &&
             all_authenticated_.take(now, rates_.authenticated);
    authenticated_.erase(found);
  }
  std::array<unsigned char, crypto_shorthash_BYTES> hash;
  crypto_shorthash(hash.data(), reinterpret_cast<const unsigned char*>(address.data()), address.size(),
                   secret_.data());
  std::uint64_t hash_value;
  std::memcpy(&hash_value, hash.data(), sizeof hash_value);
  auto& bucket = unknown_buckets_[hash_value % unknown_buckets_.size()];
  // One bucket of unknown addresses gets a tenth of the limit, so that up to nine flooding addresses leave
  // room for a router that joins.
  return bucket.take(now, std::min(rates_.per_address, rates_.unknown / 10)) &&
         all_unknown_.take(now, rates_.unknown);
}

void RateLimiter::record_authentic(Micros now, std::string_view address) {
  if (const auto found = authenticated_.find(std::string(address)); found != authenticated_.end()) {
    found->second.authenticated_at = now;
    return;
  }
  if (authenticated_.size() >= max_addresses) {
    // A sweep visits the whole table, so it runs once a second at most and not for each new address.
    if (now - swept_at_ < std::chrono::seconds(1))
      return;
    swept_at_ = now;
    std::erase_if(authenticated_,
                  [&](const auto& one) { return now - one.second.authenticated_at > authenticated_ttl; });
    if (authenticated_.size() >= max_addresses)
      return;
  }
  authenticated_[std::string(address)].authenticated_at = now;
}

}  // namespace lemonroute::peers::seal
