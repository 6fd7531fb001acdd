// How a client's connection ends, and what becomes of bytes that nobody asked for.
#include "http/client_connection.h"
#include "http/front.h"

namespace lemonroute::http {
namespace {

constexpr std::size_t most_ahead = 32 * 1024;  // kept of what comes behind an open request
constexpr std::size_t most_ahead_short_of_memory = 4 * 1024;
// After our end the peer has so long to end as well, and may finish sending so much of a request already
// answered.
constexpr Micros linger_for = std::chrono::seconds(1);
constexpr std::size_t most_dropped = 1024 * 1024;

}  // namespace

// Who has begun a request hears that it was not taken, instead of an end without a word.
void ClientConnection::dismiss() {
  if (leaving())
    return close();
  front_.loop_.tally().note(net::Overdone::dismissed);
  const bool asked_again =
      evbuffer_get_length(connection_.input()) > 0;  // behind an answer that has just ended
  if (!in_request_ && !asked_again)
    return half_close();
  keep_ = whole_ = false;
  answer(503, "Retry-After: 0.1\r\n");
  connection_.push();
  if (state_ != State::ending)
    return;
  if (connection_.unsent() > 0)
    return end_after_answer();
  finish_ending();
}

void ClientConnection::close() {
  const State was = std::exchange(state_, State::closed);
  if (was == State::waiting || was == State::streaming)
    front_.router_.client_disconnected(id_);
  front_.discard(*this);
}

void ClientConnection::on_disconnected() {
  state_ = State::closed;
  front_.discard(*this);
}

// What comes from now on belongs to no answer of this connection, unless its request is not whole.
void ClientConnection::begin_ending(Micros within) {
  state_ = State::ending;
  release_request();
  if (whole_)
    connection_.read(false);
  timer_.start(within);
  if (connection_.unsent() == 0)
    finish_ending();
}

// All has been sent. Closing with bytes unread would reset the connection and could take the answer with it,
// so our end is told first, and the peer's waited for. Danger: a request that is in the kernel by then, or
// comes while we wait. It could not be answered, so it must not be sent on; and read here it would be lost,
// while a client whose request was not read sends it again elsewhere. Only what belongs to a request that has
// had its answer is read.
void ClientConnection::finish_ending() {
  if (whole_ && evbuffer_get_length(connection_.input()) == 0)
    return half_close();
  state_ = State::lingering;
  connection_.read(true);
  connection_.end_sending();
  timer_.start(linger_for);
  front_.admission_.leaving(*this);
  if (state_ == State::lingering)
    drop_input();
}

// A slow client has as long for the end of its answer as for any part of it, and is not dismissed meanwhile.
void ClientConnection::end_after_answer() {
  front_.admission_.busy(*this);
  begin_ending(front_.options_.sending);
}

// The end of an answer may not have left yet: it is given to the kernel before our end is told.
void ClientConnection::half_close() {
  connection_.push();
  if (connection_.unsent() > 0)
    return end_after_answer();
  state_ = State::half_closed;
  connection_.end_sending();
  connection_.leave_unread();
  timer_.start(linger_for);
  front_.admission_.leaving(*this);
}

// Guards the end of an answer that a slow client's kernel has not had yet: a close over bytes unread resets
// the connection and takes it along. The client has as long for it as for any part of an answer. With nothing
// unread the kernel goes on sending after a close.
bool ClientConnection::leaves_on() {
  left_for_ += linger_for;
  if (left_for_ >= front_.options_.sending || connection_.silent() || !connection_.unacknowledged())
    return false;
  timer_.start(linger_for);
  return true;
}

void ClientConnection::drop_input() {
  const std::size_t size = evbuffer_get_length(connection_.input());
  evbuffer_drain(connection_.input(), size);
  if ((dropped_ += size) > most_dropped)
    overdone();
}

// Danger: a client that is not read is not seen to go, while its answer is held back or its request waits for
// a place. So it is read on, whatever it sends. What comes behind an open request waits its turn, up to a
// bound; beyond that it is dropped, and the connection ends with the answer, since the next request's
// beginning is lost.
void ClientConnection::read_ahead() {
  const std::size_t most = front_.loop_.memory().is_exhausted() ? most_ahead_short_of_memory : most_ahead;
  if (dropped_ == 0 && evbuffer_get_length(connection_.input()) <= most)
    return;
  if (dropped_ == 0)
    front_.loop_.tally().note(net::Overdone::sent_ahead, client_request_.prompt.id);
  keep_ = false;
  closes_ = true;
  drop_input();
}

// Guards the loop against a sender that never stops: each byte read costs the others' time. A request that
// waits gets its answer, a stream is cut.
void ClientConnection::overdone() {
  front_.loop_.tally().note(net::Overdone::flood, client_request_.prompt.id);
  const State was = state_;
  if (was != State::waiting && was != State::streaming)
    return close();
  front_.router_.client_disconnected(id_);
  if (was == State::waiting)
    answer(400);
  else
    begin_ending(linger_for);
}

}  // namespace lemonroute::http
