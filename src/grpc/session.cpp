#include "grpc/session.h"

#include <algorithm>
#include <cstring>

#include "base/log.h"

namespace lemonroute::grpc {
namespace {

constexpr std::size_t most_unsent = 64 * 1024;  // handed to the connection ahead of the socket
constexpr std::size_t drained_below = 16 * 1024;
constexpr std::size_t most_header_bytes = 16 * 1024;
constexpr std::chrono::seconds look_again{1};
constexpr std::chrono::milliseconds last_words{200};
constexpr std::size_t frame_head = 9, client_preface = 24;

std::vector<nghttp2_nv> to_nv(const Headers& headers) {
  std::vector<nghttp2_nv> nv;
  for (const auto& [name, value] : headers)
    nv.push_back({reinterpret_cast<std::uint8_t*>(const_cast<char*>(name.data())),
                  reinterpret_cast<std::uint8_t*>(const_cast<char*>(value.data())), name.size(), value.size(),
                  NGHTTP2_NV_FLAG_NONE});
  return nv;
}

Session& session_of(void* self) { return *static_cast<Session*>(self); }

}  // namespace

Session::Session(net::Loop& loop, evutil_socket_t accepted, SessionOwner& owner, Limits limits)
    : loop_(loop),
      owner_(owner),
      limits_(limits),
      server_(true),
      connected_(true),
      guard_(limits.guard),
      self_(std::make_shared<Session*>(this)),
      connect_timer_(loop, [this] { close(); }),
      ping_timer_(loop, [this] { unheard(); }),
      look_timer_(loop, [this] { look(); }),
      last_timer_(loop, [this] { last_call(); }),
      connection_(new net::Connection(loop, accepted, *this)) {
  connect_timer_.start(limits.greeting_timeout);  // guards against peers that connect and say nothing
  look_timer_.start(look_again);
  start(true);
}

Session::Session(net::Loop& loop, const std::string& address, SessionOwner& owner, Limits limits)
    : loop_(loop),
      owner_(owner),
      limits_(limits),
      server_(false),
      connected_(false),
      guard_(limits.guard),
      self_(std::make_shared<Session*>(this)),
      connect_timer_(loop, [this] { close(); }),
      ping_timer_(loop, [this] { unheard(); }),
      look_timer_(loop, [this] { look(); }),
      last_timer_(loop, [this] { last_call(); }),
      connection_(new net::Connection(loop, net::Endpoint(address), *this)) {
  connect_timer_.start(connection_->started() ? limits.connect_timeout : std::chrono::microseconds(0));
  start(false);
}

Session::~Session() = default;

nghttp2_session_callbacks* Session::callbacks() {
  static const auto made = [] {
    nghttp2_session_callbacks* c = nullptr;
    nghttp2_session_callbacks_new(&c);
    nghttp2_session_callbacks_set_on_begin_frame_callback(
        c, [](nghttp2_session*, const nghttp2_frame_hd* head, void* self) { return session_of(self).frame_begun(*head); });
    nghttp2_session_callbacks_set_on_begin_headers_callback(
        c, [](nghttp2_session*, const nghttp2_frame* frame, void* self) {
          Session& s = session_of(self);
          if (s.server_ && frame->headers.cat == NGHTTP2_HCAT_REQUEST)
            s.streams_[frame->hd.stream_id].opened = Guard::Clock::now();
          if (auto* stream = s.stream(frame->hd.stream_id)) stream->incoming.clear();
          return 0;
        });
    nghttp2_session_callbacks_set_on_header_callback(
        c, [](nghttp2_session*, const nghttp2_frame* frame, const std::uint8_t* name, std::size_t name_size,
              const std::uint8_t* value, std::size_t value_size, std::uint8_t, void* self) {
          auto* stream = session_of(self).stream(frame->hd.stream_id);
          if (!stream) return 0;
          std::size_t size = name_size + value_size;
          for (const auto& [n, v] : stream->incoming) size += n.size() + v.size();
          if (size > most_header_bytes) {
            Session& s = session_of(self);
            if (s.server_ && !s.abuse_) {
              s.abuse_ = s.guard_.happened(Guard::Clock::now(), Abuse::headers);
              s.owner_.overdone(s, Abuse::headers, false);
            }
            return static_cast<int>(s.abuse_ ? NGHTTP2_ERR_CALLBACK_FAILURE : NGHTTP2_ERR_TEMPORAL_CALLBACK_FAILURE);
          }
          stream->incoming.emplace_back(std::string(reinterpret_cast<const char*>(name), name_size),
                                        std::string(reinterpret_cast<const char*>(value), value_size));
          return 0;
        });
    nghttp2_session_callbacks_set_on_frame_recv_callback(
        c, [](nghttp2_session*, const nghttp2_frame* frame, void* self) {
          session_of(self).frame_received(*frame);
          return session_of(self).abuse_ ? static_cast<int>(NGHTTP2_ERR_CALLBACK_FAILURE) : 0;
        });
    nghttp2_session_callbacks_set_on_data_chunk_recv_callback(
        c, [](nghttp2_session* session, std::uint8_t, std::int32_t id, const std::uint8_t* bytes,
              std::size_t size, void* self) {
          Session& s = session_of(self);
          // The connection's window is given back at once, or one slow stream would stop all others.
          nghttp2_session_consume_connection(session, size);
          auto* stream = s.stream(id);
          if (!stream || !stream->events) return 0;
          stream->unconsumed += size;
          stream->events->data({reinterpret_cast<const char*>(bytes), size});
          if ((stream = s.stream(id)) && !stream->held_back)
            nghttp2_session_consume_stream(session, id, std::exchange(stream->unconsumed, 0));
          return 0;
        });
    nghttp2_session_callbacks_set_on_stream_close_callback(
        c, [](nghttp2_session*, std::int32_t id, std::uint32_t code, void* self) {
          session_of(self).stream_closed(id, code);
          return 0;
        });
    nghttp2_session_callbacks_set_on_frame_send_callback(
        c, [](nghttp2_session*, const nghttp2_frame* frame, void* self) {
          Session& s = session_of(self);
          auto* stream = s.stream(frame->hd.stream_id);
          if (frame->hd.type == NGHTTP2_DATA) s.guard_.sent_data();
          if (stream && (frame->hd.type == NGHTTP2_DATA || frame->hd.type == NGHTTP2_HEADERS) &&
              (frame->hd.flags & NGHTTP2_FLAG_END_STREAM))
            stream->sent_at = s.written_ + frame->hd.length + 9;
          return 0;
        });
    return c;
  }();
  return made;
}

void Session::start(bool server) {
  nghttp2_option* option = nullptr;
  nghttp2_option_new(&option);
  nghttp2_option_set_no_auto_window_update(option, 1);
  nghttp2_session* made = nullptr;
  if (server) nghttp2_session_server_new2(&made, callbacks(), this, option);
  else nghttp2_session_client_new2(&made, callbacks(), this, option);
  nghttp2_option_del(option);
  session_.reset(made);
  const nghttp2_settings_entry settings[] = {
      {NGHTTP2_SETTINGS_MAX_CONCURRENT_STREAMS, server ? limits_.streams : 0},
      {NGHTTP2_SETTINGS_MAX_HEADER_LIST_SIZE, static_cast<std::uint32_t>(most_header_bytes)},
      {NGHTTP2_SETTINGS_ENABLE_PUSH, 0}};
  // Servers may not state ENABLE_PUSH.
  nghttp2_submit_settings(session_.get(), NGHTTP2_FLAG_NONE, settings, server ? 2 : 3);
  flush_soon();
}

Session::Stream* Session::stream(std::int32_t id) {
  const auto found = streams_.find(id);
  return found == streams_.end() ? nullptr : &found->second;
}

// ---- What is sent -----------------------------------------------------------------------------------------

nghttp2_data_provider Session::body_source() {
  nghttp2_data_provider provider{};
  provider.read_callback = [](nghttp2_session*, std::int32_t id, std::uint8_t* buffer, std::size_t size,
                              std::uint32_t* flags, nghttp2_data_source*, void* self) {
    return session_of(self).fill(id, buffer, size, flags);
  };
  return provider;
}

std::int32_t Session::request(const Headers& headers, std::string body, StreamEvents& events) {
  const auto nv = to_nv(headers);
  const nghttp2_data_provider provider = body_source();
  const auto id = nghttp2_submit_request(session_.get(), nullptr, nv.data(), nv.size(), &provider, nullptr);
  if (id < 0) {  // the ids of this connection are used up
    going_ = true;
    return id;
  }
  Stream& stream = streams_[id];
  stream.events = &events;
  stream.responded = stream.ended = true;
  stream.out_size = body.size();
  stream.out.push_back(std::move(body));
  flush_soon();
  return id;
}

void Session::respond(std::int32_t id, const Headers& headers) {
  Stream* stream = this->stream(id);
  if (!stream || stream->responded) return;
  stream->responded = true;
  const auto nv = to_nv(headers);
  const nghttp2_data_provider provider = body_source();
  nghttp2_submit_response(session_.get(), id, nv.data(), nv.size(), &provider);
  flush_soon();
}

void Session::write(std::int32_t id, std::string bytes) {
  Stream* stream = this->stream(id);
  if (!stream) return;
  if (stream->out_size == 0) stream->moved = Guard::Clock::now();  // from here on the peer may let us wait
  stream->out_size += bytes.size();
  stream->full = stream->full || stream->out_size >= most_unsent;
  stream->out.push_back(std::move(bytes));
  if (std::exchange(stream->parked, false)) nghttp2_session_resume_data(session_.get(), id);
  flush_soon();
}

void Session::finish(std::int32_t id, Headers trailers) {
  Stream* stream = this->stream(id);
  if (!stream) return;
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
  if (!stream) return;
  stream->events = nullptr;
  nghttp2_submit_rst_stream(session_.get(), NGHTTP2_FLAG_NONE, id, code);
  flush_soon();
}

std::size_t Session::waiting(std::int32_t id) const {
  const auto found = streams_.find(id);
  return found == streams_.end() ? 0 : found->second.out_size;
}

void Session::hold_back(std::int32_t id, bool on) {
  Stream* stream = this->stream(id);
  if (!stream) return;
  stream->held_back = on;
  if (on) return;
  nghttp2_session_consume_stream(session_.get(), id, std::exchange(stream->unconsumed, 0));
  flush_soon();
}

ssize_t Session::fill(std::int32_t id, std::uint8_t* buffer, std::size_t size, std::uint32_t* flags) {
  Stream* stream = this->stream(id);
  if (!stream) return NGHTTP2_ERR_TEMPORAL_CALLBACK_FAILURE;
  std::size_t filled = 0;
  while (filled < size && !stream->out.empty()) {
    const std::string& front = stream->out.front();
    const std::size_t part = std::min(size - filled, front.size() - stream->out_offset);
    std::memcpy(buffer + filled, front.data() + stream->out_offset, part);
    filled += part;
    stream->out_offset += part;
    if (stream->out_offset == front.size()) {
      stream->out.pop_front();
      stream->out_offset = 0;
    }
  }
  stream->out_size -= filled;
  if (filled > 0) stream->moved = Guard::Clock::now();
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
        if (auto* one = (*self)->stream(id); one && one->events) one->events->drained();
    });
  }
  return static_cast<ssize_t>(filled);
}

