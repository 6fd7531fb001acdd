#include "http/client_connection.h"

#include <sstream>

#include "http/front.h"
#include "http/request_fields.h"

namespace lemonroute::http {
namespace {

constexpr std::size_t most_unsent = 64 * 1024;  // of an answer, before the node has to wait
// Twice what is kept behind an open request. Danger: libevent calls for input again and again while as much
// as this is left in it, and the loop never rests. So wherever reading is on, what comes is taken or dropped.
constexpr std::size_t most_input = 64 * 1024;
constexpr Micros cut_within = std::chrono::seconds(1);  // for the events before a cut to be taken
constexpr double characters_a_token = 4;

}  // namespace

ClientConnection::ClientConnection(Front& front, evutil_socket_t fd)
    : front_(front),
      timer_(front.loop_, [this] { on_timer(); }),
      connection_(front.loop_, fd, *this),
      memory_(front.loop_.memory(), [this] { evict_request(); }) {
  connection_.limit_input(most_input);
  timer_.start(front_.options_.asking);
}
ClientConnection::ClientConnection(Front& front, const TransferredConnection& adopted)
    : ClientConnection(front, adopted.fd) {
  timer_.stop();
  state_ = State::streaming;
  asked_ = whole_ = true;
  closes_ = adopted.close_after_response;
  keep_ = !closes_;
}
ClientConnection::~ClientConnection() {
  if (state_ == State::waiting || state_ == State::streaming)
    front_.router_.client_disconnected(id_);
}

bool ClientConnection::go_on(const TransferredStream& stream) {
  client_request_.prompt.id = stream.id;
  if (front_.router_.adopt_stream(stream, *this, id_))
    return true;
  state_ = State::closed;
  return false;
}

// ---- what comes in ----

void ClientConnection::on_readable() {
  if (state_ == State::head)
    read_head();
  if (state_ == State::body)
    read_body();
  if (state_ == State::waiting || state_ == State::streaming)
    read_ahead();
  else if (state_ == State::ending || state_ == State::lingering)
    drop_input();
  charge_memory();
}

void ClientConnection::read_head() {
  HeadScan scan = scan_head(connection_.input(), Kind::request, scanned_);
  if (scan.state == Scan::more) {
    if (evbuffer_get_length(connection_.input()) > 0)
      begin_request();
    return;
  }
  begin_request();
  if (scan.state == Scan::fault)
    return answer_and_close(static_cast<int>(scan.fault));
  keep_ = !scan.head.closes();
  Fault fault = Fault::none;
  const auto body = Body::of_request(scan.head, fault);
  if (!body)
    return answer_and_close(static_cast<int>(fault));
  status_ = answer_of(scan.head, front_.draining_, client_request_);
  body_ = *body;
  if (same_name(scan.head.field("Expect"), "100-continue") && status_ == 0)
    connection_.write("HTTP/1.1 100 Continue\r\n\r\n");
  evbuffer_drain(connection_.input(), scan.length);
  state_ = State::body;
}

// Guards the places of the front: a peer that says nothing, or sends its request by drops, has as long for
// all of it, so the time of the first request runs from connecting on and is never started anew.
void ClientConnection::begin_request() {
  whole_ = false;
  memory_.set_evictable(true);
  if (std::exchange(in_request_, true) || !asked_)
    return;
  timer_.start(front_.options_.asking);
  front_.admission_.busy(*this);
}

void ClientConnection::read_body() {
  const auto state = body_.take(connection_.input(), [this](std::string_view piece) {
    received_.append(piece);
    return true;
  });
  charge_memory();
  const bool evicted = state_ != State::body;
  if (evicted)
    return;
  if (state == Body::State::fault)
    return answer_and_close(static_cast<int>(body_.fault()));
  if (state == Body::State::more)
    return;
  timer_.stop();
  memory_.set_evictable(false);
  in_request_ = false;
  asked_ = whole_ = true;
  front_.admission_.busy(*this);
  if (status_ != 0)
    return answer(status_);
  // Who had gone before its request was read, in the listener's queue or while this process did not run,
  // wants nothing.
  if (connection_.peer_has_closed())
    return close();
  client_request_.prompt.body = net::budgeted_text(front_.loop_.memory(), received_.take());
  charge_memory();
  if (client_request_.prompt_tokens == 0)
    client_request_.prompt_tokens =
        static_cast<double>(client_request_.prompt.body->size()) / characters_a_token;
  state_ = State::waiting;
  switch (front_.router_.submit(client_request_, *this, id_)) {
    case Router::SubmitResult::accepted:
      return;
    case Router::SubmitResult::shutting_down:
      return answer(503);
    case Router::SubmitResult::unknown_class:
    case Router::SubmitResult::duplicate_id:
      return answer(400);
  }
}

void ClientConnection::release_request() {
  memory_.set_evictable(false);
  received_.clear();
  client_request_.prompt.body.reset();
  charge_memory();
}

void ClientConnection::charge_memory() {
  memory_.hold(received_.capacity() + evbuffer_get_length(connection_.input()) + connection_.unsent());
}

// The request has had no effect, so its client may send it again.
void ClientConnection::evict_request() {
  front_.loop_.tally().note(net::Overdone::no_memory);
  received_.clear();
  keep_ = false;
  answer(503, "Retry-After: 1\r\n");
}

void ClientConnection::on_drained() {
  charge_memory();
  if (state_ == State::ending)
    return finish_ending();
  if (state_ == State::streaming && std::exchange(held_back_, false)) {
    timer_.stop();
    front_.router_.resume_stream(id_);
  }
}
// A peer that ends only its sending counts as gone as well: nothing tells it from one that closed, until
// something is written to it, and a request that goes on for a client that has gone costs nodes more than the
// few that half-close.
void ClientConnection::on_closed() {
  if (state_ != State::closed)
    close();
}
void ClientConnection::on_timer() {
  if (state_ == State::streaming || state_ == State::ending)
    front_.loop_.tally().note(net::Overdone::takes_nothing, client_request_.prompt.id);
  if (state_ == State::head && !asked_ && !in_request_)
    front_.loop_.tally().note(net::Overdone::silent);
  if (in_request_ && (state_ == State::head || state_ == State::body))
    return answer_and_close(408);
  if (state_ == State::head)
    return half_close();
  if (leaving() && leaves_on())
    return;
  close();
}

// ---- what goes out ----

bool ClientConnection::on_data(std::string_view data) {
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
    if (end == std::string_view::npos)
      break;
    data.remove_prefix(end + 1);
  }
  chunk << std::hex << text.size() + 1 << "\r\n" << text << "\n\r\n";
  connection_.write(chunk.str());
  charge_memory();
  if (connection_.unsent() < most_unsent && !front_.loop_.memory().is_exhausted())
    return true;
  held_back_ = true;
  timer_.start(front_.options_.sending);
  return false;
}
void ClientConnection::finish() {
  connection_.write("e\r\ndata: [DONE]\n\n\r\n0\r\n\r\n");
  complete(closes_);
}
void ClientConnection::reject(Micros stay_away) {
  std::ostringstream field;
  if (stay_away > Micros(0))
    field << "Retry-After: " << std::chrono::duration<double>(stay_away).count() << "\r\n";
  answer(429, field.str());
}
void ClientConnection::fail(FailureReason why) {
  answer(why == FailureReason::timed_out ? 504 : why == FailureReason::bad_request ? 400 : 502);
}
std::optional<TransferredConnection> ClientConnection::transferable_connection() {
  const bool between = state_ == State::streaming && !held_back_ && connection_.at_rest();
  return between ? std::optional(TransferredConnection{connection_.descriptor(), closes_}) : std::nullopt;
}
void ClientConnection::on_transferred() {
  connection_.read(false);  // what comes from now on is for the other process
  state_ = State::closed;
  front_.discard(*this);
}
void ClientConnection::abort_stream() {
  // No last chunk: the client must see that the stream is not whole, and see it now.
  begin_ending(cut_within);
}

