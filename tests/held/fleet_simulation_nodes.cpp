// FleetSimulation: the network and the behaviour of nodes.
#include <algorithm>

#include "held/fleet_simulation_parts.h"

namespace lemonroute::held_state {
namespace {

constexpr double prefill_tokens_per_second = 8000;
constexpr std::uint64_t seed_multiplier = 0x9E3779B97F4A7C15u;

}  // namespace

bool FleetSimulation::connectable(const SimulatedNode& node) const {
  return node.machine_reachable && clock_.time >= node.input_lost_until &&
         clock_.time >= node.output_lost_until && clock_.time >= node.delayed_until;
}

// The random values of a call depend only on its request and number, so that removing steps from a schedule
// changes little else.
property::RandomSource FleetSimulation::random_for_call(const std::string& request) {
  return property::RandomSource(hash_text(request) ^
                                ((++clients_.at(request)->call_count + schedule_.seed) * seed_multiplier));
}

// Time until a connection is ready to send the data; nothing if the connection is never established.
std::optional<Micros> FleetSimulation::random_connect_delay(const SimulatedNode& node,
                                                            property::RandomSource& random) {
  if (clock_.time < node.slow_connect_until)
    return random.one_in(3) ? std::nullopt : std::optional(random.up_to(1s));
  if (random.one_in(2))
    return Micros(0);  // an idle connection of the pool, which may be broken
  return connectable(node) ? std::optional(random.up_to(20ms)) : std::nullopt;
}

std::unique_ptr<Call> FleetSimulation::start_attempt(const Node& endpoint, const Prompt& prompt, Micros,
                                                     AttemptHandler& handler) {
  SimulatedClient& client = *clients_.at(prompt.id);
  SimulatedNode& node = *nodes_by_name_.at(endpoint.name);
  auto call = std::make_unique<SimulatedAttempt>(*this, node, client, handler, random_for_call(prompt.id));
  SimulatedAttempt& attempt = *call;
  const Micros connect_timeout = schedule_.settings.connect_timeout;
  const auto connect_delay = random_connect_delay(node, attempt.random);
  record(client.name + " goes to " + node.name +
         (connect_delay ? "" : ", whose connection does not come up"));
  if (!connect_delay || *connect_delay >= connect_timeout) {
    schedule_attempt_timer(attempt, connect_timeout, [this, &attempt] {
      finish_attempt(attempt, {Outcome::connect_failed, 0, {}, "not up"});
    });
    return call;
  }
  const auto send = [this, &attempt] {
    attempt.sent = true;
    attempt.handler.on_request_written();
    deliver(
        attempt.node, [not_closed = attempt.not_closed] { return *not_closed; },
        [this, &attempt] { on_attempt_arrived(attempt); });
  };
  if (*connect_delay > Micros(0))
    schedule_attempt_timer(attempt, *connect_delay, send);
  else
    send();
  return call;
}

void FleetSimulation::deliver(SimulatedNode& node, std::function<bool()> valid,
                              std::function<void()> on_arrival) {
  if (loses_input(node)) {
    ++coverage_.lost_transmissions;
    return;
  }
  const Micros arrives_at = std::max({clock_.time + one_way_delay, node.delayed_until, node.suspended_until});
  if (arrives_at > clock_.time + one_way_delay)
    ++coverage_.delayed_transmissions;
  schedule_at(arrives_at, [this, &node, process_number = node.process_number, valid = std::move(valid),
                           on_arrival = std::move(on_arrival)] {
    if (!valid())
      return;
    if (node.process_number != process_number || !node.machine_reachable)
      return;  // reset or lost with the process that it was sent to
    if (clock_.time < node.delayed_until || suspended(node))
      return deliver(node, valid, on_arrival);
    if (clock_.time >= node.input_lost_until && node.process_running)
      on_arrival();
  });
}

void FleetSimulation::on_attempt_arrived(SimulatedAttempt& attempt) {
  attempt.arrived = true;
  checker_.on_attempt_arrived(attempt.client.name);
  record(attempt.client.name + " arrives at " + attempt.node.name);
  attempt.node.role == Role::decode ? run_decode(attempt) : run_prefill(attempt);
}

void FleetSimulation::run_prefill(SimulatedAttempt& attempt) {
  const Micros prefill_time(
      static_cast<Micros::rep>(attempt.client.prompt_tokens / prefill_tokens_per_second * 1e6));
  const Micros duration = prefill_time + attempt.random.up_to(attempt.random.one_in(4) ? 800ms : 50ms);
  const auto outcome =
      attempt.random.pick({Outcome::prefill_done, Outcome::prefill_done, Outcome::prefill_done,
                           Outcome::prefill_done, Outcome::prefill_done, Outcome::prefill_done,
                           Outcome::rejected_over_capacity, Outcome::error, Outcome::reset});
  schedule_attempt_timer(attempt, duration, [this, &attempt, outcome] {
    run_unless_suspended(attempt, [this, &attempt, outcome] {
      const bool completed =
          outcome == Outcome::prefill_done || (outcome == Outcome::reset && attempt.random.one_in(2));
      if (completed && !attempt.released)
        create_reservation(attempt.node, attempt.client.name);
      send_result(attempt, {outcome, 0, {}, {}});
    });
  });
}

void FleetSimulation::run_decode(SimulatedAttempt& attempt) {
  const Micros queueing_time = one_way_delay + attempt.random.up_to(attempt.random.one_in(4) ? 1500ms : 80ms);
  const auto outcome = attempt.random.pick({Outcome::ok, Outcome::ok, Outcome::ok, Outcome::ok, Outcome::ok,
                                            Outcome::rejected_over_capacity, Outcome::error, Outcome::reset,
                                            Outcome::timeout});
  if (outcome == Outcome::timeout)
    return;  // the node never answers
  schedule_attempt_timer(attempt, queueing_time, [this, &attempt, outcome] {
    run_unless_suspended(attempt, [this, &attempt, outcome] {
      if (outcome != Outcome::ok)
        return send_result(attempt, {outcome, 0, {}, {}});
      if (!checker_.has_reservation(attempt.client.name)) {
        ++coverage_.reservation_missing;
        record(attempt.client.name + " finds no state");
        return send_result(attempt, {Outcome::rejected_over_capacity, 1, {}, {}});
      }
      ++coverage_.taken;
      record(attempt.client.name + "'s state is taken");
      free_reservations(attempt.client.name);
      send_events(attempt, static_cast<int>(1 + attempt.random.below(3)));
    });
  });
}

void FleetSimulation::send_events(SimulatedAttempt& attempt, int events_left) {
  if (events_left == 0)
    return send_result(attempt, {Outcome::ok, 0, {}, {}});
  const auto not_closed = attempt.not_closed;
  if (clock_.time >= attempt.node.output_lost_until)
    attempt.handler.on_data("x");
  if (*not_closed)
    schedule_attempt_timer(attempt, one_way_delay + attempt.random.up_to(100ms),
                           [this, &attempt, events_left] { send_events(attempt, events_left - 1); });
}

// Runs the job now or when the process resumes, unless the attempt is closed or the process replaced by then.
void FleetSimulation::run_unless_suspended(SimulatedAttempt& attempt, std::function<void()> job) {
  if (attempt.process_number != attempt.node.process_number || !attempt.node.process_running)
    return;
  if (!suspended(attempt.node))
    return job();
  schedule_attempt_timer(attempt, attempt.node.suspended_until - clock_.time,
                         [this, &attempt, job = std::move(job)] { run_unless_suspended(attempt, job); });
}

// Sends the result to the router; network faults delay or lose it.
void FleetSimulation::send_result(SimulatedAttempt& attempt, AttemptResult result) {
  const SimulatedNode& node = attempt.node;
  if (clock_.time < node.output_lost_until)
    return record(attempt.client.name + "'s answer from " + node.name + " is lost");
  const Micros return_delay = std::max(one_way_delay, node.delayed_until - clock_.time);
  schedule_attempt_timer(attempt, return_delay,
                         [this, &attempt, result = std::move(result)] { finish_attempt(attempt, result); });
}

void FleetSimulation::finish_attempt(SimulatedAttempt& attempt, AttemptResult result) {
  attempt.finished = true;
  if (attempt.timer)
    timers_.cancel(*attempt.timer);
  attempt.timer.reset();
  record(attempt.client.name + " at " + attempt.node.name + " ends with " +
         std::to_string(static_cast<int>(result.outcome)) + (attempt.arrived ? "" : ", had not arrived"));
  if (std::exchange(attempt.arrived, false))
    checker_.on_attempt_ended(clock_.time, attempt.client.name);
  attempt.handler.on_done(std::move(result));  // destroys the attempt
}

// The router has closed the attempt. Its prefill may have completed at the same moment, or completes when the
// node resumes.
void FleetSimulation::on_attempt_closed(SimulatedAttempt& attempt) {
  *attempt.not_closed = false;
  if (attempt.timer)
    timers_.cancel(*attempt.timer);
  SimulatedNode& node = attempt.node;
  node.attempts.erase(&attempt);
  if (attempt.finished)
    return;
  const std::string request = attempt.client.name;
  record(request + " at " + node.name + " is closed by its router" +
         (attempt.arrived ? "" : ", had not arrived"));
  if (!attempt.arrived)
    return;
  checker_.on_attempt_ended(clock_.time, request);
  if (node.role != Role::prefill || !node.process_running || attempt.process_number != node.process_number ||
      !attempt.random.one_in(3))
    return;
  const auto complete_prefill = [this, &node, request, process_number = node.process_number] {
    if (!node.process_running || node.process_number != process_number ||
        !routers_[clients_.at(request)->router_index].instance)
      return;
    ++coverage_.reserved_after_close;
    create_reservation(node, request);
  };
  if (suspended(node))
    schedule_at(node.suspended_until, complete_prefill);
  else
    complete_prefill();
}

void FleetSimulation::create_reservation(SimulatedNode& node, const std::string& request) {
  ++coverage_.reserved;
  record("state of " + request + " is held at " + node.name);
  node.reservations.insert(request);
  checker_.on_reserved(clock_.time, request, node.name);
}

void FleetSimulation::free_reservations(const std::string& request) {
  for (const auto& node : nodes_)
    node->reservations.erase(request);
  checker_.on_released(request);
}

bool FleetSimulation::decode_running(const std::string& request) const {
  return std::any_of(nodes_.begin(), nodes_.end(), [&](const auto& node) {
    return node->role == Role::decode &&
           std::any_of(node->attempts.begin(), node->attempts.end(), [&](const SimulatedAttempt* attempt) {
             return attempt->arrived && attempt->client.name == request;
           });
  });
}

// Frees the reservations of the request, unless a decode attempt has arrived. The release takes effect when
// it arrives, whether or not its response is lost.
std::unique_ptr<Call> FleetSimulation::release_reservation(const Node& endpoint, const std::string& id,
                                                           std::function<void(bool)> done) {
  auto call = std::make_unique<ReleaseCall>(*this);
  SimulatedNode& node = *nodes_by_name_.at(endpoint.name);
  digest_.add(clock_.time, id, endpoint.name);
  property::RandomSource random = random_for_call(id);
  const auto connect_delay = random_connect_delay(node, random);
  const Micros connect_timeout = schedule_.settings.connect_timeout;
  const auto report = [not_closed = call->not_closed, done = std::move(done)](bool arrived) {
    if (!*not_closed)
      return;
    const auto report_copy = done;  // a copy, since the callback may destroy the call and this lambda
    report_copy(arrived);
  };
  if (!connect_delay || *connect_delay >= connect_timeout) {
    schedule_at(clock_.time + connect_timeout, [report] { report(false); });
    return call;
  }
  if (!node.process_running && node.machine_reachable) {  // refused, or reset
    schedule_at(clock_.time + one_way_delay, [report] { report(false); });
    return call;
  }
  schedule_at(clock_.time + *connect_delay, [this, &node, id, report, not_closed = call->not_closed] {
    deliver(
        node, [not_closed] { return *not_closed; },
        [this, &node, id, report] {
          const bool decoding = decode_running(id);
          ++(decoding ? coverage_.release_during_decode : coverage_.released);
          record("release of " + id + " arrives at " + node.name +
                 (decoding ? ", an attempt waits for it" : ""));
          if (!decoding)
            free_reservations(id);
          if (clock_.time >= node.output_lost_until)
            schedule_at(clock_.time + one_way_delay, [report] { report(true); });
        });
  });
  return call;
}

void FleetSimulation::schedule_attempt_timer(SimulatedAttempt& attempt, Micros delay,
                                             std::function<void()> job) {
  if (attempt.timer)
    timers_.cancel(*attempt.timer);
  attempt.timer = timers_.add(clock_.time + delay, [&attempt, job = std::move(job)] {
    attempt.timer.reset();
    const auto running_job = job;  // a copy, since the job may destroy the call and this lambda
    running_job();
  });
}

}  // namespace lemonroute::held_state
