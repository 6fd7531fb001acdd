#include <algorithm>
#include <utility>

#include "base/log.h"
#include "core/load_report.h"
#include "core/router/parts.h"

namespace lemonroute {

namespace {

// A node has heard of the end of a call by then, in its own zone or in another one.
constexpr Micros end_is_heard = std::chrono::milliseconds(5);

}  // namespace

void Router::act(const Send& send) {
  RequestState* entry = find(send.id);
  const auto node = known_.find(send.host);
  const Micros now = clock_.now();
  const auto number = entry ? entry->attempts++ : std::uint16_t(0);
  const auto answer = [&](Outcome outcome) {
    events_.emplace_back(
        std::in_place_type<Completed>,
        Completed{send.id, outcome, !entry || !entry->client, Micros(0), send.host, 0, number, {}});
  };
  // The module keeps these rules itself; a slip there must not reach a node.
  if (!entry || !entry->client || entry->out || now >= entry->deadline || number >= entry->most_attempts)
    return answer(Outcome::moot);
  // Danger: doing twice what must be done once. A replaced configuration may call the node a reader by now;
  // what counts is what it was when the attempt went out.
  if (entry->once && entry->ran)
    return answer(Outcome::moot);
  const bool repeats = entry->ran && role(send.host) != Role::read;
  if (repeats && now >= entry->repeats_until)
    return answer(Outcome::moot);
  if (node == known_.end() || !node->second.ready())
    return answer(Outcome::connect_failed);
  const Micros left = entry->deadline - now;
  const Micros within = send.within > Micros(0) ? std::min(send.within, left) : left;
  entry->out = std::make_unique<AttemptState>(*this, send.id, number, node->second, role(send.host), now);
  AttemptState& attempt = *entry->out;
  logging::debug() << entry->prompt.id << " attempt " << number << " to " << node->second.name;
  attempt.timer = timers_.add(now + within, [this, &attempt] { timed_out(attempt); });
  attempt.call = nodes_.begin(node->second, entry->prompt, within, attempt);
  if (repeats && entry->repeats_until < now + within)
    begin_by(attempt, entry->repeats_until,
             {Outcome::connect_failed, 0, {}, "its class allows no repeat any more"});
  // Told that its state is lost the module lets go of it, and has the prompt read again if there is time.
  if (entry->state_waits && settings_.release_within > Micros(0)) {
    const Result or_else{entry->holds ? Outcome::full : Outcome::connect_failed,
                         entry->holds ? 1u : 0u,
                         {},
                         "a state has waited too long"};
    begin_by(attempt, release_begins(*entry->state_waits), or_else);
    release_unless_taken(attempt);
  }
}

void Router::act(const Refuse& refuse) {
  RequestState* entry = find(refuse.id);
  if (!entry || !entry->client)
    return;
  if (entry->once && entry->ran)
    return act(Fail{refuse.id});  // a refusal says that trying again is harmless
  Client& client = *entry->client;
  end(*entry);
  ++entry->counts->deferred;
  logging::debug() << entry->prompt.id << " refused after " << entry->attempts << " attempts";
  demand_.refused();
  touched_.push_back(refuse.id);
  client.refuse(refuse.stay_away);
}

void Router::act(const Fail& fail) {
  RequestState* entry = find(fail.id);
  if (!entry || !entry->client)
    return;
  Client& client = *entry->client;
  end(*entry);
  ++entry->counts->errored;
  logging::debug() << entry->prompt.id << " failed after " << entry->attempts << " attempts";
  touched_.push_back(fail.id);
  client.fail(clock_.now() >= entry->deadline ? Failure::timed_out : Failure::gave_up);
}

// Danger: the node hears of the end of a sent attempt over one connection, another node of the next attempt
// over another one. An attempt that overtook that end would be out beside this one. So the call is closed at
// once, and the Scheduler hears of it when the node has heard.
void Router::act(const Cancel& cancel) {
  RequestState* entry = find(cancel.id);
  if (!entry || !entry->out || entry->out->number != cancel.attempt || entry->out->started)
    return;
  AttemptState& attempt = *entry->out;
  const Result called_off{Outcome::cancelled, 0, {}, "called off"};
  if (attempt.unsent() || !entry->client)  // no next attempt that could overtake it
    return done(attempt, called_off);
  attempt.call.reset();
  let_go_called_off(*entry, attempt);
  const Micros heard = std::min(clock_.now() + end_is_heard, attempt.timer.first);
  timers_.drop(attempt.timer);
  attempt.timer = timers_.add(heard, [this, &attempt, called_off] { done(attempt, called_off); });
}

void Router::act(const Sleep& sleep) {
  timers_.add(clock_.now() + sleep.after, [this, cookie = sleep.cookie] { put(Alarm{cookie}); });
}

void Router::act(const Probe& probe) {
  const auto node = known_.find(probe.host);
  if (node == known_.end())
    return;
  const auto number = next_probe_++;
  const Micros sent = clock_.now();
  auto call = nodes_.probe(node->second, [this, number, sent, host = probe.host](const Result& result) {
    probes_.erase(number);
    put(HealthResult{host, result.outcome, clock_.now() - sent,
                     parse_load(result.load, settings_.report_columns)});
  });
  probes_[number] = std::move(call);
}

void Router::act(const HangUp& hang_up) {
  const auto node = known_.find(hang_up.host);
  if (node != known_.end())
    nodes_.hang_up(node->second);
}

void Router::act(const Log& log) {
  logging::info() << "module: " << log.line;
}

void Router::act(const Release& release) {
  RequestState* entry = find(release.id);
  if (!entry)
    return;
  std::vector<StateHolder> holders{entry->held};
  for (const StateHolder& left : std::exchange(entry->leftovers, {}))
    if (left.host != entry->held.host)
      holders.push_back(left);
  start_release(*entry, holders);
  entry->state_waits.reset();
  entry->holds = false;
}

}  // namespace lemonroute
