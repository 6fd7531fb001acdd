// What peers overdid, by kind: figures for operators, and log lines that a flood of bad peers can't multiply.
#pragma once

#include <array>
#include <chrono>
#include <cstdint>
#include <functional>
#include <string_view>
#include <utility>

namespace lemonroute::net {

enum class Overdone {
  not_understood,  // a request, answered 400, 413 or 431
  too_slow,        // a request that was not whole in time, answered 408
  silent,          // a connection on which nothing was asked in time
  sent_ahead,      // bytes beyond what is kept behind an open request, dropped
  flood,           // beyond what is dropped, the connection is closed
  takes_nothing,   // an answer that its client did not take in time
  dismissed,       // a connection closed since its place or its descriptor was needed
  crowded,         // times when places ran out and newcomers had to wait
  no_memory,       // a request refused since others' bodies fill what there is for them
  not_taken,       // a connection that could not be accepted
  no_socket,       // a connection of our own that got no descriptor
  bad_answer,      // a node's or discovery's answer that is malformed, or began and did not end in time
};

class Tally {
 public:
  using Now = std::function<std::chrono::steady_clock::time_point()>;
  explicit Tally(Now now = std::chrono::steady_clock::now) : now_(std::move(now)) {}

  // Counts one, and logs it with `detail` unless a line of its kind was logged less than a second ago; the
  // next line then says how many were left out.
  void note(Overdone kind, std::string_view detail = {});
  void count(Overdone kind) { ++of(kind).all; }  // where another part logs it
  std::uint64_t counted(Overdone kind) const { return kinds_[static_cast<std::size_t>(kind)].all; }

  static constexpr std::size_t kinds = 12;
  static std::string_view name(Overdone kind);  // as the figure is called

 private:
  struct Count {
    std::uint64_t all = 0, left_out = 0;
    std::chrono::steady_clock::time_point quiet_until{};
  };
  Count& of(Overdone kind) { return kinds_[static_cast<std::size_t>(kind)]; }

  const Now now_;
  std::array<Count, kinds> kinds_{};
};

}  // namespace lemonroute::net
