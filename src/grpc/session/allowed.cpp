// What one client connection may do: frames, requests that do not end, answers that nobody takes, idleness
// and age.
#include <algorithm>

#include "base/log.h"
#include "grpc/session.h"

namespace lemonroute::grpc {
namespace {

constexpr std::chrono::milliseconds last_words{200};

}  // namespace

int Session::frame_begun(const nghttp2_frame_hd& head) {
  if (!server_)
    return 0;
  begun_ += frame_head + head.length;
  abuse_ = guard_.frame(Guard::Clock::now(), head.type, head.flags, head.length);
  if (!abuse_ && head.type == NGHTTP2_HEADERS && head.stream_id % 2 == 1 && !guard_.opens(head.stream_id)) {
    nghttp2_session_terminate_session(session_.get(), NGHTTP2_PROTOCOL_ERROR);
    return 0;
  }
  return abuse_ ? static_cast<int>(NGHTTP2_ERR_CALLBACK_FAILURE) : 0;
}

// Guards the clients beside it: only this connection ends, and is told why.
void Session::overdone(Abuse abuse) {
  if (closed_)
    return;
  logging::info() << "an HTTP/2 connection is closed: " << word(abuse);
  owner_.overdone(*this, abuse, true);
  nghttp2_session_terminate_session(session_.get(), NGHTTP2_ENHANCE_YOUR_CALM);
  flush();
  if (closed_)
    return;
  connection_->push();
  part();
}

// Closed with bytes of the peer's unread, or before they come, the kernel would reset the connection and take
// what was said last with it: a GOAWAY, or the end of an answer. So what still comes is thrown away for a
// moment.
void Session::part() {
  condemned_ = true;
  end_streams();
  connection_->end_sending();
  connect_timer_.start(last_words);
}

// Once a second for a client's connection: requests that do not end, answers that nobody takes, idleness and
// age.
void Session::look() {
  if (condemned_)
    return;
  const auto now = Guard::Clock::now();
  if (counted_out_)
    refuse_late(now);
  std::vector<std::pair<std::int32_t, Abuse>> late;
  for (const auto& [id, stream] : streams_) {
    if (!stream.events && stream.out_size == 0)
      continue;
    if (!stream.whole && now - stream.opened > guard_.limits().request)
      late.emplace_back(id, Abuse::half_open);
    else if (stream.out_size > 0 && stream.moved != Guard::Clock::time_point{} &&
             now - stream.moved > guard_.limits().taking)
      late.emplace_back(id, Abuse::stalled);
  }
  for (const auto& [id, abuse] : late) {
    owner_.overdone(*this, abuse, false);
    if (guard_.happened(now, abuse))
      return overdone(abuse);
    Stream* stream = this->stream(id);
    StreamEvents* events = stream ? std::exchange(stream->events, nullptr) : nullptr;
    reset(id, NGHTTP2_CANCEL);
    if (events)
      events->closed(NGHTTP2_CANCEL, false);
  }
  if (!streams_.empty())
    rests_ = now;
  const double part = 1 - 0.1 * std::clamp(limits_.jitter, 0.0, 1.0);
  const auto over = [&](Guard::Clock::time_point since, std::chrono::microseconds span) {
    return now - since > span * part;
  };
  if (!going_ && (over(rests_, limits_.idle) || over(since_, limits_.age)))
    go_away();
  look_timer_.start(look_again);
}

void Session::refuse_late(Guard::Clock::time_point now) {
  std::vector<std::int32_t> late;
  for (const auto& [id, stream] : streams_)
    if (stream.events && !stream.whole && now - stream.opened > limits_.last_request)
      late.push_back(id);
  for (const std::int32_t id : late) {
    Stream* stream = this->stream(id);
    StreamEvents* events = stream ? std::exchange(stream->events, nullptr) : nullptr;
    reset(id, NGHTTP2_REFUSED_STREAM);
    if (events)
      events->closed(NGHTTP2_REFUSED_STREAM, false);
  }
}

}  // namespace lemonroute::grpc
