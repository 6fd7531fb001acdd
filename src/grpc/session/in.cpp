// What comes in on an HTTP/2 connection, from the library's callbacks to the streams.
#include "base/log.h"
#include "grpc/session.h"

namespace lemonroute::grpc {
namespace {

constexpr std::size_t client_preface = 24;

Session& session_of(void* self) {
  return *static_cast<Session*>(self);
}

}  // namespace

nghttp2_session_callbacks* Session::callbacks() {
  static const auto made = [] {
    nghttp2_session_callbacks* c = nullptr;
    nghttp2_session_callbacks_new(&c);
    nghttp2_session_callbacks_set_on_begin_frame_callback(
        c, [](nghttp2_session*, const nghttp2_frame_hd* head, void* self) {
          return session_of(self).frame_begun(*head);
        });
    nghttp2_session_callbacks_set_on_begin_headers_callback(
        c, [](nghttp2_session*, const nghttp2_frame* frame, void* self) {
          Session& s = session_of(self);
          if (s.server_ && frame->headers.cat == NGHTTP2_HCAT_REQUEST)
            s.streams_[frame->hd.stream_id].opened = Guard::Clock::now();
          if (auto* stream = s.stream(frame->hd.stream_id))
            stream->take_headers();
          return 0;
        });
    nghttp2_session_callbacks_set_on_header_callback(
        c, [](nghttp2_session*, const nghttp2_frame* frame, const std::uint8_t* name, std::size_t name_size,
              const std::uint8_t* value, std::size_t value_size, std::uint8_t, void* self) {
          auto* stream = session_of(self).stream(frame->hd.stream_id);
          if (!stream)
            return 0;
          stream->incoming_bytes += name_size + value_size + header_field_overhead;
          if (stream->incoming_bytes > most_header_bytes) {
            Session& s = session_of(self);
            if (s.server_ && !s.abuse_) {
              s.abuse_ = s.guard_.happened(Guard::Clock::now(), Abuse::headers);
              s.owner_.overdone(s, Abuse::headers, false);
            }
            return static_cast<int>(s.abuse_ ? NGHTTP2_ERR_CALLBACK_FAILURE
                                             : NGHTTP2_ERR_TEMPORAL_CALLBACK_FAILURE);
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
          if (!stream || !stream->events)
            return 0;
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
    nghttp2_session_callbacks_set_before_frame_send_callback(
        c, [](nghttp2_session*, const nghttp2_frame* frame, void* self) {
          auto* stream = session_of(self).stream(frame->hd.stream_id);
          if (stream && frame->hd.type == NGHTTP2_HEADERS)
            stream->begun = true;
          return 0;
        });
    nghttp2_session_callbacks_set_on_frame_send_callback(
        c, [](nghttp2_session*, const nghttp2_frame* frame, void* self) {
          Session& s = session_of(self);
          auto* stream = s.stream(frame->hd.stream_id);
          if (frame->hd.type == NGHTTP2_DATA)
            s.guard_.sent_data();
          if (stream && (frame->hd.type == NGHTTP2_DATA || frame->hd.type == NGHTTP2_HEADERS) &&
              (frame->hd.flags & NGHTTP2_FLAG_END_STREAM))
            s.answer_ended(frame->hd.stream_id, s.written_ + frame->hd.length + frame_head);
          return 0;
        });
    return c;
  }();
  return made;
}

// The last frame that we had for a stream is on its way; `at` is its end in the count of bytes written.
void Session::answer_ended(std::int32_t id, std::uint64_t at) {
  Stream& one = *stream(id);
  one.sent_at = at;
  // Guards against a client that does not end its request: the stream would stay open, and with it a
  // connection that is to end (RFC 9113, 8.1).
  if (server_ && !one.whole)
    nghttp2_submit_rst_stream(session_.get(), NGHTTP2_FLAG_NONE, id, NGHTTP2_NO_ERROR);
}

void Session::on_connected() {
  connected_ = true;
  connect_timer_.stop();
  if (!server_)
    owner_.connected(*this);
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
    const ssize_t taken =
        nghttp2_session_mem_recv(session_.get(), evbuffer_pullup(input, static_cast<ev_ssize_t>(size)), size);
    if (taken < 0 && abuse_)
      return overdone(*abuse_);
    // The library bounds two floods itself: CONTINUATION and answers
    // that the peer does not take.
    if (server_ && taken == NGHTTP2_ERR_TOO_MANY_CONTINUATIONS)
      return overdone(Abuse::continuations);
    if (server_ && taken == NGHTTP2_ERR_FLOODED)
      return overdone(Abuse::pings);
    if (taken < 0) {
      // Guards against a peer that does not speak HTTP/2: the session can't go on, other peers are not hurt.
      logging::info() << "an HTTP/2 connection is closed: " << nghttp2_strerror(static_cast<int>(taken));
      return close();
    }
    evbuffer_drain(input, static_cast<std::size_t>(taken));
    received_ += static_cast<std::uint64_t>(taken);
    // A session that is ending passes everything over.
    if (server_ && nghttp2_session_want_read(session_.get()) &&
        received_ > begun_ + client_preface + frame_head) {
      const auto passed_over = received_ - begun_ - client_preface - frame_head;
      begun_ += passed_over;
      if ((abuse_ = guard_.unknown(Guard::Clock::now(), passed_over)))
        return overdone(*abuse_);
    }
  }
  if (given_up_)
    return close();
  if (!closed_)
    flush();
}

void Session::frame_received(const nghttp2_frame& frame) {
  const std::int32_t id = frame.hd.stream_id;
  connect_timer_.stop();
  const bool ack = frame.hd.flags & NGHTTP2_FLAG_ACK;
  if (frame.hd.type == NGHTTP2_GOAWAY && !std::exchange(going_, true) && !server_) {
    owner_.going(*this);
    refuse_waiting();
  }
  // Who says so with an error closes next (RFC 9113, 5.4.1), and takes no answer any more.
  if (frame.hd.type == NGHTTP2_GOAWAY && server_ && frame.goaway.error_code != NGHTTP2_NO_ERROR)
    given_up_ = true;
  if (frame.hd.type == NGHTTP2_PING && ack) {
    if (last_timer_.pending())
      last_call();
    ping_timer_.stop();
    doubt(false);
  }
  if (frame.hd.type == NGHTTP2_SETTINGS && !ack && !server_) {
    const std::uint32_t most =
        nghttp2_session_get_remote_settings(session_.get(), NGHTTP2_SETTINGS_MAX_CONCURRENT_STREAMS);
    owner_.allowed(*this, most);
    if (most == 0)
      refuse_waiting();
  }
  Stream* stream = this->stream(id);
  if (!stream)
    return;
  if (frame.hd.type == NGHTTP2_RST_STREAM && server_ && !stream->responded && !abuse_)
    abuse_ = guard_.reset_early(Guard::Clock::now());
  if (frame.hd.type == NGHTTP2_HEADERS) {
    // Danger: a request that comes behind "no more" and before that has been written. Its client is about to
    // read that it has not been handled, and sends it again elsewhere.
    if (server_ && frame.headers.cat == NGHTTP2_HCAT_REQUEST && counted_out_ && id > last_counted_) {
      reset(id, NGHTTP2_REFUSED_STREAM);
    } else if (server_ && frame.headers.cat == NGHTTP2_HCAT_REQUEST) {
      const Headers headers = stream->take_headers();
      stream->events = owner_.opened(*this, id, headers);
      if ((stream = this->stream(id)) && !stream->events && !stream->ended)
        reset(id, NGHTTP2_REFUSED_STREAM);
    } else if (stream->events) {
      stream->events->headers(stream->take_headers());
    }
  }
  const bool may_end = frame.hd.type == NGHTTP2_HEADERS || frame.hd.type == NGHTTP2_DATA;
  stream = this->stream(id);
  if (may_end && (frame.hd.flags & NGHTTP2_FLAG_END_STREAM) && stream) {
    stream->whole = true;
    if (stream->events)
      stream->events->half_closed();
  }
}

void Session::stream_closed(std::int32_t id, std::uint32_t code) {
  const auto found = streams_.find(id);
  if (found == streams_.end())
    return;
  StreamEvents* events = found->second.events;
  // A stream that the peer refuses, or whose id its GOAWAY passes over, has certainly not been handled.
  const bool was_sent = code != NGHTTP2_REFUSED_STREAM && sent(found->second);
  streams_.erase(found);
  if (events)
    events->closed(code, was_sent);
}

}  // namespace lemonroute::grpc
