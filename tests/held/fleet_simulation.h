// A deterministic simulation of a fleet: routers (the real Router and Scheduler) and nodes, connected by a
// network that loses and delays data. The checker gets the events at the nodes; the routers get only what
// their sockets would report.
#pragma once

#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

#include "core/random_source.h"
#include "core/router.h"
#include "core/timers.h"
#include "digest.h"
#include "held/reservation_checker.h"
#include "held/schedule.h"

namespace lemonroute::held_state {

using namespace std::chrono_literals;

// How often each path was taken over all schedules.
struct Coverage {
  int reserved = 0, reserved_after_close = 0, taken = 0, served = 0, lost_transmissions = 0,
      delayed_transmissions = 0, release_during_decode = 0, released = 0, reservation_missing = 0,
      rejected = 0, failed = 0;
};

class FleetSimulation : public NodeTransport {
 public:
  FleetSimulation(const Schedule& schedule, Coverage& coverage);
  ~FleetSimulation() override;
  // Runs the schedule and returns a description of the first violation of the rule, or "" without one.
  std::string run();
  const std::vector<std::string>& trace() const { return trace_; }
  const Digest& digest() const { return digest_; }  // of all events and their times

 private:
  struct SimulatedAttempt;
  struct ReleaseCall;
  struct SimulatedClient;
  struct SimulatedNode {
    std::string name;
    Role role = Role::prefill;
    EndpointState state = EndpointState::ready;
    Micros reported_start{};
    Micros clock_error{};  // difference between the reported and the true start
    int process_number = 0;
    bool process_running = true;
    bool machine_reachable = true;  // if false, nothing answers, not even with a reset
    Micros input_lost_until{}, output_lost_until{}, delayed_until{}, suspended_until{}, slow_connect_until{};
    std::set<SimulatedAttempt*> attempts;
    std::set<std::string> reservations;
  };
  struct SimulatedRouter {
    std::unique_ptr<Router> instance;
    Micros list_delayed_until{};
    std::size_t successor = 0;  // its own index while it accepts requests
    std::uint32_t list_version = 0;
    int processes = 1;
  };
  struct ManualClock : Clock {
    Micros time = 24h;
    Micros now() const override { return time; }
  };

  std::unique_ptr<Call> start_attempt(const Node& node, const Prompt& prompt, Micros time_budget,
                                      AttemptHandler& handler) override;
  std::unique_ptr<Call> release_reservation(const Node& node, const std::string& id,
                                            std::function<void(bool)> done) override;
  std::unique_ptr<Call> probe(const Node&, std::function<void(const AttemptResult&)>) override {
    return nullptr;
  }
  void close_idle_connections(const Node&) override {}
  void set_limits(const Limits&) override {}

  void run_step(const Step& step);
  void submit_request(const Step& step);
  void inject_fault(const Step& step);
  void fail_machine(SimulatedNode& node, Micros duration);
  void restart_process(SimulatedNode& node, Micros duration);
  void end_process(SimulatedNode& node);
  void start_process(SimulatedNode& node);
  void reset_connections(SimulatedNode& node);
  void drain_node(SimulatedNode& node, Micros duration);
  void stop_router(std::size_t index);
  void add_router();
  void announce_node(SimulatedNode& node);
  void update_list(std::size_t index, const std::string& name);

  // Transmits data to a node. `on_arrival` runs when the data has arrived, unless `valid` returns false then.
  void deliver(SimulatedNode& node, std::function<bool()> valid, std::function<void()> on_arrival);
  void on_attempt_arrived(SimulatedAttempt& attempt);
  void run_prefill(SimulatedAttempt& attempt);
  void run_decode(SimulatedAttempt& attempt);
  void send_events(SimulatedAttempt& attempt, int events_left);
  void create_reservation(SimulatedNode& node, const std::string& request);
  void free_reservations(const std::string& request);
  // Returns whether a decode attempt of the request has arrived and not ended.
  bool decode_running(const std::string& request) const;
  void finish_attempt(SimulatedAttempt& attempt, AttemptResult result);
  void on_attempt_closed(SimulatedAttempt& attempt);
  void send_result(SimulatedAttempt& attempt, AttemptResult result);
  void run_unless_suspended(SimulatedAttempt& attempt, std::function<void()> job);
  void schedule_attempt_timer(SimulatedAttempt& attempt, Micros delay, std::function<void()> job);
  void schedule_at(Micros time, std::function<void()> job) { timers_.add(time, std::move(job)); }
  // Adds an event to the trace and, with its text, to the digest.
  void record(const std::string& event);
  bool loses_input(const SimulatedNode& node) const {
    return clock_.time < node.input_lost_until || !node.machine_reachable;
  }
  bool suspended(const SimulatedNode& node) const { return clock_.time < node.suspended_until; }
  bool connectable(const SimulatedNode& node) const;
  property::RandomSource random_for_call(const std::string& request);
  std::optional<Micros> random_connect_delay(const SimulatedNode& node, property::RandomSource& random);

  const Schedule& schedule_;
  Coverage& coverage_;
  ManualClock clock_;
  Timers timers_;
  ReservationChecker checker_;
  std::vector<std::string> trace_;
  Digest digest_;
  std::vector<std::unique_ptr<SimulatedNode>> nodes_;
  std::map<std::string, SimulatedNode*> nodes_by_name_;
  std::map<std::string, std::unique_ptr<SimulatedClient>> clients_;
  // Last member: calls of the routers refer to the members above when they are destroyed.
  std::vector<SimulatedRouter> routers_;
};

}  // namespace lemonroute::held_state
