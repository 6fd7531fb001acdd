// A client's requests until their streams are opened. They wait here and not in the library, which would
// write them as they were when they were given to it, and keep them after a GOAWAY until a place is free.
#include <algorithm>

#include "grpc/session.h"
#include "grpc/session/name_values.h"

namespace lemonroute::grpc {
namespace {

constexpr std::uint32_t last_id = 0x7fffffff;

}  // namespace

std::int32_t Session::request(const Headers& headers, std::string body, StreamEvents& events,
                              std::optional<Guard::Clock::time_point> deadline) {
  if (next_id_ > last_id)
    return -1;
  const auto id = static_cast<std::int32_t>(next_id_);
  next_id_ += 2;
  Stream& stream = streams_[id];
  stream.events = &events;
  stream.responded = stream.ended = true;
  stream.out_size = body.size();
  stream.request_memory = std::make_unique<net::MemoryBudget::Account>(loop_.memory());
  stream.request_memory->hold(body.capacity());
  stream.out.push_back(std::move(body));
  waiting_.push_back({id, headers, deadline});
  flush_soon();
  if (next_id_ > last_id)
    owner_.going(*this);
  return id;
}

void Session::open_streams() {
  if (waiting_.empty())
    return;
  if (going_)
    return refuse_waiting();
  const std::uint32_t most =
      nghttp2_session_get_remote_settings(session_.get(), NGHTTP2_SETTINGS_MAX_CONCURRENT_STREAMS);
  const auto now = Guard::Clock::now();
  auto next = waiting_.begin();
  while (next != waiting_.end() && streams_.size() - waiting_.size() < most) {
    // Whoever waits for one that is late takes it back; it has no use for the place.
    if (next->deadline && *next->deadline <= now) {
      ++next;
      continue;
    }
    const Waiting request = std::move(*next);
    next = waiting_.erase(next);
    open_stream(request);
  }
}

void Session::open_stream(const Waiting& request) {
  Headers headers = request.headers;
  if (request.deadline) {
    const auto left = std::chrono::floor<std::chrono::microseconds>(*request.deadline - Guard::Clock::now());
    headers.emplace_back("grpc-timeout", timeout_text(left));
  }
  const auto nv = to_nv(headers);
  const nghttp2_data_provider body = body_source();
  // Ids of requests that were given up while they waited are passed over.
  nghttp2_session_set_next_stream_id(session_.get(), request.id);
  const auto id = nghttp2_submit_request(session_.get(), nullptr, nv.data(), nv.size(), &body, nullptr);
  if (id < 0)
    stream_closed(request.id, NGHTTP2_REFUSED_STREAM);
}

// Whoever is told may give others up that wait, or begin new requests elsewhere.
void Session::refuse_waiting() {
  while (!waiting_.empty()) {
    const std::int32_t id = waiting_.front().id;
    waiting_.pop_front();
    stream_closed(id, NGHTTP2_REFUSED_STREAM);
  }
}

bool Session::forget_waiting(std::int32_t id) {
  const auto found =
      std::find_if(waiting_.begin(), waiting_.end(), [id](const Waiting& one) { return one.id == id; });
  if (found == waiting_.end())
    return false;
  waiting_.erase(found);
  streams_.erase(id);
  return true;
}

}  // namespace lemonroute::grpc
