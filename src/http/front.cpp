#include "http/front.h"

#include <charconv>
#include <cmath>
#include <sstream>

#include "base/log.h"
#include "http/message.h"

namespace lemonroute::http {
namespace {

constexpr std::size_t most_unsent = 64 * 1024;  // of an answer, before the node has to wait
constexpr std::size_t most_input = 32 * 1024;   // read ahead of a connection
constexpr std::string_view chat_path = "/v1/chat/completions";
constexpr double most_deadline_s = 3600;
constexpr Micros linger_for = std::chrono::seconds(1);
constexpr double characters_a_token = 4;

bool parse_real(std::string_view text, double most, double& value) {
  const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), value);
  return error == std::errc() && end == text.data() + text.size() && value >= 0 && value <= most;
}

}  // namespace

class ClientConnection : net::Connection::Handler, public net::Admission::Guest, public lemonroute::Client {
 public:
  ClientConnection(Front& front, evutil_socket_t fd)
      : front_(front), timer_(front.loop_, [this] { on_timer(); }), connection_(front.loop_, fd, *this) {
    connection_.limit_input(most_input);
    timer_.start(front_.options_.asking);
  }
  // A stream that another process began to answer.
  ClientConnection(Front& front, const Passed& adopted) : ClientConnection(front, adopted.fd) {
    timer_.stop();
    state_ = State::streaming;
    asked_ = whole_ = true;
    closes_ = adopted.closes;
    keep_ = !closes_;
  }
  bool go_on(const Passing& stream) {
    inquiry_.prompt.id = stream.id;
    if (front_.conductor_.adopt(stream, *this, id_)) return true;
    state_ = State::closed;
    return false;
  }
  ~ClientConnection() override {
    if (state_ == State::waiting || state_ == State::streaming) front_.conductor_.gone(id_);
  }
  // Nothing of a request has come, not to the kernel either: what is on its way may still be read and answered.
  bool between_requests() { return state_ == State::head && connection_.silent(); }
  bool at_rest() { return asked_ && between_requests(); }
  void dismiss() override { close(); }
  void close() {
    const State was = std::exchange(state_, State::closed);
    if (was == State::waiting || was == State::streaming) front_.conductor_.gone(id_);
    front_.discard(*this);
  }

 private:
  enum class State { head, body, waiting, streaming, ending, lingering, closed };

  // ---- what comes in ----
  void on_readable() override {
    if (state_ == State::head) read_head();
    if (state_ == State::body) read_body();
    if (state_ == State::lingering) evbuffer_drain(connection_.input(), evbuffer_get_length(connection_.input()));
  }

  void read_head() {
    HeadScan scan = scan_head(connection_.input(), Kind::request, scanned_);
    if (scan.state == Scan::more) {
      if (evbuffer_get_length(connection_.input()) > 0) begin_request();
      return;
    }
    begin_request();
    if (scan.state == Scan::fault) return answer_and_close(static_cast<int>(scan.fault));
    keep_ = !scan.head.closes();
    Fault fault = Fault::none;
    const auto body = Body::of_request(scan.head, fault);
    if (!body) return answer_and_close(static_cast<int>(fault));
    status_ = understand(scan.head);
    body_ = *body;
    if (same_name(scan.head.field("Expect"), "100-continue") && status_ == 0)
      connection_.write("HTTP/1.1 100 Continue\r\n\r\n");
    evbuffer_drain(connection_.input(), scan.length);
    text_ = std::make_shared<std::string>();
    state_ = State::body;
  }

  // Guards the places of the front: a peer that says nothing, or sends its request by drops, has as long for
  // all of it, so the time of the first request runs from connecting on and is never started anew.
  void begin_request() {
    whole_ = false;
    if (std::exchange(in_request_, true) || !asked_) return;
    timer_.start(front_.options_.asking);
    front_.admission_.busy(*this);
  }

  // The status of a request that is answered here, 0 for one that goes to the core.
  int understand(const Head& head) {
    const auto path = head.target.substr(0, head.target.find('?'));
    if (path == "/healthz") return head.method == "GET" ? (front_.draining_ ? 503 : 200) : 405;
    if (path != chat_path) return 404;
    if (head.method != "POST") return 405;
    if (head.minor == 0) return 400;  // a stream can't be framed for it
    inquiry_ = {};
    inquiry_.prompt.id = head.field("Req-Id");
    inquiry_.prompt.target = head.target;
    if (!valid_id(inquiry_.prompt.id)) return 400;
    inquiry_.kind = head.field("Req-Kind");
    inquiry_.tenant = head.field("Req-Owner");
    inquiry_.session = key_of(head.field("Req-Key"));
    if (const auto text = head.field("Req-Deadline"); !text.empty()) {
      double seconds = 0;
      if (!parse_real(text, most_deadline_s, seconds)) return 400;
      inquiry_.budget = std::max(Micros(1), Micros(std::llround(seconds * 1e6)));
    }
    const auto retry = head.field("Req-Retry");
    inquiry_.repeat = !retry.empty();
    inquiry_.resumed = retry == "again";
    return understand_extra(head.field("Req-Extra")) ? 0 : 400;
  }

