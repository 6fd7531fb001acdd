// A simulation of one random schedule: the real Router and Scheduler run on a manual clock that advances from
// event to event, with simulated nodes, clients, discovery and operators driven by the seed. The rule monitor
// observes the wire: an attempt counts from the time at which it is sent, which may be long after the router
// started it.
#pragma once

#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

#include "core/random_source.h"
#include "core/router.h"
#include "core/timers.h"
#include "rules/monitor.h"

namespace lemonroute::property {

// How often each path was taken over all schedules. The test requires minimum counts, since rules also hold
// on paths that are never taken.
struct Coverage {
  int served = 0, rejected = 0, failed = 0, aborted = 0, disconnected = 0, disconnected_before_send = 0,
      unsent_closed = 0, repeats = 0, repeats_with_key = 0, sent_to_unready_nodes = 0,
      reservation_missing = 0, reading_paused = 0, settings_changed_with_open_requests = 0,
      shutdown_deadlines = 0, released = 0, late_connections = 0, partitions = 0, completed_after_silence = 0;
};

class ScheduleSimulation : NodeTransport {
 public:
  ScheduleSimulation(std::uint64_t seed, Coverage& coverage);
  ~ScheduleSimulation() override;
  // Runs the schedule and returns a description of the first failure, or "" without one.
  std::string run();

 private:
  struct SimulatedAttempt;
  struct SimulatedNode {
    std::string name, zone;
    std::uint16_t cell = 0;
    Role role = Role::prefill;
    EndpointState state = EndpointState::ready;
    Micros started_at{}, silent_until{};
    bool process_running = true;
    int ended_processes = 0;  // identifies the current process
    std::set<SimulatedAttempt*> attempts;
    std::set<std::string> reservations;
  };
  struct ManualClock : Clock {
    Micros time = 24h;
    Micros now() const override { return time; }
  };
  struct SimulatedClient;
  struct ReleaseCall;

  std::unique_ptr<Call> start_attempt(const Node& node, const Prompt& prompt, Micros time_budget,
                                      AttemptHandler& handler) override;
  std::unique_ptr<Call> release_reservation(const Node& node, const std::string& id,
                                            std::function<void(bool)> done) override;
  std::unique_ptr<Call> probe(const Node&, std::function<void(const AttemptResult&)>) override {
    return nullptr;
  }
  void close_idle_connections(const Node&) override {}
  void set_limits(const Limits&) override {}

  void schedule_events();
  void run_events();
  void check_open_requests();
  void submit_request();
  void restart_nodes_under_load();
  void disconnect(SimulatedClient& client);
  void inject_fault();
  void inject_partitions();
  void drain_node(SimulatedNode& node);
  void remove_node(SimulatedNode& node);
  void restart_node(SimulatedNode& node);
  void announce_node(SimulatedNode& node);
  void announce_all_nodes();
  void change_settings();
  void set_shutdown_deadline();

  void send_attempt(SimulatedAttempt& attempt);
  void run_prefill(SimulatedAttempt& attempt);
  void run_decode(SimulatedAttempt& attempt);
  void send_event(SimulatedAttempt& attempt, int events_left);
  void finish_attempt(SimulatedAttempt& attempt, AttemptResult result);
  void on_attempt_closed(SimulatedAttempt& attempt);
  void create_reservation(const std::string& request, SimulatedNode& node);
  void complete_closed_prefill(const std::string& request, SimulatedNode& node);
  void free_reservations(const std::string& request);
  void end_process(SimulatedNode& node);
  void schedule_at(Micros time, std::function<void()> job) { timers_.add(time, std::move(job)); }
  void schedule_attempt_timer(SimulatedAttempt& attempt, Micros delay, std::function<void()> job);
  static rules::Limits rule_limits(const Settings& settings);
  Router::ListedNode list_entry(const SimulatedNode& node) const;
  void record_failure(const std::string& description) {
    if (failure_.empty())
      failure_ = description;
  }

  Coverage& coverage_;
  RandomSource random_;
  ManualClock clock_;
  Timers timers_;
  rules::Monitor monitor_;
  Settings settings_;
  std::string failure_;
  std::uint32_t list_version_ = 0;
  std::optional<Micros> shutdown_deadline_;
  std::map<std::string, SimulatedNode> nodes_;
  std::map<std::string, std::unique_ptr<SimulatedClient>> clients_;
  Router router_;  // last member: its calls refer to the members above when they are destroyed
};

}  // namespace lemonroute::property
