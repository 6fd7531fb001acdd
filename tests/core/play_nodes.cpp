// What nodes do with attempts, as drawn.
#include "core/play_parts.h"

namespace lemonroute::property {

void Play::Run::pause_reading(bool on) {
  held_back = on;
  if (on || !std::exchange(paused, false))
    return;
  play.later(*this, hop, [this] { play.stream(*this, left); });
}

void Play::die(Place& place) {
  place.alive = false;
  ++place.starts;
  for (const auto& request : std::exchange(place.held, {}))
    monitor_.freed(clock_.at, request, place.name);
  for (Run* run : std::vector<Run*>(place.calls.begin(), place.calls.end()))
    if (place.calls.count(run))
      end(*run, {run->sent ? Outcome::reset : Outcome::connect_failed, 0, {}, {}});
}

void Play::hold(const std::string& request, Place& place) {
  place.held.insert(request);
  monitor_.held(clock_.at, request, place.name);
}
void Play::free_everywhere(const std::string& request) {
  for (auto& [name, place] : nodes_)
    if (place.held.erase(request))
      monitor_.freed(clock_.at, request, name);
}

void Play::later(Run& run, Micros after, std::function<void()> job) {
  if (run.timer)
    timers_.cancel(*run.timer);
  run.timer = timers_.add(clock_.at + after, [&run, job = std::move(job)] {
    run.timer.reset();
    const auto kept = job;  // the call may be let go of, and this with it
    kept();
  });
}

std::unique_ptr<Call> Play::start_attempt(const Node& node, const Prompt& prompt, Micros,
                                          AttemptHandler& attempt) {
  Asker& asker = *askers_.at(prompt.id);
  if (asker.live)
    fault(prompt.id + " has two attempts out at once");
  if (!asker.open)
    fault(prompt.id + " is sent on after its end");
  Place& place = nodes_.at(node.name);
  auto call = std::make_unique<Run>(*this, place, asker, attempt);
  Run& run = *call;
  asker.live = &run;
  const auto connects = draw_.connecting();
  if (!place.alive)
    later(run, hop, [this, &run] { end(run, {Outcome::connect_failed, 0, {}, {}}); });
  else if (connects == Micros(0))
    send(run);
  else if (!connects || *connects >= settings_.connect_timeout)
    later(run, settings_.connect_timeout, [this, &run] { end(run, {Outcome::connect_failed, 0, {}, {}}); });
  else {
    later(run, *connects, [this, &run] {
      ++seen_.late_connections;
      send(run);
    });
    // What may happen meanwhile is worth trying more often than by chance.
    if (draw_.one_in(6))
      at(clock_.at + draw_.up_to(*connects), [this, &place] { drain(place); });
    if (draw_.one_in(6))
      at(clock_.at + draw_.up_to(*connects), [this, &asker] { leave(asker); });
  }
  return call;
}

// The request leaves.
void Play::send(Run& run) {
  Asker& asker = run.asker;
  run.sent = true;
  seen_.to_leaving += run.place.phase != EndpointState::ready;
  if (run.place.role != Role::prefill && asker.served_at)
    ++(asker.effect == Idempotency::idempotent_with_key ? seen_.keyed_repeats : seen_.repeats);
  monitor_.sent(clock_.at, asker.name, run.place.name, asker.tokens);
  if (clock_.at < run.place.silent_until)
    return;
  run.place.role == Role::decode ? write(run) : read(run);
}

void Play::read(Run& run) {
  const Micros alone(static_cast<Micros::rep>(run.asker.tokens / capacity * 1e6));
  const Micros span = alone + draw_.up_to(draw_.one_in(4) ? 800ms : 50ms);
  const auto outcome =
      draw_.any({Outcome::prefill_done, Outcome::prefill_done, Outcome::prefill_done, Outcome::prefill_done,
                 Outcome::prefill_done, Outcome::rejected_over_capacity, Outcome::error, Outcome::reset,
                 Outcome::connect_failed, Outcome::timeout});
  if (outcome == Outcome::timeout)
    return;  // it never says a word
  later(run, span, [this, &run, outcome] {
    const bool well = outcome == Outcome::prefill_done;
    if (well && run.place.role == Role::mixed)
      return stream(run, 3);
    if (well || (outcome == Outcome::reset && run.place.role == Role::prefill && draw_.one_in(2)))
      hold(run.asker.name, run.place);
    end(run, {outcome, 0, {}, {}});
  });
}

void Play::write(Run& run) {
  const bool there = std::any_of(nodes_.begin(), nodes_.end(),
                                 [&](auto& one) { return one.second.held.count(run.asker.name) > 0; });
  const auto outcome =
      draw_.any({Outcome::ok, Outcome::ok, Outcome::ok, Outcome::ok, Outcome::rejected_over_capacity,
                 Outcome::error, Outcome::reset, Outcome::connect_failed, Outcome::timeout});
  const Micros span = hop + draw_.up_to(draw_.one_in(4) ? 600ms : 80ms);
  if (!there || draw_.one_in(16)) {
    ++seen_.lost_state;
    return later(run, hop, [this, &run] { end(run, {Outcome::rejected_over_capacity, 1, {}, {}}); });
  }
  if (outcome == Outcome::timeout)
    return;
  later(run, span, [this, &run, outcome] {
    if (outcome == Outcome::ok)
      return stream(run, static_cast<int>(1 + draw_.below(4)));
    end(run, {outcome, 0, {}, {}});
  });
}

// Each event has to be with the client by the time its node has told it.
void Play::stream(Run& run, int left) {
  run.left = left;
  if (run.held_back) {
    run.paused = true;
    return;
  }
  if (!std::exchange(run.begun, true))
    free_everywhere(run.asker.name);
  Asker& asker = run.asker;
  Place& place = run.place;
  const int before = asker.events;
  run.attempt.on_data("x");
  if (asker.open && asker.events != before + 1)
    fault(asker.name + " waits for an event that has come");
  if (!place.calls.count(&run))
    return;
  const auto how = draw_.below(12);
  if (how == 0)
    return;  // it falls silent
  later(run, hop + draw_.up_to(200ms), [this, &run, left, how] {
    if (how == 1)
      return end(run, {Outcome::reset, 0, {}, {}});
    if (left > 1)
      return stream(run, left - 1);
    end(run, {Outcome::ok, 0, {}, {}});
  });
}

void Play::end(Run& run, AttemptResult result) {
  run.over = true;
  if (run.timer)
    timers_.cancel(*run.timer);
  run.timer.reset();
  const bool ran =
      run.begun || (result.outcome != Outcome::rejected_over_capacity &&
                    result.outcome != Outcome::connect_failed && result.outcome != Outcome::prefill_done);
  if (run.sent) {
    monitor_.over(clock_.at, run.asker.name, run.place.name, ran);
    run.asker.served_at |= ran && run.place.role != Role::prefill;
  }
  run.asker.live = nullptr;
  run.attempt.on_done(std::move(result));  // the call is gone now
}

// The core has let go of it. A read may have ended well in that very moment.
void Play::let_go(Run& run) {
  if (run.timer)
    timers_.cancel(*run.timer);
  run.place.calls.erase(&run);
  if (run.over)
    return;
  run.asker.live = nullptr;
  if (!run.sent)
    return void(++seen_.unsent_dropped);
  run.asker.closed_at = clock_.at;
  if (run.place.role == Role::prefill && run.place.alive && draw_.one_in(3))
    end_well(run.asker.name, run.place);
  monitor_.over(clock_.at, run.asker.name, run.place.name);
  run.asker.served_at |= run.place.role != Role::prefill;
}

// At once, or when its node goes on after a hang, unless it is another process by then.
void Play::end_well(const std::string& request, Place& place) {
  if (clock_.at >= place.silent_until)
    return hold(request, place);
  at(place.silent_until, [this, request, &place, process = place.starts] {
    if (!place.alive || place.starts != process)
      return;
    if (waits_end_ && clock_.at >= *waits_end_)
      return;  // the process has ended by then, nobody is left to let it go
    seen_.ended_after_hang += clock_.at >= place.silent_until;
    end_well(request, place);
  });
}

std::unique_ptr<Call> Play::release_reservation(const Node& node, const std::string& id,
                                                std::function<void(bool)> done) {
  auto call = std::make_unique<Releasing>(*this);
  Place& place = nodes_.at(node.name);
  if (clock_.at < place.silent_until)
    return call;
  call->timer = timers_.add(clock_.at + hop + draw_.up_to(20ms),
                            [this, &place, id, call = call.get(), done = std::move(done)] {
                              call->timer.reset();
                              const auto told = done;
                              const bool arrives = place.alive && clock_.at >= place.silent_until;
                              if (arrives)
                                ++seen_.released, free_everywhere(id);
                              told(arrives);
                            });
  return call;
}

}  // namespace lemonroute::property