  bool understand_extra(std::string_view extra) {
    while (!extra.empty()) {
      const auto comma = extra.find(',');
      const auto item = trim(extra.substr(0, comma));
      extra.remove_prefix(comma == std::string_view::npos ? extra.size() : comma + 1);
      const auto equals = item.find('=');
      if (equals == std::string_view::npos) return false;
      const auto name = item.substr(0, equals), value = item.substr(equals + 1);
      if (name == "prefix") inquiry_.shared = key_of(value);
      for (auto [wanted, to] : {std::pair<std::string_view, double*>{"prompt_len", &inquiry_.prompt_tokens},
                                {"prefix_len", &inquiry_.shared_tokens},
                                {"max_out", &inquiry_.max_output}})
        if (name == wanted && !parse_real(value, 1e7, *to)) return false;
    }
    return true;
  }

  void read_body() {
    const auto state = body_.take(connection_.input(), [this](std::string_view piece) {
      text_->append(piece);
      return true;
    });
    if (state == Body::State::fault) return answer_and_close(static_cast<int>(body_.fault()));
    if (state == Body::State::more) return;
    timer_.stop();
    in_request_ = false;
    asked_ = whole_ = true;
    front_.admission_.busy(*this);
    if (status_ != 0) return answer(status_);
    inquiry_.prompt.body = std::move(text_);
    if (inquiry_.prompt_tokens == 0)
      inquiry_.prompt_tokens = static_cast<double>(inquiry_.prompt.body->size()) / characters_a_token;
    state_ = State::waiting;
    const auto taken = front_.conductor_.take(inquiry_, *this, id_);
    if (taken != Conductor::Taken::yes) answer(400);
  }

  void on_drained() override {
    if (state_ == State::ending) return finish_ending();
    if (state_ == State::streaming && std::exchange(held_back_, false)) {
      timer_.stop();
      front_.conductor_.drained(id_);
    }
  }
  void on_closed() override {
    if (state_ != State::closed) close();
  }
  void on_timer() {
    if (state_ == State::streaming) logging::info() << "a client takes nothing, " << inquiry_.prompt.id;
    if (in_request_ && (state_ == State::head || state_ == State::body)) return answer_and_close(408);
    close();
  }

  // ---- what goes out ----
  bool event(std::string_view data) override {
    std::ostringstream chunk;
    if (state_ == State::waiting) {
      state_ = State::streaming;
      closes_ = ends_connection();
      chunk << "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nCache-Control: no-cache\r\n"
            << (closes_ ? "Connection: close\r\n" : "") << "Transfer-Encoding: chunked\r\n\r\n";
    }
    std::string text;
    for (;;) {
      const auto end = data.find('\n');
      text.append("data: ").append(data.substr(0, end)) += '\n';
      if (end == std::string_view::npos) break;
      data.remove_prefix(end + 1);
    }
    chunk << std::hex << text.size() + 1 << "\r\n" << text << "\n\r\n";
    connection_.write(chunk.str());
    if (connection_.unsent() < most_unsent) return true;
    held_back_ = true;
    timer_.start(front_.options_.sending);
    return false;
  }
  void finish() override {
    connection_.write("e\r\ndata: [DONE]\n\n\r\n0\r\n\r\n");
    complete(closes_);
  }
  void refuse(Micros stay_away) override {
    std::ostringstream field;
    if (stay_away > Micros(0))
      field << "Retry-After: " << std::chrono::duration<double>(stay_away).count() << "\r\n";
    answer(429, field.str());
  }
  void fail(Failure why) override {
    answer(why == Failure::timed_out ? 504 : why == Failure::unfit ? 400 : 502);
  }
  std::optional<Passed> passable() override {
    const bool between = state_ == State::streaming && !held_back_ && connection_.at_rest();
    return between ? std::optional(Passed{connection_.descriptor(), closes_}) : std::nullopt;
  }
  void passed() override {
    connection_.read(false);  // what comes from now on is for the other process
    state_ = State::closed;
    front_.discard(*this);
  }
  void cut() override {
    // No last chunk: the client must see that the stream is not whole, and see it now.
    state_ = State::ending;
    cut_ = true;
    timer_.start(linger_for);
    if (connection_.unsent() == 0) finish_ending();
  }

