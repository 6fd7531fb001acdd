// ScheduleSimulation: settings, clients, discovery and operators.
#include <cmath>

#include "core/schedule_simulation_parts.h"

namespace lemonroute::property {
namespace {

// settle_period is longer than the 30 s after which a router gives up a release.
constexpr Micros event_period = 8s, settle_period = 45s;
constexpr Micros cancellation_delay = 5ms;  // until the node has learned that an attempt was cancelled
constexpr double mean_prompt_tokens = 550;

}  // namespace

rules::Limits ScheduleSimulation::rule_limits(const Settings& settings) {
  rules::Limits limits;
  limits.drain_grace = settings.drain_grace;
  limits.held = settings.reservation_release_timeout + 300ms;  // 300 ms for the release call itself
  limits.cold_for = settings.slow_start_duration;
  limits.cold_window = settings.overload_window;
  limits.cold_from = settings.slow_start_initial_capacity;
  limits.siblings = settings.router_count;
  const double slow_start_tokens = settings.slow_start_initial_capacity * prefill_tokens_per_second *
                                   std::chrono::duration<double>(settings.overload_window).count() /
                                   settings.router_count;
  const double expected_requests = settings.overload_factor * slow_start_tokens / mean_prompt_tokens;
  // A node in slow start gets n = expected_requests requests of mean length; 3 * sqrt(n) + 3 more allow for
  // random variation.
  limits.cold_multiple =
      (expected_requests + 3 * std::sqrt(expected_requests) + 3) * mean_prompt_tokens / slow_start_tokens;
  return limits;
}

ScheduleSimulation::ScheduleSimulation(std::uint64_t seed, Coverage& coverage)
    : coverage_(coverage),
      random_(seed),
      monitor_(rules::Limits{}),
      settings_(random_.settings()),
      router_(settings_, {"z1", "z2"}, {"r", "w", "m"}, seed, clock_, *this) {
  monitor_.limit(rule_limits(settings_));
  for (const char* name : {"r1", "r2", "r3", "w1", "w2", "w3", "m1"}) {
    if (name[0] == 'm' && !random_.one_in(4))
      continue;
    SimulatedNode& node = nodes_[name];
    node.name = name;
    node.zone = random_.one_in(2) ? "z1" : "z2";
    node.cell = static_cast<std::uint16_t>(1 + random_.below(2));
    node.role = name[0] == 'r' ? Role::prefill : name[0] == 'w' ? Role::decode : Role::mixed;
    monitor_.placed(name, node.zone, node.cell, node.role != Role::prefill);
  }
  announce_all_nodes();
}

ScheduleSimulation::~ScheduleSimulation() = default;

std::string ScheduleSimulation::run() {
  schedule_events();
  run_events();
  monitor_.finish(clock_.time);
  if (!router_.idle())
    record_failure("the router is not idle at the end of the schedule");
  if (!failure_.empty())
    return failure_;
  return monitor_.breaches().empty() ? "" : monitor_.breaches().front().text(24h);
}

void ScheduleSimulation::schedule_events() {
  const auto schedule_some = [&](std::size_t min_count, std::size_t max_count, auto job) {
    for (auto count = min_count + random_.below(max_count - min_count + 1); count > 0; --count)
      schedule_at(clock_.time + random_.up_to(event_period), job);
  };
  schedule_some(3, 14, [this] { submit_request(); });
  schedule_some(0, 8, [this] { inject_fault(); });
  if (random_.one_in(2))
    schedule_some(1, 3, [this] { change_settings(); });
  if (random_.one_in(6))
    schedule_some(1, 1, [this] { set_shutdown_deadline(); });
  if (random_.one_in(8))
    schedule_some(1, 1, [this] { restart_nodes_under_load(); });
  if (random_.one_in(4))
    schedule_some(1, 2, [this] { inject_partitions(); });
}

void ScheduleSimulation::run_events() {
  const Micros end = clock_.time + event_period + settle_period;
  while (failure_.empty()) {
    const auto next_event = timers_.next_due(), next_router_timer = router_.next_timer();
    if (!next_event && (!next_router_timer || router_.idle()))
      return;
    const Micros next =
        std::min(next_event.value_or(Micros::max()), next_router_timer.value_or(Micros::max()));
    if (next > clock_.time)
      check_open_requests();
    clock_.time = std::max(clock_.time, next);
    if (clock_.time > end)
      return;
    monitor_.advance(clock_.time);
    if (next_event && *next_event <= next)
      timers_.run_due(clock_.time);
    else
      router_.run_timers();
  }
}

// Called before the clock advances: each open request has an attempt in flight. After a sent attempt was
// closed, the next one may wait until the node has learned of the cancellation, but no longer.
void ScheduleSimulation::check_open_requests() {
  for (const auto& [name, client] : clients_) {
    const bool cancelling =
        client->attempt_closed_at && clock_.time < *client->attempt_closed_at + cancellation_delay;
    if (client->open && !client->attempt && !cancelling)
      record_failure(name + " is open and has no attempt in flight");
  }
  if (shutdown_deadline_ && clock_.time >= *shutdown_deadline_)
    for (const auto& [name, client] : clients_)
      if (client->open && !client->has_first_event)
        record_failure(name + " has no first event by the shutdown deadline");
}

void ScheduleSimulation::submit_request() {
  const std::string name = "q" + std::to_string(clients_.size());
  auto& client = *(clients_[name] = std::make_unique<SimulatedClient>(*this, name));
  const auto& class_settings = settings_.classes[random_.below(settings_.classes.size())];
  client.idempotency = class_settings.idempotency;
  ClientRequest client_request;
  client_request.prompt = {name, "/", std::make_shared<std::string>("{}")};
  client_request.request_class = class_settings.name;
  client_request.session_key = random_.below(5);
  client_request.shared_prefix_key = random_.below(3);
  client_request.time_budget = random_.one_in(3) ? 100ms + random_.up_to(4s) : class_settings.deadline;
  client_request.prompt_tokens = static_cast<double>(50 + random_.below(1000));
  client.prompt_tokens = client_request.prompt_tokens;
  client_request.shared_prefix_tokens = client_request.prompt_tokens / 2;
  client_request.max_output_tokens = 100;
  monitor_.taken(clock_.time, name, clock_.time + client_request.time_budget, settings_.max_attempts,
                 {class_settings.idempotency, class_settings.retry_scope, class_settings.retry_window});
  if (router_.submit(client_request, client, client.request_id) != Router::SubmitResult::accepted)
    record_failure(name + " was not accepted");
  if (random_.one_in(3))
    schedule_at(clock_.time + random_.up_to(random_.one_in(2) ? client_request.time_budget
                                                              : client_request.time_budget / 8),
                [this, &client] { disconnect(client); });
}

// Restarts most nodes of one role while many requests arrive.
void ScheduleSimulation::restart_nodes_under_load() {
  // The Scheduler estimates the capacity of warm nodes from the load sent to them within the longest
  // deadline. Where deadlines are shorter than this burst, the estimate is the burst itself, since simulated
  // nodes accept any load.
  if (std::none_of(settings_.classes.begin(), settings_.classes.end(),
                   [](auto& request_class) { return request_class.deadline >= 3s; }))
    return;
  const Role role = random_.pick({Role::prefill, Role::decode});
  for (auto& [name, node] : nodes_)
    if (node.role == role && !random_.one_in(3))
      restart_node(node);
  for (auto count = 10 + random_.below(40); count > 0; --count)
    schedule_at(clock_.time + random_.up_to(1500ms), [this] { submit_request(); });
}

void ScheduleSimulation::disconnect(SimulatedClient& client) {
  if (!client.open)
    return;
  client.open = false;
  ++coverage_.disconnected;
  coverage_.disconnected_before_send += client.attempt && !client.attempt->sent;
  monitor_.left(clock_.time, client.name);
  router_.client_disconnected(client.request_id);
  if (client.attempt &&
      (settings_.cancellation_allowed || client.attempt->streaming || !client.attempt->sent))
    record_failure(client.name + "'s attempt continues after the client has disconnected");
}

void ScheduleSimulation::set_shutdown_deadline() {
  shutdown_deadline_ = clock_.time + random_.up_to(1s);
  ++coverage_.shutdown_deadlines;
  router_.set_shutdown_deadline(*shutdown_deadline_);
}

// ---- Nodes, discovery and operators ----

Router::ListedNode ScheduleSimulation::list_entry(const SimulatedNode& node) const {
  return {node.name, "127.0.0.1:1", node.zone, node.name.substr(0, 1),
          node.cell, node.state,    1,         node.started_at};
}
void ScheduleSimulation::announce_node(SimulatedNode& node) {
  monitor_.listed(clock_.time, node.name, node.state, node.started_at, prefill_tokens_per_second);
  router_.update_endpoints(EndpointListKind::incremental, ++list_version_, {list_entry(node)});
}
void ScheduleSimulation::announce_all_nodes() {
  std::vector<Router::ListedNode> entries;
  for (auto& [name, node] : nodes_) {
    monitor_.listed(clock_.time, name, node.state, node.started_at, prefill_tokens_per_second);
    if (node.state != EndpointState::removed)
      entries.push_back(list_entry(node));
  }
  router_.update_endpoints(EndpointListKind::full, ++list_version_, entries);
}

void ScheduleSimulation::inject_fault() {
  auto it = nodes_.begin();
  std::advance(it, static_cast<std::ptrdiff_t>(random_.below(nodes_.size())));
  SimulatedNode& node = it->second;
  // The rule on held state must hold with up to two unreachable nodes, not with any number of them.
  const auto unreachable = std::count_if(nodes_.begin(), nodes_.end(), [&](auto& entry) {
    return entry.second.state != EndpointState::removed &&
           (!entry.second.process_running || clock_.time < entry.second.silent_until);
  });
  switch (unreachable < 2 ? random_.below(7) : 4 + random_.below(3)) {
    case 0:
      return drain_node(node);
    case 1:
    case 2: {  // the process ends and another one starts; discovery announces it late
      end_process(node);
      return schedule_at(clock_.time + random_.up_to(1s), [this, &node] {
        // Another fault may have started a process meanwhile; it ends first.
        if (node.process_running)
          end_process(node);
        node.process_running = true;
        schedule_at(clock_.time + random_.up_to(500ms), [this, &node, restarted_at = clock_.time] {
          node.started_at = restarted_at;
          node.state = EndpointState::ready;
          announce_node(node);
        });
      });
    }
    case 3:
      return void(node.silent_until = std::max(node.silent_until, clock_.time + random_.up_to(2s)));
    case 4:
      return announce_all_nodes();
    case 5: {
      if (router_.drain_node(node.name) != Router::OverrideResult::applied)
        return;
      monitor_.banned(clock_.time, node.name);
      return schedule_at(clock_.time + random_.up_to(2s), [this, &node] {
        (void)router_.undrain_node(node.name);
        monitor_.unbanned(clock_.time, node.name);
      });
    }
    default:
      return random_.one_in(2) ? remove_node(node) : restart_node(node);
  }
}

// One or two network partitions: all nodes of one role except one become silent together; with a second
// partition, those of the other role when the first one ends.
void ScheduleSimulation::inject_partitions() {
  Role role = random_.pick({Role::prefill, Role::decode});
  Micros start = clock_.time;
  for (auto partitions = 1 + random_.below(2); partitions > 0; --partitions) {
    const Micros until = start + 200ms + random_.up_to(2s);
    schedule_at(start, [this, role, until] {
      ++coverage_.partitions;
      bool exempted = false;
      for (auto& [name, node] : nodes_)
        if (node.role == role && node.state == EndpointState::ready && std::exchange(exempted, true))
          node.silent_until = std::max(node.silent_until, until);
    });
    start = until;
    role = role == Role::prefill ? Role::decode : Role::prefill;
  }
}

// The node later becomes ready again or is removed.
void ScheduleSimulation::drain_node(SimulatedNode& node) {
  node.state = EndpointState::draining;
  announce_node(node);
  schedule_at(clock_.time + random_.up_to(3s), [this, &node] {
    if (random_.one_in(2))
      return remove_node(node);
    node.state = EndpointState::ready;
    announce_node(node);
  });
}

// The process ends and the node is not listed again by this event.
void ScheduleSimulation::remove_node(SimulatedNode& node) {
  end_process(node);
  node.state = EndpointState::removed;
  announce_node(node);
}

void ScheduleSimulation::restart_node(SimulatedNode& node) {
  if (node.process_running)
    end_process(node);
  node.process_running = true;
  node.started_at = clock_.time;
  node.state = EndpointState::ready;
  announce_node(node);
}

// Replaces the settings, as SIGHUP does. Accepted requests keep the terms of their class.
void ScheduleSimulation::change_settings() {
  // The release timeout stays, since the monitor applies one limit to reservations that exist already.
  const Micros release_timeout = settings_.reservation_release_timeout;
  settings_ = random_.settings();
  settings_.reservation_release_timeout = release_timeout;
  coverage_.settings_changed_with_open_requests += router_.open_request_count() > 0;
  monitor_.limit(rule_limits(settings_));
  router_.update_settings(settings_, {"z1", "z2"}, {"r", "w", "m"});
}

}  // namespace lemonroute::property