void Session::flush_soon() {
  if (std::exchange(flush_pending_, true)) return;
  loop_.defer([weak = std::weak_ptr(self_)] {
    if (const auto self = weak.lock()) (*self)->flush();
  });
}

void Session::flush() {
  flush_pending_ = false;
  if (closed_ || condemned_ || !connection_->started()) return;
  while (connection_->unsent() < most_unsent) {
    const std::uint8_t* bytes = nullptr;
    const ssize_t size = nghttp2_session_mem_send(session_.get(), &bytes);
    if (size < 0) return close();
    if (size == 0) break;
    written_ += static_cast<std::uint64_t>(size);
    connection_->write({reinterpret_cast<const char*>(bytes), static_cast<std::size_t>(size)});
  }
  if (!nghttp2_session_want_read(session_.get()) && !nghttp2_session_want_write(session_.get()) &&
      connection_->unsent() == 0)
    close();
}

void Session::check_alive() {
  if (closed_ || !connected_ || ping_timer_.pending()) return;
  nghttp2_submit_ping(session_.get(), NGHTTP2_FLAG_NONE, nullptr);
  ping_timer_.start(limits_.ping_timeout / 4);
  flush_soon();
}

// The connection goes on taking calls until the answer is late: what a call that was given up left behind is released
// on the same one, behind its reset, and must not overtake it.
void Session::unheard() {
  if (doubted_) return close();
  doubt(true);
  ping_timer_.start(limits_.ping_timeout - limits_.ping_timeout / 4);
}

