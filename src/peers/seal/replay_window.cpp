#include "peers/seal/replay_window.h"

namespace lemonroute::peers::seal {
namespace {

constexpr std::uint64_t bits_per_word = 64;

}  // namespace

bool ReplayWindow::is_new(std::uint64_t sequence) const {
  if (sequence > newest_)
    return true;
  if (sequence == 0 || newest_ - sequence >= width)
    return false;
  return !(received_[sequence / bits_per_word % received_.size()] >> (sequence % bits_per_word) & 1);
}

void ReplayWindow::record(std::uint64_t sequence) {
  if (sequence > newest_) {
    // Clears the bits of the numbers that enter the window, which numbers that leave it still hold.
    if (sequence - newest_ >= width)
      received_.fill(0);
    else
      for (auto at = newest_ + 1; at <= sequence; ++at)
        received_[at / bits_per_word % received_.size()] &= ~(std::uint64_t{1} << (at % bits_per_word));
    newest_ = sequence;
  }
  received_[sequence / bits_per_word % received_.size()] |= std::uint64_t{1} << (sequence % bits_per_word);
}

bool ReplayWindows::is_new(const SenderId& sender, std::uint64_t sequence) const {
  const auto found = senders_.find(sender);
  return found == senders_.end() ? sequence > 0 : found->second->window.is_new(sequence);
}

void ReplayWindows::record(const SenderId& sender, std::uint64_t sequence) {
  const auto found = senders_.find(sender);
  if (found == senders_.end()) {
    if (senders_.size() >= max_senders_) {
      senders_.erase(by_recency_.back().sender);
      by_recency_.pop_back();
    }
    by_recency_.push_front({sender, {}});
    senders_.emplace(sender, by_recency_.begin());
  } else {
    by_recency_.splice(by_recency_.begin(), by_recency_, found->second);
  }
  by_recency_.front().window.record(sequence);
}

}  // namespace lemonroute::peers::seal
