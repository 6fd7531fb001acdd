#include <algorithm>
#include <utility>

#include "base/log.h"
#include "core/load_report.h"
#include "core/router/parts.h"

namespace lemonroute {

namespace {

using std::chrono::milliseconds;

// A node that stays silent in the middle of a stream is given up before the client has waited for 5 s.
constexpr Micros stream_silence = milliseconds(4500);

const char* word(Outcome outcome) {
  switch (outcome) {
    case Outcome::ok:
      return "served";
    case Outcome::read:
      return "read";
    case Outcome::timeout:
      return "timed out";
    case Outcome::moot:
      return "moot";
    case Outcome::full:
      return "turned away";
    case Outcome::cancelled:
      return "cancelled";
    case Outcome::error:
      return "error";
    case Outcome::reset:
      return "reset";
    case Outcome::connect_failed:
      return "could not connect";
  }
  return "?";
}

}  // namespace

void Router::event(AttemptState& attempt, std::string_view data) {
  RequestState& entry = *find(attempt.request);
  watch_silence(attempt);
  note_answered(attempt.host);
  if (!std::exchange(attempt.started, true)) {
    // What a cut read may have left at another node than the one whose state is taken now is still there.
    if (entry.holds)
      std::erase_if(entry.leftovers, [&](const auto& left) { return left.host == entry.held.host; });
    logging::debug() << entry.prompt.id << " attempt " << attempt.number << " at " << attempt.node
                     << ": streams";
    put(First{attempt.request, attempt.host, attempt.number, clock_.now() - attempt.sent});
  }
  // It began as its client left, where attempts may not be called off: a stream that nobody reads ends.
  if (!entry.client) {
    timers_.drop(attempt.timer);
    attempt.timer = timers_.add(clock_.now(), [this, &attempt] {
      done(attempt, {Outcome::cancelled, 0, {}, "its client has gone"});
    });
    if (on_change)
      on_change();
    return;
  }
  if (entry.client->event(data))
    return;
  // Guards a slow client's stream: while it is held back the node's silence is of our own making.
  timers_.drop(attempt.timer);
  attempt.call->hold_back(true);
}

void Router::watch_silence(AttemptState& attempt) {
  timers_.drop(attempt.timer);
  attempt.timer = timers_.add(clock_.now() + stream_silence, [this, &attempt] { stalled(attempt); });
}

// Danger: a send that was right when it was decided and is wrong by the time its connection comes up, or a
// place on one is free: to a node that drains by then, of a repeat that its class allows no more, or while a
// state waits at a reader for which nothing is out. So it is taken back.
void Router::begin_by(AttemptState& attempt, Micros at, Result or_else) {
  if (!attempt.unsent() || (attempt.begin_timer && attempt.begin_timer->first <= at))
    return;
  if (attempt.begin_timer)
    timers_.drop(*attempt.begin_timer);
  attempt.begin_timer = timers_.add(at, [this, &attempt, or_else = std::move(or_else)] {
    attempt.begin_timer.reset();
    if (!attempt.unsent())
      return;
    // Nothing is out, so what a cut read may have left is let go of before another attempt is made.
    if (RequestState& entry = *find(attempt.request); !entry.leftovers.empty())
      let_go_leftovers(entry);
    done(attempt, or_else);
  });
}

// Guards against a result that lives in the call, which is let go of here: it is taken by value.
void Router::done(AttemptState& attempt, Result result) {
  RequestState& entry = *find(attempt.request);
  timers_.drop(attempt.timer);
  // Guards the nodes' good name, and the others' time: what one node can't use no node can. The fault is the
  // client's, who is told at once.
  if (result.unfit)
    result.outcome = Outcome::moot;
  const std::unique_ptr<AttemptState> ended = std::move(entry.out);
  logging::debug() << entry.prompt.id << " attempt " << attempt.number << " at " << attempt.node << ": "
                   << word(result.outcome) << (result.detail.empty() ? "" : ", ") << result.detail;
  if (result.unfit)
    logging::info() << "node " << attempt.node << " can't use " << entry.prompt.id << ", " << result.detail;
  if (result.outcome == Outcome::error || result.outcome == Outcome::reset)
    logging::info() << "node " << attempt.node << ": attempt " << word(result.outcome) << ", "
                    << result.detail;
  if (const auto node = known_.find(attempt.host); node != known_.end() && !result.load.empty()) {
    node->second.load = result.load;
    node->second.load_at = clock_.now();
  }
  const bool tells = entry.adopted && result.outcome != Outcome::cancelled;
  // One that was called off, or ran out of time, before anything of it had left: nothing is held for it
  // either.
  const bool given_up = result.outcome == Outcome::cancelled || result.outcome == Outcome::timeout;
  const bool never_ran = result.outcome == Outcome::full || result.outcome == Outcome::connect_failed ||
                         result.outcome == Outcome::moot || (given_up && ended->unsent());
  const bool may_have_run =
      attempt.started || (!never_ran && result.outcome != Outcome::read && attempt.role != Role::read);
  if (may_have_run && !std::exchange(entry.ran, true) && entry.repeats_for < Micros::max())
    entry.repeats_until = attempt.sent + entry.repeats_for;
  note_state(entry, *ended, result, never_ran);
  note_liveness(*ended, result.outcome);
  Client* client = entry.client;
  const bool finished = !client || result.outcome == Outcome::ok || attempt.started || result.unfit;
  if (client && finished) {
    end(entry);
    ++(result.outcome == Outcome::ok ? entry.counts->answered : entry.counts->errored);
  }
  Completed completed{
      attempt.request, result.outcome, finished,       clock_.now() - attempt.sent,
      attempt.host,    result.kept,    attempt.number, parse_load(result.load, settings_.report_columns)};
  if (const auto node = known_.find(attempt.host); node != known_.end())
    tell_observer(entry, *ended, node->second, completed);
  ended->call.reset();
  if (client && result.outcome == Outcome::ok)
    client->finish();
  else if (client && result.unfit)
    client->fail(Failure::unfit);
  else if (client && finished)
    client->cut();
  // The module never heard of a stream that another process began. What its end tells of the node counts all
  // the same: a process that has just started hears of a writer's load by nothing else until its own first
  // streams end.
  HealthResult health{completed.host, completed.outcome, Micros(0),
                      tells ? completed.load : std::vector<float>{}};
  put(std::move(completed));
  if (tells)
    put(std::move(health));
}

// What an attempt that ended says of the state that is held for its request.
void Router::note_state(RequestState& entry, const AttemptState& ended, const Result& result,
                        bool never_ran) {
  const Micros now = clock_.now();
  const bool lost = result.outcome == Outcome::full && result.kept == 1;
  const bool read = result.outcome == Outcome::read;
  const bool cut = !never_ran && !ended.let_go && ended.role != Role::write && !ended.started && !read;
  entry.holds = read || (entry.holds && !lost && !ended.started);
  // An answer of its node says that an earlier read there, whose connection was closed, has come to its end.
  if (read || cut)
    std::erase_if(entry.leftovers, [&](const auto& left) { return left.host == ended.host; });
  if (read)
    entry.held = {ended.host, ended.process, now, false};
  if (cut)
    entry.leftovers.push_back({ended.host, ended.process, now, result.outcome != Outcome::error});
  const bool turned_away = result.outcome == Outcome::full && !ended.unsent();  // it was out until now
  // An attempt that its node answered was out until now. Of any other one that is not known, it may be in a
  // network cut: what waited before it waits on.
  const bool arrived = read || turned_away || result.outcome == Outcome::error;
  const bool may_wait = entry.holds || !entry.leftovers.empty();
  if (ended.started || !may_wait)
    entry.state_waits.reset();
  else if (arrived || !entry.state_waits)
    entry.state_waits = now;
}

// One that was called off, or that has not left, says nothing of its node.
void Router::note_liveness(const AttemptState& ended, Outcome outcome) {
  switch (outcome) {
    case Outcome::ok:
    case Outcome::read:
    case Outcome::error:
      return note_answered(ended.host);
    case Outcome::full:
      return ended.unsent() ? void() : note_answered(ended.host);
    case Outcome::timeout:
    case Outcome::reset:
    case Outcome::connect_failed:
      return note_failed(ended.host);
    case Outcome::moot:
    case Outcome::cancelled:
      return;
  }
}

void Router::note_answered(HostId host) {
  if (known_.count(host))
    liveness_[host].answered = clock_.now();
}

void Router::note_failed(HostId host) {
  if (known_.count(host))
    liveness_[host].failed = clock_.now();
}

// What an attempt that ended says of its node, for this router's peers.
void Router::tell_observer(const RequestState& entry, const AttemptState& ended, const Node& node,
                           const Completed& completed) {
  if (!observer_)
    return;
  const Micros now = clock_.now();
  const bool has_read = completed.outcome == Outcome::read || completed.outcome == Outcome::ok;
  if (ended.role != Role::write && has_read) {
    // What was found there is told first: it is held against what was known until now.
    observer_->found(node, entry.session, entry.shared, completed.note, now);
    observer_->kept(node, entry.session, entry.shared, entry.tokens, entry.shared_tokens, now);
  }
  const auto& columns = settings_.report_columns;
  const auto held = std::find(columns.begin(), columns.end(), "x0");
  const auto at = static_cast<std::size_t>(held - columns.begin());
  if (ended.role != Role::read && settings_.report_x0_is_memory && at < completed.load.size())
    demand_.reported(ended.host, completed.load[at], now);
}

void Router::stalled(AttemptState& attempt) {
  done(attempt, {Outcome::reset, 0, {}, "the stream fell silent"});
}
void Router::timed_out(AttemptState& attempt) {
  done(attempt, {Outcome::timeout, 0, {}, "no answer in time"});
}

}  // namespace lemonroute