void Session::doubt(bool on) {
  if (!server_ && !closed_ && std::exchange(doubted_, on) != on) owner_.doubted(*this, on);
}

void Session::go_away() {
  if (closed_ || std::exchange(going_, true)) return;
  if (!server_) {
    nghttp2_submit_goaway(session_.get(), NGHTTP2_FLAG_NONE, 0, NGHTTP2_NO_ERROR, nullptr, 0);
  } else {
    nghttp2_submit_shutdown_notice(session_.get());
    // What the peer had sent before it read the notice has arrived once this is answered.
    nghttp2_submit_ping(session_.get(), NGHTTP2_FLAG_NONE, nullptr);
    last_timer_.start(limits_.last_call);
  }
  flush_soon();
}

void Session::last_call() {
  last_timer_.stop();
  if (closed_ || std::exchange(counted_out_, true)) return;
  nghttp2_submit_goaway(session_.get(), NGHTTP2_FLAG_NONE,
                        nghttp2_session_get_last_proc_stream_id(session_.get()), NGHTTP2_NO_ERROR, nullptr, 0);
  flush_soon();
}

// ---- What a client may do ---------------------------------------------------------------------------------

int Session::frame_begun(const nghttp2_frame_hd& head) {
  if (!server_) return 0;
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
  if (closed_) return;
  logging::info() << "an HTTP/2 connection is closed: " << word(abuse);
  owner_.overdone(*this, abuse, true);
  nghttp2_session_terminate_session(session_.get(), NGHTTP2_ENHANCE_YOUR_CALM);
  flush();
  if (closed_) return;
  // Closed with bytes of the peer's unread, the kernel would reset the connection and take the GOAWAY with it; so what
  // still comes is thrown away for a moment.
  condemned_ = true;
  end_streams();
  connection_->push();
  connection_->end_sending();
  connect_timer_.start(last_words);
}

