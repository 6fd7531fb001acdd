#include "peers/seal/window.h"

namespace lemonroute::peers::seal {
namespace {

constexpr std::uint64_t bits = 64;

}  // namespace

bool Window::fresh(std::uint64_t sequence) const {
  if (sequence > newest_)
    return true;
  if (sequence == 0 || newest_ - sequence >= width)
    return false;
  return !(seen_[sequence / bits % seen_.size()] >> (sequence % bits) & 1);
}

void Window::mark(std::uint64_t sequence) {
  if (sequence > newest_) {
    // What the window leaves is wiped for what enters it.
    if (sequence - newest_ >= width)
      seen_.fill(0);
    else
      for (auto at = newest_ + 1; at <= sequence; ++at)
        seen_[at / bits % seen_.size()] &= ~(std::uint64_t{1} << (at % bits));
    newest_ = sequence;
  }
  seen_[sequence / bits % seen_.size()] |= std::uint64_t{1} << (sequence % bits);
}

bool Windows::fresh(const Sender& sender, std::uint64_t sequence) const {
  const auto found = senders_.find(sender);
  return found == senders_.end() ? sequence > 0 : found->second->window.fresh(sequence);
}

void Windows::mark(const Sender& sender, std::uint64_t sequence) {
  const auto found = senders_.find(sender);
  if (found == senders_.end()) {
    if (senders_.size() >= most_) {
      senders_.erase(by_age_.back().sender);
      by_age_.pop_back();
    }
    by_age_.push_front({sender, {}});
    senders_.emplace(sender, by_age_.begin());
  } else {
    by_age_.splice(by_age_.begin(), by_age_, found->second);
  }
  by_age_.front().window.mark(sequence);
}

}  // namespace lemonroute::peers::seal