// Guards against clients that ask once and stay: by the time their places are needed there may be hundreds
// of them, all too fresh at rest to be closed.
bool ClientConnection::ends_connection() const {
  return front_.draining_ || !keep_ || front_.admission_.crowded();
}

void ClientConnection::answer(int status, std::string_view field) {
  const bool closes = ends_connection();
  std::string fields(field);
  if (closes)
    fields += "Connection: close\r\n";
  if (status == 405)
    fields += "Allow: POST\r\n";
  connection_.write(whole_answer(status, fields));
  complete(closes);
}
void ClientConnection::answer_and_close(int status) {
  front_.loop_.tally().note(status == 408 ? net::Overdone::too_slow : net::Overdone::not_understood,
                            std::to_string(status));
  keep_ = false;
  answer(status);
}

// The answer is written; another request may follow.
void ClientConnection::complete(bool closes) {
  timer_.stop();
  in_request_ = false;
  release_request();
  // Guards against a stream whose head went out before the program began to drain and so did not say that the
  // connection ends: the client would ask again on it, of a process that is about to end. What it has asked
  // by now is answered, by an answer that says so. And against a client that sends request behind request and
  // takes no answer, which would pile up here.
  const bool asked_again = evbuffer_get_length(connection_.input()) > 0;
  if (closes || (front_.draining_ && !asked_again) || connection_.unsent() >= most_unsent)
    return begin_ending(front_.options_.sending);
  state_ = State::head;
  timer_.start(front_.options_.idle);
  front_.admission_.at_rest(*this);
  if (asked_again)
    connection_.poke();
}

}  // namespace lemonroute::http