// Once a second for a client's connection: requests that do not end, answers that nobody takes, idleness and age.
void Session::look() {
  if (condemned_) return;
  const auto now = Guard::Clock::now();
  std::vector<std::pair<std::int32_t, Abuse>> late;
  for (const auto& [id, stream] : streams_) {
    if (!stream.events && stream.out_size == 0) continue;
    if (!stream.whole && now - stream.opened > guard_.limits().request) late.emplace_back(id, Abuse::half_open);
    else if (stream.out_size > 0 && stream.moved != Guard::Clock::time_point{} && now - stream.moved > guard_.limits().taking)
      late.emplace_back(id, Abuse::stalled);
  }
  for (const auto& [id, abuse] : late) {
    owner_.overdone(*this, abuse, false);
    if (guard_.happened(now, abuse)) return overdone(abuse);
    Stream* stream = this->stream(id);
    StreamEvents* events = stream ? std::exchange(stream->events, nullptr) : nullptr;
    reset(id, NGHTTP2_CANCEL);
    if (events) events->closed(NGHTTP2_CANCEL, false);
  }
  if (!streams_.empty()) rests_ = now;
  const double part = 1 - 0.1 * std::clamp(limits_.jitter, 0.0, 1.0);
  const auto over = [&](Guard::Clock::time_point since, std::chrono::microseconds span) { return now - since > span * part; };
  if (!going_ && (over(rests_, limits_.idle) || over(since_, limits_.age))) go_away();
  look_timer_.start(look_again);
}

// ---- What comes in ----------------------------------------------------------------------------------------

void Session::on_connected() {
  connected_ = true;
  connect_timer_.stop();
  if (!server_) owner_.connected(*this);
  flush();
}

void Session::on_drained() {
  for (auto& [id, stream] : streams_)
    if (!server_ && stream.events && !stream.told_written && sent(stream)) {
      stream.told_written = true;
      stream.events->written();
    }
  flush();
}

