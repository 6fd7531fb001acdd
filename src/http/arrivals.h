// When the bytes of a connection came, for requests that come in pieces or behind another one. Free of I/O
// and told the time.
#pragma once

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <deque>

namespace lemonroute::http {

class Arrivals {
 public:
  using Clock = std::chrono::steady_clock;
  using Time = Clock::time_point;

  // Behind `left` bytes that have not been taken yet, so many more have come by `at`.
  void came(std::size_t left, std::size_t bytes, Time at) {
    if (left == 0)
      pieces_.clear();
    all_ += bytes;
    if (pieces_.size() < most_pieces)
      pieces_.push_back({all_, at});
    else
      pieces_.back().end = all_;  // counted as if it had come with the piece before
  }

  // When the first one came of the `left` bytes that have not been taken yet.
  Time first_of(std::size_t left) {
    const std::uint64_t begin = all_ - left;
    while (pieces_.size() > 1 && pieces_.front().end <= begin)
      pieces_.pop_front();
    return pieces_.empty() ? Clock::now() : pieces_.front().at;
  }

 private:
  // Guards the memory against bytes that come one by one behind an open request.
  static constexpr std::size_t most_pieces = 64;
  struct Piece {
    std::uint64_t end;  // in the count of all bytes that came
    Time at;
  };
  std::deque<Piece> pieces_;  // in the order in which they came
  std::uint64_t all_ = 0;
};

}  // namespace lemonroute::http
