// What one HTTP/2 connection of a client may do to us. Each kind of work that costs us more than it costs the
// peer has a bucket: a burst that any honest client stays within, refilled at a rate that it may keep up for
// ever. Whoever goes beyond has its connection ended, and nobody else's. Free of I/O: frames and times are
// passed in.
#pragma once

#include <array>
#include <chrono>
#include <cstdint>
#include <optional>
#include <set>

namespace lemonroute::grpc {

// What a connection was ended for, or a stream of it.
enum class Abuse : std::uint8_t {
  resets,         // streams opened and reset before they were answered (rapid reset, CVE-2023-44487)
  pings,          // PING frames, each of which has to be answered
  settings,       // SETTINGS frames, likewise
  empty_frames,   // DATA or HEADERS that carry nothing and end nothing
  continuations,  // CONTINUATION frames in one header block
  windows,        // WINDOW_UPDATE frames beyond what was sent to the peer
  priorities,     // PRIORITY and unknown frames, which do nothing here
  headers,        // header lists over the limit
  half_open,      // requests that do not come to their end in time
  stalled,        // answers of which the peer takes nothing
  count,
};
const char* word(Abuse abuse);

class Guard {
 public:
  using Clock = std::chrono::steady_clock;
  struct Bucket {
    double burst, per_second;
  };
  struct Limits {
    // Why these figures is told in docs/grpc-design.md. A burst is what may come at once.
    std::array<Bucket, static_cast<std::size_t>(Abuse::count)> buckets{{
        {256, 64},    // resets: all of 128 streams cancelled twice over
        {20, 2},      // pings: keep-alive of clients that are eager
        {16, 1},      // settings
        {64, 16},     // empty frames
        {16, 16},     // continuations, in one block: 16 KiB of headers need one
        {1024, 256},  // window updates beyond one for each DATA frame that was sent
        {256, 32},    // priorities
        {4, 0.1},     // header lists
        {16, 0.5},    // half-open requests
        {16, 0.5},    // stalled answers
    }};
    std::chrono::milliseconds request{10000};  // for a request to come to its end, once its stream is open
    std::chrono::milliseconds taking{10000};   // for some of an answer to be taken
  };
  explicit Guard(Limits limits) : limits_(limits) {}

  // A frame's head has come in. `type` and `flags` as on the wire (RFC 9113, 6). Says what the peer overdoes.
  std::optional<Abuse> frame(Clock::time_point now, std::uint8_t type, std::uint8_t flags,
                             std::size_t length);
  std::optional<Abuse> reset_early(Clock::time_point now);  // the peer reset a stream that was not answered
  std::optional<Abuse> happened(Clock::time_point now, Abuse abuse);  // any other, counted by whoever saw it
  // Bytes of frames that the HTTP/2 library passes over without a word.
  std::optional<Abuse> unknown(Clock::time_point now, std::size_t bytes);
  // A stream id in the order in which ids are used. False: one that was passed over before and is thereby
  // closed (RFC 9113, 5.1.1); the library takes it for one that it has forgotten.
  bool opens(std::int32_t id);
  void sent_data();  // a DATA frame went out: one more update is in order
  const Limits& limits() const { return limits_; }

 private:
  struct Level {
    double spent = 0;
    Clock::time_point at{};
  };
  std::optional<Abuse> spend(Clock::time_point now, Abuse abuse, double amount = 1);
  Limits limits_;
  std::array<Level, static_cast<std::size_t>(Abuse::count)> levels_{};
  std::int32_t last_ = -1;
  std::set<std::int32_t> passed_over_;  // the last ones
  double continuations_ = 0;            // in the block that is open
  double updates_in_order_ = 0;
};

// How often each kind ended a connection or a stream, over all connections.
struct AbuseCounts {
  std::array<std::uint64_t, static_cast<std::size_t>(Abuse::count)> connections{}, streams{};
};

}  // namespace lemonroute::grpc
