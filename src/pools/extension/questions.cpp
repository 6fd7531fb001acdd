#include "pools/extension/questions.h"

#include <algorithm>

namespace lemonroute::pools {

std::uint64_t Questions::ask(std::string_view keeper, Micros now) {
  while (!out_.empty() && (out_.size() >= most || out_.front().sent + terms_.lease <= now))
    out_.pop_front();
  // A step that is odd goes through every number; two processes begin at different ones.
  next_ += 0x9e3779b97f4a7c15ull;
  out_.push_back({next_, std::string(keeper), now});
  return next_;
}

std::optional<Micros> Questions::sent(std::string_view keeper, std::uint64_t nonce, Micros now) const {
  const auto at = std::find_if(out_.begin(), out_.end(),
                               [&](auto& one) { return one.nonce == nonce && one.keeper == keeper; });
  if (at == out_.end() || at->sent + terms_.lease <= now)
    return std::nullopt;
  return at->sent;
}

}  // namespace lemonroute::pools
