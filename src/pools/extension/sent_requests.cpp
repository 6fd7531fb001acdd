#include "pools/extension/sent_requests.h"

#include <algorithm>

namespace lemonroute::pools {

std::uint64_t SentRequests::add(std::string_view grantor, Micros now) {
  while (!requests_.empty() &&
         (requests_.size() >= max_requests || requests_.front().sent_at + terms_.lease <= now))
    requests_.pop_front();
  // An odd step visits all 64-bit numbers before one repeats. Processes start at different numbers.
  last_nonce_ += 0x9e3779b97f4a7c15ull;
  requests_.push_back({last_nonce_, std::string(grantor), now});
  return last_nonce_;
}

std::optional<Micros> SentRequests::sent_at(std::string_view grantor, std::uint64_t nonce, Micros now) const {
  const auto found = std::find_if(requests_.begin(), requests_.end(),
                                  [&](auto& one) { return one.nonce == nonce && one.grantor == grantor; });
  if (found == requests_.end() || found->sent_at + terms_.lease <= now)
    return std::nullopt;
  return found->sent_at;
}

}  // namespace lemonroute::pools
