// The calls and clients of a FleetSimulation: an attempt at a node, a release call, and a client.
#pragma once

#include "held/fleet_simulation.h"

namespace lemonroute::held_state {

constexpr Micros one_way_delay = Micros(1000);

struct FleetSimulation::SimulatedAttempt : Call {
  SimulatedAttempt(FleetSimulation& simulation, SimulatedNode& node, SimulatedClient& client,
                   AttemptHandler& handler, property::RandomSource random)
      : simulation(simulation),
        node(node),
        process_number(node.process_number),
        client(client),
        handler(handler),
        random(std::move(random)) {
    node.attempts.insert(this);
  }
  ~SimulatedAttempt() override { simulation.on_attempt_closed(*this); }
  bool not_sent() const override { return !sent; }
  FleetSimulation& simulation;
  SimulatedNode& node;
  int process_number;
  SimulatedClient& client;
  AttemptHandler& handler;
  property::RandomSource random;
  bool sent = false, arrived = false, finished = false;
  bool released = false;  // while the attempt ran
  std::optional<Timers::Id> timer;
  std::shared_ptr<bool> not_closed = std::make_shared<bool>(true);
};

struct FleetSimulation::ReleaseCall : Call {
  explicit ReleaseCall(FleetSimulation& simulation) : simulation(simulation) {}
  ~ReleaseCall() override { *not_closed = false; }
  FleetSimulation& simulation;
  std::shared_ptr<bool> not_closed = std::make_shared<bool>(true);
};

struct FleetSimulation::SimulatedClient : Client {
  SimulatedClient(FleetSimulation& simulation, std::string name, std::size_t router_index)
      : simulation(simulation), name(std::move(name)), router_index(router_index) {}
  bool on_data(std::string_view) override { return true; }
  void finish() override { ++simulation.coverage_.served, record_answer(0, Micros(0)); }
  void reject(Micros retry_after) override { ++simulation.coverage_.rejected, record_answer(1, retry_after); }
  void fail(FailureReason) override { ++simulation.coverage_.failed, record_answer(2, Micros(0)); }
  void abort_stream() override { ++simulation.coverage_.failed, record_answer(3, Micros(0)); }
  void record_answer(int answer, Micros retry_after) {
    open = false;
    simulation.digest_.add(simulation.clock_.time, name, answer, retry_after);
  }
  FleetSimulation& simulation;
  std::string name;
  std::size_t router_index;
  RequestId request_id = 0;
  double prompt_tokens = 0;
  std::uint64_t call_count = 0;  // attempts and release calls so far
  bool open = true;
};

}  // namespace lemonroute::held_state
