#include "pools/extension/pending_requests.h"

#include <algorithm>

namespace lemonroute::pools {

std::uint64_t PendingRequests::add(std::string_view grantor, Micros now) {
  while (!pending_.empty() &&
         (pending_.size() >= max_pending || pending_.front().sent_at + terms_.lease <= now))
    pending_.pop_front();
  // An odd step visits all 64-bit numbers before one repeats. Processes start at different numbers.
  last_nonce_ += 0x9e3779b97f4a7c15ull;
  pending_.push_back({last_nonce_, std::string(grantor), now});
  return last_nonce_;
}

std::optional<Micros> PendingRequests::sent_at(std::string_view grantor, std::uint64_t nonce,
                                               Micros now) const {
  const auto found = std::find_if(pending_.begin(), pending_.end(),
                                  [&](auto& one) { return one.nonce == nonce && one.grantor == grantor; });
  if (found == pending_.end() || found->sent_at + terms_.lease <= now)
    return std::nullopt;
  return found->sent_at;
}

}  // namespace lemonroute::pools
