#include "grpc/limits.h"

#include <algorithm>

namespace lemonroute::grpc {
namespace {

enum Frame : std::uint8_t {
  data = 0,
  headers = 1,
  priority = 2,
  rst_stream = 3,
  settings = 4,
  push = 5,
  ping = 6,
  goaway = 7,
  window_update = 8,
  continuation = 9
};
constexpr std::uint8_t end_stream = 1, ack = 1, end_headers = 4;
constexpr double most_in_order = 4096;  // of updates that are owed to data sent

}  // namespace

const char* word(Abuse abuse) {
  switch (abuse) {
    case Abuse::resets:
      return "streams reset as soon as they are opened";
    case Abuse::pings:
      return "too many pings";
    case Abuse::settings:
      return "too many SETTINGS";
    case Abuse::empty_frames:
      return "too many empty frames";
    case Abuse::continuations:
      return "too many CONTINUATION frames";
    case Abuse::windows:
      return "too many window updates";
    case Abuse::priorities:
      return "too many frames that do nothing";
    case Abuse::headers:
      return "header lists over the limit";
    case Abuse::half_open:
      return "requests that do not end";
    case Abuse::stalled:
      return "answers that are not taken";
    case Abuse::count:
      break;
  }
  return "?";
}

std::optional<Abuse> Guard::spend(Clock::time_point now, Abuse abuse, double amount) {
  const Bucket& bucket = limits_.buckets[static_cast<std::size_t>(abuse)];
  Level& level = levels_[static_cast<std::size_t>(abuse)];
  const double since = std::max(0.0, std::chrono::duration<double>(now - level.at).count());
  level.spent = std::max(0.0, level.spent - bucket.per_second * since) + amount;
  level.at = std::max(level.at, now);
  return level.spent > bucket.burst ? std::optional(abuse) : std::nullopt;
}

std::optional<Abuse> Guard::frame(Clock::time_point now, std::uint8_t type, std::uint8_t flags,
                                  std::size_t length) {
  switch (type) {
    case data:
      return length == 0 && !(flags & end_stream) ? spend(now, Abuse::empty_frames) : std::nullopt;
    case headers:
      continuations_ = 0;
      // A block that goes on in another frame may well begin with an empty one, but not time and again.
      return length == 0 ? spend(now, Abuse::empty_frames) : std::nullopt;
    case continuation:
      // Counted within the block, not by time: however slowly they come, each is work on one list.
      if (++continuations_ > limits_.buckets[static_cast<std::size_t>(Abuse::continuations)].burst)
        return Abuse::continuations;
      return length == 0 && !(flags & end_headers) ? spend(now, Abuse::empty_frames) : std::nullopt;
    case settings:
      return flags & ack ? std::nullopt : spend(now, Abuse::settings);
    case ping:
      return flags & ack ? std::nullopt : spend(now, Abuse::pings);
    case window_update:
      if (updates_in_order_ >= 1) {
        updates_in_order_ -= 1;
        return std::nullopt;
      }
      return spend(now, Abuse::windows);
    case rst_stream:
    case goaway:
      return std::nullopt;
    default:
      return spend(now, Abuse::priorities);
  }
}

std::optional<Abuse> Guard::reset_early(Clock::time_point now) {
  return spend(now, Abuse::resets);
}
std::optional<Abuse> Guard::happened(Clock::time_point now, Abuse abuse) {
  return spend(now, abuse);
}

std::optional<Abuse> Guard::unknown(Clock::time_point now, std::size_t bytes) {
  constexpr double smallest_frame = 9;
  return spend(now, Abuse::priorities, static_cast<double>(bytes) / smallest_frame);
}

bool Guard::opens(std::int32_t id) {
  constexpr std::size_t most_passed_over = 64;
  if (id <= last_)
    return passed_over_.count(id) == 0;
  for (std::int32_t skipped = std::max(last_ + 2, id - 2 * static_cast<std::int32_t>(most_passed_over));
       skipped < id; skipped += 2)
    passed_over_.insert(skipped);
  while (passed_over_.size() > most_passed_over)
    passed_over_.erase(passed_over_.begin());
  last_ = id;
  return true;
}

// Two for each frame, one for the stream and one for the connection.
void Guard::sent_data() {
  updates_in_order_ = std::min(most_in_order, updates_in_order_ + 2);
}

}  // namespace lemonroute::grpc
