// FleetSimulation: requests, faults, discovery and the router processes.
#include "held/fleet_simulation.h"

#include <algorithm>
#include <sstream>

#include "held/fleet_simulation_parts.h"

namespace lemonroute::held_state {
namespace {

constexpr Micros release_call_allowance = 300ms;  // added to the release timeout for the release call itself
constexpr Micros settle_period = 45s;       // longer than the 30 s after which a router gives up a release
constexpr Micros kill_delay = 500ms;        // from the shutdown deadline to the end of the process
constexpr Micros list_update_delay = 20ms;  // until a router gets an endpoint list update
constexpr Micros process_end_delay = 3s;    // from the removal of a node to the end of its process
constexpr Micros max_clock_error = 300ms;   // between the clocks of a node and the routers
constexpr std::uint64_t seed_multiplier = 0x9E3779B97F4A7C15u;

}  // namespace

FleetSimulation::FleetSimulation(const Schedule& schedule, Coverage& coverage)
    : schedule_(schedule),
      coverage_(coverage),
      checker_(schedule.settings.reservation_release_timeout + release_call_allowance) {
  property::RandomSource random(schedule.seed * seed_multiplier);
  const auto add_nodes = [this, &random](char letter, Role role, std::size_t count) {
    for (std::size_t i = 0; i < count; ++i) {
      auto node = std::make_unique<SimulatedNode>();
      node->name = letter + std::to_string(i + 1);
      node->role = role;
      node->clock_error = random.up_to(2 * max_clock_error) - max_clock_error;
      nodes_by_name_[node->name] = node.get();
      nodes_.push_back(std::move(node));
    }
  };
  // Nodes without faults come last, since faults select nodes by their index from the first one on.
  add_nodes('r', Role::prefill, schedule.prefill_nodes - fault_free_nodes_per_role);
  add_nodes('w', Role::decode, schedule.decode_nodes - fault_free_nodes_per_role);
  add_nodes('R', Role::prefill, fault_free_nodes_per_role);
  add_nodes('W', Role::decode, fault_free_nodes_per_role);
  routers_.reserve(schedule.routers + schedule.steps.size());
  for (std::size_t i = 0; i < schedule.routers; ++i)
    add_router();
}

FleetSimulation::~FleetSimulation() {
  routers_.clear();
}

void FleetSimulation::add_router() {
  SimulatedRouter& router = routers_.emplace_back();
  router.successor = routers_.size() - 1;
  const std::uint64_t seed = schedule_.seed * seed_multiplier + routers_.size();
  router.instance = std::make_unique<Router>(schedule_.settings, std::vector<std::string>{"z1", "z2"},
                                             std::vector<std::string>{"r", "w", "m"}, seed, clock_, *this);
  std::vector<Router::ListedNode> entries;
  for (const auto& node : nodes_)
    if (node->state != EndpointState::removed)
      entries.push_back({node->name, "127.0.0.1:1", "z1", node->role == Role::prefill ? "r" : "w", 1,
                         node->state, 1, node->reported_start});
  router.instance->update_endpoints(EndpointListKind::full, ++router.list_version, entries);
}

std::string FleetSimulation::run() {
  const Micros start = clock_.time;
  for (const Step& step : schedule_.steps)
    schedule_at(start + step.start, [this, &step] { run_step(step); });
  const Micros end = start + 5s + settle_period;
  while (clock_.time <= end) {
    std::optional<Micros> next = timers_.next_due();
    for (const SimulatedRouter& router : routers_)
      if (router.instance && router.instance->next_timer() &&
          (!next || *router.instance->next_timer() < *next))
        next = router.instance->next_timer();
    if (!next)
      return "";
    clock_.time = std::max(clock_.time, *next);
    if (const auto overdue = checker_.find_overdue(clock_.time)) {
      std::ostringstream text;
      text << "reservation of " << overdue->request << " at " << overdue->node << " is overdue: idle since "
           << (overdue->idle_since - start).count() / 1000 << " ms, allowed "
           << (schedule_.settings.reservation_release_timeout + release_call_allowance).count() / 1000
           << " ms, still held at " << (overdue->detected_at - start).count() / 1000 << " ms";
      return text.str();
    }
    timers_.run_due(clock_.time);
    for (std::size_t i = 0; i < routers_.size(); ++i)
      if (routers_[i].instance)
        routers_[i].instance->run_timers();
  }
  return "";
}

void FleetSimulation::record(const std::string& event) {
  digest_.add(clock_.time, event);
  trace_.push_back(std::to_string((clock_.time - Micros(24h)).count() / 1000) + " ms: " + event);
}

void FleetSimulation::run_step(const Step& step) {
  if (step.kind == StepKind::request)
    return submit_request(step);
  record("fault: " + step.text());
  inject_fault(step);
}

void FleetSimulation::submit_request(const Step& step) {
  std::size_t index = step.router_index;
  while (routers_[index].successor != index)
    index = routers_[index].successor;
  const std::string name = "q" + std::to_string(step.index);
  SimulatedClient& client = *(clients_[name] = std::make_unique<SimulatedClient>(*this, name, index));
  const ClassSettings& class_settings = schedule_.settings.classes[step.class_index];
  client.prompt_tokens = step.prompt_tokens;
  ClientRequest request;
  request.prompt = {name, "/", std::make_shared<std::string>("{}")};
  request.request_class = class_settings.name;
  request.time_budget = step.time_budget > Micros(0) ? step.time_budget : class_settings.deadline;
  request.prompt_tokens = step.prompt_tokens;
  request.max_output_tokens = 100;
  record(name + " asks router " + std::to_string(index));
  (void)routers_[index].instance->submit(request, client, client.request_id);
  if (step.duration < Micros::max())
    schedule_at(clock_.time + step.duration, [this, &client] {
      if (!std::exchange(client.open, false) || !routers_[client.router_index].instance)
        return;
      record(client.name + "'s client goes");
      routers_[client.router_index].instance->client_disconnected(client.request_id);
    });
}

void FleetSimulation::inject_fault(const Step& step) {
  SimulatedNode& node = *nodes_[step.node_index];
  const Micros until = clock_.time + step.duration;
  const auto extend = [until](Micros& end) { end = std::max(end, until); };
  switch (step.kind) {
    case StepKind::request:
      return;
    case StepKind::cut_both:
      extend(node.input_lost_until);
      return extend(node.output_lost_until);
    case StepKind::cut_to_node:
      return extend(node.input_lost_until);
    case StepKind::cut_from_node:
      return extend(node.output_lost_until);
    case StepKind::cut_role:
      for (std::size_t i = 0; i + 2 * fault_free_nodes_per_role < nodes_.size(); ++i)
        if (nodes_[i]->role == node.role) {
          extend(nodes_[i]->input_lost_until);
          extend(nodes_[i]->output_lost_until);
        }
      return;
    case StepKind::delay:
      return extend(node.delayed_until);
    case StepKind::hang:
      return extend(node.suspended_until);
    case StepKind::vanish:
      return fail_machine(node, step.duration);
    case StepKind::restart:
      return restart_process(node, step.duration);
    case StepKind::reset:
      return reset_connections(node);
    case StepKind::slow_connect:
      return extend(node.slow_connect_until);
    case StepKind::late_list:
      return extend(routers_[step.router_index].list_delayed_until);
    case StepKind::drain:
      return drain_node(node, step.duration);
    case StepKind::stop_router:
      return stop_router(step.router_index);
  }
}

// The machine fails without closing its connections; they are reset when another process runs at its address.
void FleetSimulation::fail_machine(SimulatedNode& node, Micros duration) {
  if (!node.machine_reachable)
    return;
  node.machine_reachable = false;
  node.process_running = false;
  const auto lost_reservations = std::exchange(node.reservations, {});
  checker_.on_node_process_ended(node.name);
  for (SimulatedAttempt* attempt : node.attempts)
    if (std::exchange(attempt->arrived, false))
      checker_.on_attempt_ended(clock_.time, attempt->client.name);
  schedule_at(clock_.time + duration, [this, &node] {
    node.machine_reachable = true;
    end_process(node);
    start_process(node);
  });
}

void FleetSimulation::restart_process(SimulatedNode& node, Micros duration) {
  if (!node.process_running)
    return;
  end_process(node);
  schedule_at(clock_.time + duration / 4, [this, &node] {
    if (node.machine_reachable && !node.process_running)
      start_process(node);
  });
}

void FleetSimulation::end_process(SimulatedNode& node) {
  node.process_running = false;
  ++node.process_number;
  node.reservations.clear();
  checker_.on_node_process_ended(node.name);
  reset_connections(node);
}

void FleetSimulation::start_process(SimulatedNode& node) {
  node.process_running = true;
  node.reported_start = clock_.time + node.clock_error;
  if (node.state != EndpointState::removed)
    node.state = EndpointState::ready;
  announce_node(node);
}

void FleetSimulation::reset_connections(SimulatedNode& node) {
  if (clock_.time < node.output_lost_until)  // the resets are lost
    return;
  for (SimulatedAttempt* attempt : std::vector<SimulatedAttempt*>(node.attempts.begin(), node.attempts.end()))
    if (node.attempts.count(attempt) && attempt->sent && !attempt->finished)
      finish_attempt(*attempt, {Outcome::reset, 0, {}, "reset"});
}

void FleetSimulation::drain_node(SimulatedNode& node, Micros duration) {
  if (node.state != EndpointState::ready)
    return;
  node.state = EndpointState::draining;
  announce_node(node);
  schedule_at(clock_.time + duration, [this, &node] {
    node.state = EndpointState::removed;
    announce_node(node);
  });
  schedule_at(clock_.time + duration + process_end_delay, [this, &node] {
    if (node.process_running)
      end_process(node);
  });
}

void FleetSimulation::stop_router(std::size_t index) {
  SimulatedRouter& router = routers_[index];
  if (router.successor != index || !router.instance)
    return;
  add_router();
  routers_[index].successor = routers_.size() - 1;
  const Micros shutdown_deadline = clock_.time + 600ms;
  routers_[index].instance->set_shutdown_deadline(shutdown_deadline);
  schedule_at(shutdown_deadline + kill_delay, [this, index] {
    record("router " + std::to_string(index) + " ends");
    routers_[index].instance.reset();
    for (const auto& [name, client] : clients_)
      if (client->router_index == index)
        checker_.on_router_ended(name);
  });
}

void FleetSimulation::announce_node(SimulatedNode& node) {
  for (std::size_t i = 0; i < routers_.size(); ++i) {
    const Micros update_at = std::max(clock_.time + list_update_delay, routers_[i].list_delayed_until);
    schedule_at(update_at, [this, i, name = node.name] { update_list(i, name); });
  }
}

void FleetSimulation::update_list(std::size_t index, const std::string& name) {
  const SimulatedNode& node = *nodes_by_name_.at(name);
  SimulatedRouter& router = routers_[index];
  if (!router.instance)
    return;
  router.instance->update_endpoints(EndpointListKind::incremental, ++router.list_version,
                                    {{node.name, "127.0.0.1:1", "z1", node.role == Role::prefill ? "r" : "w",
                                      1, node.state, 1, node.reported_start}});
}

}  // namespace lemonroute::held_state
