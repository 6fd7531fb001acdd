// What goes out on an HTTP/2 connection: calls, answers, and how much of them is handed on ahead of the
// socket.
#include <algorithm>

#include "grpc/session.h"
#include "grpc/session/name_values.h"

namespace lemonroute::grpc {
namespace {

constexpr std::size_t most_unsent = 64 * 1024;  // handed to the connection ahead of the socket
constexpr std::size_t most_unsent_short_of_memory = 8 * 1024;
constexpr std::size_t drained_below = 16 * 1024;

Session& session_of(void* self) {
  return *static_cast<Session*>(self);
}

}  // namespace

nghttp2_data_provider Session::body_source() {
  nghttp2_data_provider provider{};
  provider.read_callback = [](nghttp2_session*, std::int32_t id, std::uint8_t* buffer, std::size_t size,
                              std::uint32_t* flags, nghttp2_data_source*,
                              void* self) { return session_of(self).fill(id, buffer, size, flags); };
  return provider;
}

void Session::respond(std::int32_t id, const Headers& headers) {
  Stream* stream = this->stream(id);
  if (!stream || stream->responded)
    return;
  stream->responded = true;
  const auto nv = to_nv(headers);
  const nghttp2_data_provider provider = body_source();
  nghttp2_submit_response(session_.get(), id, nv.data(), nv.size(), &provider);
  flush_soon();
}

void Session::write(std::int32_t id, std::string bytes) {
  Stream* stream = this->stream(id);
  if (!stream)
    return;
  if (stream->out_size == 0)
    stream->moved = Guard::Clock::now();  // from here on the peer may let us wait
  stream->out_size += bytes.size();
  stream->full = stream->full || stream->out_size >= most_unsent;
  stream->out.push_back(std::move(bytes));
  if (std::exchange(stream->parked, false))
    nghttp2_session_resume_data(session_.get(), id);
  flush_soon();
}

void Session::finish(std::int32_t id, Headers trailers) {
  Stream* stream = this->stream(id);
  if (!stream)
    return;
  stream->events = nullptr;
  stream->ended = true;
  stream->trailers = std::move(trailers);
  if (!stream->responded) {  // headers and trailers in one
    stream->responded = true;
    const auto nv = to_nv(stream->trailers);
    nghttp2_submit_response(session_.get(), id, nv.data(), nv.size(), nullptr);
  } else if (std::exchange(stream->parked, false)) {
    nghttp2_session_resume_data(session_.get(), id);
  }
  flush_soon();
}

void Session::reset(std::int32_t id, std::uint32_t code) {
  Stream* stream = this->stream(id);
  if (!stream)
    return;
  stream->events = nullptr;
  if (forget_waiting(id))
    return;
  nghttp2_submit_rst_stream(session_.get(), NGHTTP2_FLAG_NONE, id, code);
  flush_soon();
}

bool Session::unsent(std::int32_t id) const {
  const auto found = streams_.find(id);
  return found != streams_.end() && !found->second.begun;
}

std::size_t Session::waiting(std::int32_t id) const {
  const auto found = streams_.find(id);
  return found == streams_.end() ? 0 : found->second.out_size;
}

void Session::report_drained(std::int32_t id) {
  if (Stream* stream = this->stream(id))
    stream->full = true;
}

void Session::hold_back(std::int32_t id, bool on) {
  Stream* stream = this->stream(id);
  if (!stream)
    return;
  stream->held_back = on;
  if (on)
    return;
  nghttp2_session_consume_stream(session_.get(), id, std::exchange(stream->unconsumed, 0));
  flush_soon();
}

ssize_t Session::fill(std::int32_t id, std::uint8_t* buffer, std::size_t size, std::uint32_t* flags) {
  Stream* stream = this->stream(id);
  if (!stream)
    return NGHTTP2_ERR_TEMPORAL_CALLBACK_FAILURE;
  std::size_t filled = 0;
  while (filled < size && !stream->out.empty()) {
    const std::string& front = stream->out.front();
    const std::size_t part = std::min(size - filled, front.size() - stream->out_offset);
    front.copy(reinterpret_cast<char*>(buffer) + filled, part, stream->out_offset);
    filled += part;
    stream->out_offset += part;
    if (stream->out_offset == front.size()) {
      stream->out.pop_front();
      stream->out_offset = 0;
    }
  }
  stream->out_size -= filled;
  if (stream->out.empty())
    stream->request_memory.reset();
  if (filled > 0)
    stream->moved = Guard::Clock::now();
  if (stream->out.empty() && stream->ended) {
    *flags |= NGHTTP2_DATA_FLAG_EOF;
    if (!stream->trailers.empty()) {
      *flags |= NGHTTP2_DATA_FLAG_NO_END_STREAM;
      const auto nv = to_nv(stream->trailers);
      nghttp2_submit_trailer(session_.get(), id, nv.data(), nv.size());
    }
    return static_cast<ssize_t>(filled);
  }
  if (filled == 0) {
    stream->parked = true;
    return NGHTTP2_ERR_DEFERRED;
  }
  if (stream->full && stream->out_size < drained_below && stream->events) {
    stream->full = false;
    loop_.defer([weak = std::weak_ptr(self_), id] {
      if (const auto self = weak.lock())
        if (auto* one = (*self)->stream(id); one && one->events)
          one->events->drained();
    });
  }
  return static_cast<ssize_t>(filled);
}

void Session::flush_soon() {
  if (std::exchange(flush_pending_, true))
    return;
  loop_.defer([weak = std::weak_ptr(self_)] {
    if (const auto self = weak.lock())
      (*self)->flush();
  });
}

void Session::flush() {
  flush_pending_ = false;
  // Danger: a call that is given up while its connection comes up. What is handed to the connection goes out
  // whatever becomes of the call; what waits in the library does not, so nothing is handed on before there is
  // somebody to take it.
  if (closed_ || condemned_ || !connected_ || !connection_->started())
    return;
  // Danger: a request that is given up while the peer takes nothing. The library takes back what it has not
  // been asked for yet; bytes handed to the connection go out.
  if (connection_->unsent() == 0)
    open_streams();
  const bool is_short_of_memory = server_ && loop_.memory().is_exhausted();
  const std::size_t most = is_short_of_memory ? most_unsent_short_of_memory : most_unsent;
  while (connection_->unsent() < most) {
    const std::uint8_t* bytes = nullptr;
    const ssize_t size = nghttp2_session_mem_send(session_.get(), &bytes);
    if (size < 0)
      return close();
    if (size == 0)
      break;
    written_ += static_cast<std::uint64_t>(size);
    connection_->write({reinterpret_cast<const char*>(bytes), static_cast<std::size_t>(size)});
  }
  output_memory_.hold(connection_->unsent());
  if (!nghttp2_session_want_read(session_.get()) && !nghttp2_session_want_write(session_.get()) &&
      connection_->unsent() == 0)
    server_ ? part() : close();
}

bool Session::sent(const Stream& stream) const {
  return stream.sent_at > 0 && written_ - connection_->unsent() >= stream.sent_at;
}

}  // namespace lemonroute::grpc
