// One HTTP/2 connection, of either side: nghttp2's session, which does no I/O of its own, on a
// net::Connection.
#pragma once

#include <nghttp2/nghttp2.h>

#include <deque>
#include <map>
#include <memory>
#include <optional>
#include <string>

#include "grpc/limits.h"
#include "grpc/message.h"
#include "net/connection.h"

namespace lemonroute::grpc {

class Session;

// What happens on one stream.
class StreamEvents {
 public:
  virtual ~StreamEvents() = default;
  virtual void headers(const Headers& headers) = 0;  // of an answer, and its trailers
  virtual void data(std::string_view piece) = 0;
  virtual void written() {}      // all that a client had to send has gone to the kernel
  virtual void half_closed() {}  // the peer has sent all it had
  virtual void drained() {}      // little of what was written still waits
  // The stream is over, and the last that is heard of it. `code` is the error of HTTP/2 (0 = none) or
  // connection_lost; `sent` tells whether all that was written had left, so that the peer may have it.
  virtual void closed(std::uint32_t code, bool sent) = 0;
};
constexpr std::uint32_t connection_lost = 0xffffffff;

class SessionOwner {
 public:
  virtual ~SessionOwner() = default;
  // A server's new stream. Without events it is reset.
  virtual StreamEvents* opened(Session&, std::int32_t, const Headers&) { return nullptr; }
  virtual void closed(Session& session) = 0;  // the owner disposes of the session
  // ---- of a client's session ----
  virtual void connected(Session&) {}
  virtual void allowed(Session&, std::uint32_t) {}  // streams at once, by the peer's SETTINGS
  virtual void going(Session&) {}                   // no new requests: GOAWAY, or all ids are used
  virtual void doubted(Session&, bool) {}           // whether a ping is out that has not been answered
  // ---- of a server's session ----
  virtual void overdone(Session&, Abuse, bool) {
  }  // the peer; true: the connection ends for it, else one stream
};

class Session : net::Connection::Handler {
 public:
  struct Limits {
    std::chrono::microseconds connect_timeout{std::chrono::milliseconds(250)};
    std::chrono::microseconds greeting_timeout{std::chrono::seconds(2)};  // for a client's first frame
    std::chrono::microseconds ping_timeout{std::chrono::seconds(1)};
    std::uint32_t streams = 128;
    // Of a server: a connection without calls is ended after `idle`, any after `age`, each shortened by up to
    // a tenth by `jitter` (0 to 1), so that clients which came together do not leave together.
    std::chrono::microseconds idle{std::chrono::minutes(5)}, age{std::chrono::minutes(30)};
    double jitter = 0;
    std::chrono::microseconds last_call{
        std::chrono::milliseconds(500)};  // from "no more" to the last number that counts
    // Of a server that has said which stream was the last: for a request to come to its end. The process ends
    // soon, and the client can send elsewhere what has certainly not been handled.
    std::chrono::microseconds last_request{std::chrono::seconds(1)};
    Guard::Limits guard{};
  };
  Session(net::Loop& loop, evutil_socket_t accepted, SessionOwner& owner, Limits limits);    // server
  Session(net::Loop& loop, const std::string& address, SessionOwner& owner, Limits limits);  // client
  ~Session() override;
  Session(const Session&) = delete;
  Session& operator=(const Session&) = delete;

  bool usable() const { return !closed_ && !going_; }  // for a new request
  bool quiet() const { return streams_.empty(); }
  /// Returns whether answers, or their ends, have not left this process yet.
  bool has_unsent_answers() const { return !streams_.empty() || connection_->unsent() > 0; }
  /// Returns whether the peer has ended or reset the connection, however much of what it sent is unread.
  bool peer_has_closed() const { return connection_->peer_has_closed(); }

  // A client's request, under the stream id that is returned (negative: none is left). It waits here until
  // the connection is up, what was written before has left, and the peer allows one more stream; until then
  // nothing of it is sent. What is left until `deadline` is told to the peer as grpc-timeout when the request
  // is written; after `deadline` it is not written any more.
  std::int32_t request(const Headers& headers, std::string body, StreamEvents& events,
                       std::optional<Guard::Clock::time_point> deadline = {});
  void respond(std::int32_t id, const Headers& headers);  // server
  void write(std::int32_t id, std::string bytes);
  void finish(std::int32_t id, Headers trailers);  // after what was written; trailers without headers if none
  void reset(std::int32_t id, std::uint32_t code);  // and nothing more is told of the stream
  // Of a client's request: nothing of it was handed to the connection, and nothing is after a reset.
  bool unsent(std::int32_t id) const;
  std::size_t waiting(std::int32_t id) const;  // bytes written that have not left
  /// Has StreamEvents::drained called once little of what was written still waits, however little it was.
  void report_drained(std::int32_t id);
  void hold_back(std::int32_t id, bool on);  // lets the peer wait with its data
  void check_alive();                        // closes the connection unless the peer answers a ping
  // Takes no more streams. A server says so in two steps (RFC 9113, 6.8): first that it will, then, once
  // calls that were under way have arrived, which was the last; so none of them is lost.
  void go_away();
  /// Takes no more streams, and closes the connection once its answers have left, or when the time for some
  /// of an answer to be taken is over.
  void end_after_answers();
  void close();  // now; open streams are told