  // Guards against clients that ask once and stay: by the time their places are needed there may be hundreds
  // of them, all too fresh at rest to be closed.
  bool ends_connection() const { return front_.draining_ || !keep_ || front_.admission_.crowded(); }

  void answer(int status, std::string_view field = {}) {
    const bool closes = ends_connection();
    std::string fields(field);
    if (closes) fields += "Connection: close\r\n";
    if (status == 405) fields += "Allow: POST\r\n";
    connection_.write(whole_answer(status, fields));
    complete(closes);
  }
  void answer_and_close(int status) {
    logging::info() << "a client's request is not understood: " << status;
    keep_ = false;
    answer(status);
  }

  // The answer is written; another request may follow.
  void complete(bool closes) {
    timer_.stop();
    in_request_ = false;
    // Guards against a stream whose head went out before the program began to drain and so did not say that the
    // connection ends: the client would ask again on it, of a process that is about to end.
    if (closes || front_.draining_) {
      state_ = State::ending;
      timer_.start(front_.options_.sending);
      if (connection_.unsent() == 0) finish_ending();
      return;
    }
    state_ = State::head;
    timer_.start(front_.options_.idle);
    front_.admission_.at_rest(*this);
    if (evbuffer_get_length(connection_.input()) > 0) connection_.poke();
  }

  // All has been sent. Closing with bytes unread would reset the connection and could take the answer with
  // it, so a client that may still be sending is read for a moment. One that has sent its whole request is
  // not, and a cut stream has nothing to protect.
  void finish_ending() {
    if (cut_ || (whole_ && evbuffer_get_length(connection_.input()) == 0)) return close();
    state_ = State::lingering;
    connection_.end_sending();
    timer_.start(linger_for);
  }

  Front& front_;
  State state_ = State::head;
  RequestId id_ = 0;
  Inquiry inquiry_;
  int status_ = 0;
  bool keep_ = true, closes_ = false, in_request_ = false, asked_ = false, whole_ = false, held_back_ = false, cut_ = false;
  std::size_t scanned_ = 0;
  Body body_;
  std::shared_ptr<std::string> text_;
  net::Timer timer_;
  net::Connection connection_;
};

Front::Front(net::Loop& loop, Conductor& conductor, Options options)
    : loop_(loop),
      conductor_(conductor),
      options_(std::move(options)),
      admission_(loop, options_.most_connections, [this](bool on) { pause(on); }) {
  const net::Listener::Accepted accepted = [this](evutil_socket_t fd) { accept(fd); };
  for (const auto& address : options_.listen) {
    const bool given = options_.inherited && listeners_.empty();
    listeners_.push_back(given ? std::make_unique<net::Listener>(loop, address, *options_.inherited, accepted)
                               : std::make_unique<net::Listener>(loop, address, accepted, options_.inherited.has_value()));
  }
}
Front::~Front() = default;

void Front::accept(evutil_socket_t fd) {
  auto connection = std::make_unique<ClientConnection>(*this, fd);
  ClientConnection& made = *connection;
  connections_[&made] = std::move(connection);
  admission_.arrived(made);
}

void Front::adopt(const Passing& stream) {
  auto connection = std::make_unique<ClientConnection>(*this, stream.client);
  ClientConnection& made = *connection;
  connections_[&made] = std::move(connection);
  admission_.arrived(made);
  admission_.busy(made);
  if (made.go_on(stream)) return;
  // Nothing of it was taken, so the node's connection is still only a number.
  evutil_closesocket(stream.call.fd);
  discard(made);
}

void Front::discard(ClientConnection& connection) {
  const auto found = connections_.find(&connection);
  if (found == connections_.end()) return;
  loop_.dispose(std::move(found->second));
  connections_.erase(found);
  admission_.left(connection);
}

void Front::pause(bool on) {
  for (const auto& listener : listeners_) listener->pause(on);
}

void Front::drain() { draining_ = true; }

// The first listener's backlog is the other process's as well. A connection that was taken and has not asked yet is
// about to, and stays; so does one on which something has arrived.
void Front::hand_over() {
  draining_ = true;
  for (std::size_t i = 1; i < listeners_.size(); ++i) listeners_[i]->take_waiting();
  listeners_.clear();
  close_if(&ClientConnection::at_rest);
}

void Front::stop_accepting() {
  listeners_.clear();
  close_if(&ClientConnection::between_requests);
}

void Front::close_if(bool (ClientConnection::*holds)()) {
  std::vector<ClientConnection*> chosen;
  for (const auto& [connection, owned] : connections_)
    if ((connection->*holds)()) chosen.push_back(connection);
  for (auto* connection : chosen) connection->close();
}

}  // namespace lemonroute::http
