#include "discovery/cadence.h"

#include <algorithm>

namespace lemonroute::discovery {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

// Guards against an outage's end that goes unnoticed: what the agent gets then counts as told at once, and
// the grace runs out. No two calls of an outage are further apart than this, half of the grace.
constexpr Micros shortest_turn = milliseconds(100), longest_turn = milliseconds(250);

// Guards against a watch whose connection has gone silent: nothing tells that apart from a list that does not
// change, so it goes unnoticed for as long as discovery may wait. A watch that goes on is no new call, so
// short waits cost nothing but these bytes.
constexpr Micros pushed_wait = milliseconds(500), asked_wait = seconds(2);
// Beyond that wait; drawn, or a fleet whose watches fall silent together would open them anew together.
constexpr Micros pushed_least = milliseconds(150), pushed_most = milliseconds(350);
constexpr Micros asked_least = milliseconds(500), asked_most = seconds(1);
// Guards against an answer that comes by drops: it is never silent for long, and never told.
constexpr Micros list_length = seconds(1), pushed_length = seconds(1), asked_length = milliseconds(1500);

// Guards what is asked from being asked by a whole fleet without pause, and the 6 s from being slept through:
// the longest call that fails, this rest and the slowest answer that is taken come to less.
constexpr Micros asked_rest = milliseconds(100), asked_longest_rest = milliseconds(1500);
// What was missed is asked for by a watch of this wait: the changes alone, where lines have their price.
constexpr Micros changes_wait = milliseconds(100);

}  // namespace

Cadence::Cadence(Lists lists, Micros drain_grace, std::uint64_t seed) : lists_(lists), random_(seed) {
  retune(lists, drain_grace);
}

void Cadence::retune(Lists lists, Micros drain_grace) {
  lists_ = lists;
  turn_ = std::clamp<Micros>(drain_grace / 2, shortest_turn, longest_turn);
}

Micros Cadence::between(Micros least, Micros most) {
  return Micros(std::uniform_int_distribution<Micros::rep>(least.count(), most.count())(random_));
}

Cadence::Call Cadence::ask_whole() {
  const Micros first =
      lists_ == Lists::pushed ? between(turn_ / 2, turn_ * 6 / 10) : between(asked_least, asked_most);
  return {"/v1/servers", Micros(0), first, first + list_length};
}

Cadence::Call Cadence::ask_changes(Micros wait, Micros patience) {
  const auto thinks = std::chrono::duration_cast<milliseconds>(wait).count();
  return {"/v1/servers?index=" + std::to_string(*version_) + "&wait=" + std::to_string(thinks),
          wait,
          wait + patience,
          {}};
}

Cadence::Call Cadence::next() {
  Call call;
  if (!version_) {
    call = ask_whole();
  } else if (lists_ == Lists::pushed) {
    call = ask_changes(pushed_wait, between(pushed_least, pushed_most));
    call.whole = call.wait + pushed_length;
  } else {
    call = ask_changes(failures_ ? changes_wait : asked_wait, between(asked_least, asked_most));
    call.whole = failures_ ? call.first + list_length : call.wait + asked_length;
  }
  waits_ = call.wait;
  return call;
}

Cadence::Answer Cadence::take(int status, std::string_view text, Micros took) {
  if (status != 200)
    throw ListError("status " + std::to_string(status));
  Answer answer{parse_list_text(text), std::nullopt, Micros(0)};
  const NodeList& list = answer.list;
  const bool whole = list.whole || !version_;
  // Guards against a discovery that was started anew and counts from the beginning: what it calls changes are
  // none of the list that is held here, and what happened since its start would never be told.
  if (!whole && list.version < *version_)
    throw ListError("changes up to " + std::to_string(list.version) + " after " + std::to_string(*version_));
  // Guards against an agent that does not wait: it would be called without pause. Within 200 ms the watch
  // goes on.
  if (version_ == list.version && took < waits_ / 2)
    answer.rest = between(again / 2, again);
  if (whole)
    answer.kind = EndpointListKind::full;
  else if (!list.nodes.empty())
    answer.kind = EndpointListKind::incremental;
  answered(list.version);
  return answer;
}

void Cadence::answered(std::uint32_t version) {
  version_ = version;
  failures_ = 0;
}

Micros Cadence::rest() {
  if (lists_ == Lists::pushed)
    return between(turn_ * 2 / 10, turn_ * 4 / 10);
  Micros most = asked_rest;
  for (int i = 1; i < failures_ && most < asked_longest_rest; ++i)
    most *= 2;
  most = std::min(most, asked_longest_rest);
  return between(most / 2, most);
}

// Where the list costs nothing the whole of it is asked for, by a call that does not wait: whether discovery
// is back shows at once, and not after another wait.
Micros Cadence::failed(Fault fault) {
  ++failures_;
  if (lists_ == Lists::pushed || fault == Fault::bad_answer)
    version_.reset();
  return rest();
}

Micros Cadence::moved() {
  version_.reset();
  failures_ = 0;
  return rest();
}

}  // namespace lemonroute::discovery