 private:
  struct Stream {
    StreamEvents* events = nullptr;
    Headers incoming;                // until it has been handed to the owner or to the events
    std::size_t incoming_bytes = 0;  // of the header list, as RFC 9113, 10.5.1 counts them
    std::deque<std::string> out;
    std::unique_ptr<net::MemoryBudget::Account> request_memory;  // of a client's request, until it has left
    std::size_t out_offset = 0, out_size = 0, unconsumed = 0;
    Headers trailers;
    // Returns the header list that has come, and holds none.
    Headers take_headers() {
      incoming_bytes = 0;
      return std::exchange(incoming, {});
    }
    bool responded = false, ended = false, held_back = false, parked = false, full = false;
    bool told_written = false, whole = false;    // whole: the request has come to its end
    bool begun = false;                          // its first frame has been handed to the connection
    Guard::Clock::time_point opened{}, moved{};  // moved: when some of the answer was last taken
    std::uint64_t sent_at = 0;  // count of bytes written when the last of it went out; 0 = not yet
  };
  // A client's request that the library has not been given yet.
  struct Waiting {
    std::int32_t id;
    Headers headers;
    std::optional<Guard::Clock::time_point> deadline;
  };
  struct Free {
    void operator()(nghttp2_session* session) const { nghttp2_session_del(session); }
  };
  static constexpr std::size_t most_header_bytes = 16 * 1024, frame_head = 9;
  static constexpr std::size_t header_field_overhead = 32;  // RFC 9113, 6.5.2
  static constexpr std::chrono::seconds look_again{1};

  void start(bool server);
  void flush();
  void open_streams();  // of the requests that wait, as many as the peer allows now
  void open_stream(const Waiting& request);
  void refuse_waiting();  // requests that wait are told that they have not been sent
  bool forget_waiting(std::int32_t id);
  void flush_soon();
  void on_connected() override;
  void on_readable() override;
  void on_drained() override;
  void on_closed() override { close(); }
  void frame_received(const nghttp2_frame& frame);
  int frame_begun(const nghttp2_frame_hd& head);
  void overdone(Abuse abuse);  // the connection ends
  void part();                 // all is said; it ends once the peer has ended it too, or soon
  void look();                 // at what takes too long
  void refuse_late(Guard::Clock::time_point now);  // requests that a drain can't wait for
  void last_call();
  void end_streams();
  void unheard();  // the answer to a ping is late, or does not come at all
  void doubt(bool on);
  void answer_ended(std::int32_t id, std::uint64_t at);
  void stream_closed(std::int32_t id, std::uint32_t code);
  bool sent(const Stream& stream) const;
  ssize_t fill(std::int32_t id, std::uint8_t* buffer, std::size_t size, std::uint32_t* flags);
  Stream* stream(std::int32_t id);
  static nghttp2_data_provider body_source();
  static nghttp2_session_callbacks* callbacks();

  net::Loop& loop_;
  SessionOwner& owner_;
  Limits limits_;
  bool server_, connected_, closed_ = false, going_ = false, flush_pending_ = false, counted_out_ = false,
                            doubted_ = false, condemned_ = false, given_up_ = false;
  Guard guard_;
  std::optional<Abuse> abuse_;
  std::uint64_t received_ = 0, begun_ = 0;  // bytes: all that came, and those of frames that were begun
  Guard::Clock::time_point since_ = Guard::Clock::now(), rests_ = since_;
  std::uint64_t written_ = 0;
  net::MemoryBudget::Account output_memory_;  // of what has been handed to the connection and has not left
  std::map<std::int32_t, Stream> streams_;
  std::deque<Waiting> waiting_;     // in the order of their ids; each has its entry in streams_
  std::uint32_t next_id_ = 1;       // of a client's next request
  std::int32_t last_counted_ = -1;  // of a server, once it has said which stream was the last
  std::shared_ptr<Session*> self_;  // outlived by weak references of deferred jobs
  net::Timer connect_timer_, ping_timer_, look_timer_, last_timer_, end_timer_;
  std::unique_ptr<nghttp2_session, Free> session_;
  std::unique_ptr<net::Connection> connection_;
};

}  // namespace lemonroute::grpc