void Session::on_readable() {
  evbuffer* input = connection_->input();
  if (condemned_) {
    evbuffer_drain(input, evbuffer_get_length(input));
    return;
  }
  while (!closed_ && evbuffer_get_length(input) > 0) {
    const std::size_t size = evbuffer_get_contiguous_space(input);
    const ssize_t taken = nghttp2_session_mem_recv(session_.get(), evbuffer_pullup(input, static_cast<ev_ssize_t>(size)), size);
    if (taken < 0 && abuse_) return overdone(*abuse_);
    // The library bounds two floods itself: CONTINUATION and answers
    // that the peer does not take.
    if (server_ && taken == NGHTTP2_ERR_TOO_MANY_CONTINUATIONS) return overdone(Abuse::continuations);
    if (server_ && taken == NGHTTP2_ERR_FLOODED) return overdone(Abuse::pings);
    if (taken < 0) {
      // Guards against a peer that does not speak HTTP/2: the session can't go on, other peers are not hurt.
      logging::info() << "an HTTP/2 connection is closed: " << nghttp2_strerror(static_cast<int>(taken));
      return close();
    }
    evbuffer_drain(input, static_cast<std::size_t>(taken));
    received_ += static_cast<std::uint64_t>(taken);
    // A session that is ending passes everything over.
    if (server_ && nghttp2_session_want_read(session_.get()) && received_ > begun_ + client_preface + frame_head) {
      const auto passed_over = received_ - begun_ - client_preface - frame_head;
      begun_ += passed_over;
      if ((abuse_ = guard_.unknown(Guard::Clock::now(), passed_over))) return overdone(*abuse_);
    }
  }
  if (!closed_) flush();
}

void Session::frame_received(const nghttp2_frame& frame) {
  const std::int32_t id = frame.hd.stream_id;
  connect_timer_.stop();
  const bool ack = frame.hd.flags & NGHTTP2_FLAG_ACK;
  if (frame.hd.type == NGHTTP2_GOAWAY && !std::exchange(going_, true) && !server_) owner_.going(*this);
  if (frame.hd.type == NGHTTP2_PING && ack) {
    if (last_timer_.pending()) last_call();
    ping_timer_.stop();
    doubt(false);
  }
  if (frame.hd.type == NGHTTP2_SETTINGS && !ack && !server_)
    owner_.allowed(*this, nghttp2_session_get_remote_settings(session_.get(), NGHTTP2_SETTINGS_MAX_CONCURRENT_STREAMS));
  Stream* stream = this->stream(id);
  if (!stream) return;
  if (frame.hd.type == NGHTTP2_RST_STREAM && server_ && !stream->responded && !abuse_)
    abuse_ = guard_.reset_early(Guard::Clock::now());
  if (frame.hd.type == NGHTTP2_HEADERS) {
    if (server_ && frame.headers.cat == NGHTTP2_HCAT_REQUEST) {
      stream->events = owner_.opened(*this, id, stream->incoming);
      if ((stream = this->stream(id)) && !stream->events && !stream->ended) reset(id, NGHTTP2_REFUSED_STREAM);
    } else if (stream->events) {
      stream->events->headers(stream->incoming);
    }
  }
  const bool may_end = frame.hd.type == NGHTTP2_HEADERS || frame.hd.type == NGHTTP2_DATA;
  stream = this->stream(id);
  if (may_end && (frame.hd.flags & NGHTTP2_FLAG_END_STREAM) && stream) {
    stream->whole = true;
    if (stream->events) stream->events->half_closed();
  }
}

bool Session::sent(const Stream& stream) const {
  return stream.sent_at > 0 && written_ - connection_->unsent() >= stream.sent_at;
}

void Session::stream_closed(std::int32_t id, std::uint32_t code) {
  const auto found = streams_.find(id);
  if (found == streams_.end()) return;
  StreamEvents* events = found->second.events;
  // A stream that the peer refuses, or whose id its GOAWAY passes over, has certainly not been handled.
  const bool was_sent = code != NGHTTP2_REFUSED_STREAM && sent(found->second);
  streams_.erase(found);
  if (events) events->closed(code, was_sent);
}

void Session::close() {
  if (std::exchange(closed_, true)) return;
  for (net::Timer* timer : {&connect_timer_, &ping_timer_, &look_timer_, &last_timer_}) timer->stop();
  end_streams();
  if (connection_->started()) connection_->end_sending();
  owner_.closed(*this);
}

void Session::end_streams() {
  while (!streams_.empty()) {
    const auto first = streams_.begin();
    StreamEvents* events = first->second.events;
    const bool was_sent = connected_ && sent(first->second);
    streams_.erase(first);
    if (events) events->closed(connection_lost, was_sent);
  }
}

}  // namespace lemonroute::grpc
