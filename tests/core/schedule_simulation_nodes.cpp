// ScheduleSimulation: the behaviour of nodes, as drawn from the seed.
#include "core/schedule_simulation_parts.h"

namespace lemonroute::property {

void ScheduleSimulation::SimulatedAttempt::set_reading_paused(bool pause) {
  reading_paused = pause;
  if (pause || !std::exchange(event_pending, false))
    return;
  simulation.schedule_attempt_timer(*this, one_way_delay,
                                    [this] { simulation.send_event(*this, events_left); });
}

void ScheduleSimulation::end_process(SimulatedNode& node) {
  node.process_running = false;
  ++node.ended_processes;
  for (const auto& request : std::exchange(node.reservations, {}))
    monitor_.freed(clock_.time, request, node.name);
  for (SimulatedAttempt* attempt : std::vector<SimulatedAttempt*>(node.attempts.begin(), node.attempts.end()))
    if (node.attempts.count(attempt))
      finish_attempt(*attempt, {attempt->sent ? Outcome::reset : Outcome::connect_failed, 0, {}, {}});
}

void ScheduleSimulation::create_reservation(const std::string& request, SimulatedNode& node) {
  node.reservations.insert(request);
  monitor_.held(clock_.time, request, node.name);
}
void ScheduleSimulation::free_reservations(const std::string& request) {
  for (auto& [name, node] : nodes_)
    if (node.reservations.erase(request))
      monitor_.freed(clock_.time, request, name);
}

void ScheduleSimulation::schedule_attempt_timer(SimulatedAttempt& attempt, Micros delay,
                                                std::function<void()> job) {
  if (attempt.timer)
    timers_.cancel(*attempt.timer);
  attempt.timer = timers_.add(clock_.time + delay, [&attempt, job = std::move(job)] {
    attempt.timer.reset();
    const auto running_job = job;  // a copy, since the job may destroy the call and this lambda
    running_job();
  });
}

std::unique_ptr<Call> ScheduleSimulation::start_attempt(const Node& endpoint, const Prompt& prompt, Micros,
                                                        AttemptHandler& handler) {
  SimulatedClient& client = *clients_.at(prompt.id);
  if (client.attempt)
    record_failure(prompt.id + " has two attempts in flight at the same time");
  if (!client.open)
    record_failure(prompt.id + " has an attempt after it was answered or its client disconnected");
  SimulatedNode& node = nodes_.at(endpoint.name);
  auto call = std::make_unique<SimulatedAttempt>(*this, node, client, handler);
  SimulatedAttempt& attempt = *call;
  client.attempt = &attempt;
  const auto connect_delay = random_.connect_delay();
  if (!node.process_running)
    schedule_attempt_timer(attempt, one_way_delay, [this, &attempt] {
      finish_attempt(attempt, {Outcome::connect_failed, 0, {}, {}});
    });
  else if (connect_delay == Micros(0))
    send_attempt(attempt);
  else if (!connect_delay || *connect_delay >= settings_.connect_timeout)
    schedule_attempt_timer(attempt, settings_.connect_timeout, [this, &attempt] {
      finish_attempt(attempt, {Outcome::connect_failed, 0, {}, {}});
    });
  else {
    schedule_attempt_timer(attempt, *connect_delay, [this, &attempt] {
      ++coverage_.late_connections;
      send_attempt(attempt);
    });
    // Drains and disconnects while the connection is being established are rare by chance, so more are added.
    if (random_.one_in(6))
      schedule_at(clock_.time + random_.up_to(*connect_delay), [this, &node] { drain_node(node); });
    if (random_.one_in(6))
      schedule_at(clock_.time + random_.up_to(*connect_delay), [this, &client] { disconnect(client); });
  }
  return call;
}

void ScheduleSimulation::send_attempt(SimulatedAttempt& attempt) {
  SimulatedClient& client = attempt.client;
  attempt.sent = true;
  coverage_.sent_to_unready_nodes += attempt.node.state != EndpointState::ready;
  if (attempt.node.role != Role::prefill && client.may_have_run)
    ++(client.idempotency == Idempotency::idempotent_with_key ? coverage_.repeats_with_key
                                                              : coverage_.repeats);
  monitor_.sent(clock_.time, client.name, attempt.node.name, client.prompt_tokens);
  if (clock_.time < attempt.node.silent_until)
    return;
  attempt.node.role == Role::decode ? run_decode(attempt) : run_prefill(attempt);
}

void ScheduleSimulation::run_prefill(SimulatedAttempt& attempt) {
  const Micros prefill_time(
      static_cast<Micros::rep>(attempt.client.prompt_tokens / prefill_tokens_per_second * 1e6));
  const Micros duration = prefill_time + random_.up_to(random_.one_in(4) ? 800ms : 50ms);
  const auto outcome =
      random_.pick({Outcome::prefill_done, Outcome::prefill_done, Outcome::prefill_done,
                    Outcome::prefill_done, Outcome::prefill_done, Outcome::rejected_over_capacity,
                    Outcome::error, Outcome::reset, Outcome::connect_failed, Outcome::timeout});
  if (outcome == Outcome::timeout)
    return;  // the node never answers
  schedule_attempt_timer(attempt, duration, [this, &attempt, outcome] {
    const bool completed = outcome == Outcome::prefill_done;
    if (completed && attempt.node.role == Role::mixed)
      return send_event(attempt, 3);
    if (completed || (outcome == Outcome::reset && attempt.node.role == Role::prefill && random_.one_in(2)))
      create_reservation(attempt.client.name, attempt.node);
    finish_attempt(attempt, {outcome, 0, {}, {}});
  });
}

void ScheduleSimulation::run_decode(SimulatedAttempt& attempt) {
  const bool reserved = std::any_of(nodes_.begin(), nodes_.end(), [&](auto& entry) {
    return entry.second.reservations.count(attempt.client.name) > 0;
  });
  const auto outcome =
      random_.pick({Outcome::ok, Outcome::ok, Outcome::ok, Outcome::ok, Outcome::rejected_over_capacity,
                    Outcome::error, Outcome::reset, Outcome::connect_failed, Outcome::timeout});
  const Micros duration = one_way_delay + random_.up_to(random_.one_in(4) ? 600ms : 80ms);
  if (!reserved || random_.one_in(16)) {
    ++coverage_.reservation_missing;
    return schedule_attempt_timer(attempt, one_way_delay, [this, &attempt] {
      finish_attempt(attempt, {Outcome::rejected_over_capacity, 1, {}, {}});
    });
  }
  if (outcome == Outcome::timeout)
    return;
  schedule_attempt_timer(attempt, duration, [this, &attempt, outcome] {
    if (outcome == Outcome::ok)
      return send_event(attempt, static_cast<int>(1 + random_.below(4)));
    finish_attempt(attempt, {outcome, 0, {}, {}});
  });
}

// Checks that the router passes the event to the client within on_data.
void ScheduleSimulation::send_event(SimulatedAttempt& attempt, int events_left) {
  attempt.events_left = events_left;
  if (attempt.reading_paused) {
    attempt.event_pending = true;
    return;
  }
  if (!std::exchange(attempt.streaming, true))
    free_reservations(attempt.client.name);
  SimulatedClient& client = attempt.client;
  SimulatedNode& node = attempt.node;
  const int events_before = client.event_count;
  attempt.handler.on_data("x");
  if (client.open && client.event_count != events_before + 1)
    record_failure(client.name + " did not receive an event that its node has sent");
  if (!node.attempts.count(&attempt))
    return;
  const auto stream_fault = random_.below(12);
  if (stream_fault == 0)
    return;  // the node sends nothing more
  schedule_attempt_timer(attempt, one_way_delay + random_.up_to(200ms),
                         [this, &attempt, events_left, stream_fault] {
                           if (stream_fault == 1)
                             return finish_attempt(attempt, {Outcome::reset, 0, {}, {}});
                           if (events_left > 1)
                             return send_event(attempt, events_left - 1);
                           finish_attempt(attempt, {Outcome::ok, 0, {}, {}});
                         });
}

void ScheduleSimulation::finish_attempt(SimulatedAttempt& attempt, AttemptResult result) {
  attempt.finished = true;
  if (attempt.timer)
    timers_.cancel(*attempt.timer);
  attempt.timer.reset();
  const bool may_have_run = attempt.streaming || (result.outcome != Outcome::rejected_over_capacity &&
                                                  result.outcome != Outcome::connect_failed &&
                                                  result.outcome != Outcome::prefill_done);
  if (attempt.sent) {
    monitor_.over(clock_.time, attempt.client.name, attempt.node.name, may_have_run);
    attempt.client.may_have_run |= may_have_run && attempt.node.role != Role::prefill;
  }
  attempt.client.attempt = nullptr;
  attempt.handler.on_done(std::move(result));  // destroys the attempt
}

// The router has closed the attempt. Its prefill may have completed at the same moment.
void ScheduleSimulation::on_attempt_closed(SimulatedAttempt& attempt) {
  if (attempt.timer)
    timers_.cancel(*attempt.timer);
  attempt.node.attempts.erase(&attempt);
  if (attempt.finished)
    return;
  attempt.client.attempt = nullptr;
  if (!attempt.sent)
    return void(++coverage_.unsent_closed);
  attempt.client.attempt_closed_at = clock_.time;
  if (attempt.node.role == Role::prefill && attempt.node.process_running && random_.one_in(3))
    complete_closed_prefill(attempt.client.name, attempt.node);
  monitor_.over(clock_.time, attempt.client.name, attempt.node.name);
  attempt.client.may_have_run |= attempt.node.role != Role::prefill;
}

// Completes the prefill now or, if the node is silent, when it resumes, unless the process has been replaced.
void ScheduleSimulation::complete_closed_prefill(const std::string& request, SimulatedNode& node) {
  if (clock_.time >= node.silent_until)
    return create_reservation(request, node);
  schedule_at(node.silent_until, [this, request, &node, process = node.ended_processes] {
    if (!node.process_running || node.ended_processes != process)
      return;
    if (shutdown_deadline_ && clock_.time >= *shutdown_deadline_)
      return;  // the router process has ended by then and can release nothing
    coverage_.completed_after_silence += clock_.time >= node.silent_until;
    complete_closed_prefill(request, node);
  });
}

std::unique_ptr<Call> ScheduleSimulation::release_reservation(const Node& endpoint, const std::string& id,
                                                              std::function<void(bool)> done) {
  auto call = std::make_unique<ReleaseCall>(*this);
  SimulatedNode& node = nodes_.at(endpoint.name);
  if (clock_.time < node.silent_until)
    return call;
  call->timer = timers_.add(clock_.time + one_way_delay + random_.up_to(20ms),
                            [this, &node, id, call = call.get(), done = std::move(done)] {
                              call->timer.reset();
                              const auto report = done;
                              const bool arrives = node.process_running && clock_.time >= node.silent_until;
                              if (arrives)
                                ++coverage_.released, free_reservations(id);
                              report(arrives);
                            });
  return call;
}

}  // namespace lemonroute::property
