// Rule 4 of the platform for a whole fleet: the work that all routers together send to a node in slow start,
// within any window of Settings::overload_window, against the work that overloads the node. The node's
// capacity is random and unknown to the routers, and no router knows the fleet's total.
#include <cmath>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <random>

#include "support.h"

namespace lemonroute::test {
namespace {

// Which router processes restart while nodes are in slow start.
enum class RouterRestart {
  none,
  rolling,           // each at a random time while the node is in slow start; learned rates are handed over
  all_with_rates,    // all at once; learned rates are handed over
  all_without_rates  // all at once; learned rates are lost
};

struct FleetCase {
  std::uint32_t routers = 1;
  std::uint64_t seed = 1;
  Role role = Role::prefill;  // of the nodes in slow start
  RouterRestart restart = RouterRestart::none;
  bool all_in_slow_start = false;  // every node of that role starts at the same time
};

// Work is counted in requests of mean work.
struct FleetResult {
  double window_budget = 0;     // most work in one window that does not overload a node in slow start
  double max_window_work = 0;   // most work that any node in slow start was sent in one window
  double mean_window_work = 0;  // work that a node in slow start was sent per window, on average
  double warm_window_work = 0;  // work of the same traffic that a warm node would serve in a window
  // The budget with a margin for the random arrival of requests.
  double limit() const { return window_budget + 2 * std::sqrt(window_budget) + 2; }
};

constexpr double mean_prompt_tokens = 2000;
// Ids of the nodes of FleetCase::role, and of the nodes that serve the other stage.
constexpr EndpointId first_node_of_role = 1, first_other_node = 50;

// Simulates routers, nodes and traffic for 30 s. One or all nodes of a role start after 20 s.
class FleetSimulation {
 public:
  explicit FleetSimulation(const FleetCase& fleet_case)
      : case_(fleet_case), random_(fleet_case.seed * 7919 + fleet_case.routers) {
    const auto draw = [&](double from, double to) {
      return std::uniform_real_distribution<double>(from, to)(random_);
    };
    settings_ = settings();
    settings_.router_count = fleet_case.routers;
    settings_.kv_cache_tokens_by_kind = {1e9, 1e9, 1e9};
    for (auto& class_settings : settings_.classes)
      class_settings.latency_objective = 5s, class_settings.deadline = 8s;
    settings_.overload_factor = draw(2, 4);
    settings_.slow_start_initial_capacity = draw(0.2, 0.35);
    settings_.overload_window = Micros(static_cast<Micros::rep>(draw(1e6, 3e6)));
    settings_.slow_start_duration = 10s;
    nodes_ = 2 + static_cast<EndpointId>(draw(0, 4));
    // Against the capacity of the nodes before the start of the new one; above 1, nodes reject requests.
    load_ = draw(0.4, 2.0);
    window_seconds_ = std::chrono::duration<double>(settings_.overload_window).count();
    result_.window_budget = std::exp(draw(std::log(1.0), std::log(40.0)));
    capacity_ = result_.window_budget /
                (settings_.overload_factor * settings_.slow_start_initial_capacity * window_seconds_);
    restart_at_ = nodes_start_at_ + Micros(static_cast<Micros::rep>(draw(0.1, 0.9) * 1e7));
    // One in five routers gets five times the traffic of the others.
    for (std::uint32_t router = 0; router < fleet_case.routers; ++router)
      traffic_weights_.push_back(router % 5 == 0 ? 5 : 1);
  }

  FleetResult run() {
    for (std::uint32_t router = 0; router < case_.routers; ++router)
      start_router(router);
    const double rate = load_ * capacity_ * (case_.all_in_slow_start ? nodes_ : nodes_ - 1);
    std::discrete_distribution<std::uint32_t> draw_router(traffic_weights_.begin(), traffic_weights_.end());
    std::exponential_distribution<double> draw_interval(rate);
    for (double at = draw_interval(random_); at < 30; at += draw_interval(random_))
      schedule(Micros(static_cast<Micros::rep>(at * 1e6)),
               [this, router = draw_router(random_)] { receive_request(router); });
    schedule(nodes_start_at_, [this] { start_new_nodes(); });
    for (std::uint32_t router = 0; router < case_.routers; ++router) {
      const Micros delay{static_cast<Micros::rep>(std::uniform_real_distribution<double>(0, 1e7)(random_))};
      if (case_.restart == RouterRestart::rolling)
        schedule(nodes_start_at_ + delay, [this, router] { restart_router(router, true); });
      if (case_.restart == RouterRestart::all_with_rates)
        schedule(restart_at_, [this, router] { restart_router(router, true); });
      if (case_.restart == RouterRestart::all_without_rates)
        schedule(restart_at_, [this, router] { restart_router(router, false); });
    }
    while (!events_.empty()) {
      const auto next = events_.begin();
      now_ = next->first;
      const auto callback = std::move(next->second);
      events_.erase(next);
      callback();
    }
    const double windows = 10 / window_seconds_, new_nodes = case_.all_in_slow_start ? nodes_ : 1;
    result_.mean_window_work /= windows * new_nodes;
    result_.warm_window_work = std::min(1.0, load_) * capacity_ * window_seconds_;
    return result_;
  }

 private:
  struct RouterProcess {
    std::unique_ptr<Scheduler> scheduler;
    int restarts = 0;
  };
  using AttemptId = std::pair<RequestId, std::uint16_t>;

  void schedule(Micros at, std::function<void()> callback) { events_.emplace(at, std::move(callback)); }

  std::vector<Endpoint> endpoint_list() const {
    std::vector<Endpoint> endpoints;
    const auto kind = static_cast<std::uint8_t>(case_.role);
    for (EndpointId i = 0; i < nodes_; ++i) {
      endpoints.push_back(make_endpoint(first_node_of_role + i, kind));
      if (now_ >= nodes_start_at_ && is_new(first_node_of_role + i))
        endpoints.back().started_at = epoch_ + nodes_start_at_;
    }
    // A single new node is the last one, and is not listed before its start.
    if (!case_.all_in_slow_start && now_ < nodes_start_at_)
      endpoints.pop_back();
    if (case_.role != Role::mixed)
      for (EndpointId i = 0; i < 4; ++i)
        endpoints.push_back(
            make_endpoint(first_other_node + i, case_.role == Role::prefill ? decode_kind : prefill_kind));
    return endpoints;
  }
  bool is_new(EndpointId id) const {
    return id < first_other_node && (case_.all_in_slow_start || id == first_node_of_role + nodes_ - 1);
  }

  void start_router(std::uint32_t router) {
    Settings s = settings_;
    s.router_index = router;
    routers_[router].scheduler = std::make_unique<Scheduler>(s, case_.seed + router);
    handle(router, EndpointListUpdate{EndpointListKind::full, 1, endpoint_list()});
  }
  void start_new_nodes() {
    for (std::uint32_t router = 0; router < case_.routers; ++router)
      handle(router, EndpointListUpdate{EndpointListKind::full, 2, endpoint_list()});
    if (case_.all_in_slow_start)
      busy_until_.clear();
  }
  void restart_router(std::uint32_t router, bool hand_over_rates) {
    const LearnedRates learned_rates = routers_[router].scheduler->learned_rates(epoch_ + now_);
    ++routers_[router].restarts;
    start_router(router);
    if (hand_over_rates)
      routers_[router].scheduler->adopt_learned_rates(epoch_ + now_, learned_rates);
  }

  void receive_request(std::uint32_t router) {
    std::lognormal_distribution<double> draw_work(-0.125, 0.5);
    Request request;
    request.id = next_request_id_++;
    request.session_key = request.id * 104729;
    request.time_budget = 8s;
    request.prompt_tokens = static_cast<float>(mean_prompt_tokens * draw_work(random_));
    request.max_output_tokens = 100;
    prompt_tokens_[request.id] = request.prompt_tokens;
    handle(router, request);
  }

  void handle(std::uint32_t router, const Event& event) {
    std::vector<Action> actions;
    routers_[router].scheduler->handle(epoch_ + now_, event, actions);
    for (const auto& action : actions) {
      if (const auto* timer = std::get_if<StartTimer>(&action)) {
        schedule_for_router(router, timer->delay, [this, router, timer_id = timer->timer_id] {
          handle(router, TimerFired{timer_id});
        });
      } else if (const auto* send = std::get_if<Send>(&action)) {
        start_attempt(router, send->id, send->endpoint);
      } else if (const auto* cancel = std::get_if<CancelAttempt>(&action)) {
        const AttemptId id{cancel->id, cancel->attempt};
        if (outstanding_.count(id))
          schedule_for_router(router, 0s,
                              [this, router, id] { end_attempt(router, id, Outcome::cancelled); });
      }
    }
  }
  // Runs the callback after a delay, unless the router process restarts before.
  void schedule_for_router(std::uint32_t router, Micros delay, std::function<void()> callback) {
    schedule(now_ + delay,
             [this, router, restarts = routers_[router].restarts, callback = std::move(callback)] {
               if (routers_[router].restarts == restarts)
                 callback();
             });
  }

  // A node serves one request at a time. It rejects a request that would wait longer than three seconds.
  void start_attempt(std::uint32_t router, RequestId id, EndpointId node) {
    const std::uint16_t attempt = attempts_[id]++;
    const double work = prompt_tokens_[id] / mean_prompt_tokens;
    const bool is_new_process = now_ >= nodes_start_at_ && is_new(node);
    const double age = std::chrono::duration<double>(now_ - nodes_start_at_).count();
    if (is_new_process && age < 10)
      record_sent_work(node, work);
    const double relative_capacity =
        is_new_process ? std::min(1.0, settings_.slow_start_initial_capacity + 0.1 * age) : 1;
    const double speed = capacity_ * (node >= first_other_node ? nodes_ / 2.0 : relative_capacity);
    auto& busy_until = busy_until_[node];
    busy_until = std::max(busy_until, now_);
    outstanding_[{id, attempt}] = {node, now_};
    if (busy_until - now_ > 3s)
      return schedule_for_router(router, 2ms, [this, router, id, attempt] {
        end_attempt(router, {id, attempt}, Outcome::rejected_over_capacity);
      });
    busy_until += Micros(static_cast<Micros::rep>(work / speed * 1e6));
    const bool prefills = node >= first_other_node ? case_.role == Role::decode : case_.role == Role::prefill;
    const Outcome outcome = prefills ? Outcome::prefill_done : Outcome::ok;
    schedule_for_router(router, busy_until - now_, [this, router, id, attempt, outcome] {
      end_attempt(router, {id, attempt}, outcome);
    });
  }
  void end_attempt(std::uint32_t router, AttemptId id, Outcome outcome) {
    const auto found = outstanding_.find(id);
    if (found == outstanding_.end())
      return;
    const auto [node, sent_at] = found->second;
    outstanding_.erase(found);
    if (outcome == Outcome::ok)
      handle(router, FirstTokenReceived{id.first, node, id.second, now_ - sent_at});
    handle(router, AttemptCompleted{
                       id.first, outcome, outcome == Outcome::ok, now_ - sent_at, node, 0, id.second, {}});
  }

  void record_sent_work(EndpointId node, double work) {
    auto& sent_work = sent_work_[node];
    sent_work.emplace_back(now_, work);
    while (now_ - sent_work.front().first >= settings_.overload_window)
      sent_work.pop_front();
    double sum = 0;
    for (const auto& entry : sent_work)
      sum += entry.second;
    result_.max_window_work = std::max(result_.max_window_work, sum);
    result_.mean_window_work += work;
  }

  FleetCase case_;
  std::mt19937_64 random_;
  Settings settings_;
  double capacity_ = 1, load_ = 1, window_seconds_ = 1;  // capacity_: work per second of a warm node
  EndpointId nodes_ = 2;                                 // of FleetCase::role, the new ones included
  Micros now_{}, nodes_start_at_ = 20s, restart_at_{};   // since the start of the simulation
  const Micros epoch_ = 1000s;                           // start of the simulation on the Schedulers' clock
  std::vector<double> traffic_weights_;                  // by router
  std::multimap<Micros, std::function<void()>> events_;
  std::map<std::uint32_t, RouterProcess> routers_;
  std::map<RequestId, double> prompt_tokens_;
  std::map<RequestId, std::uint16_t> attempts_;                     // sent so far
  std::map<AttemptId, std::pair<EndpointId, Micros>> outstanding_;  // node and time of sending
  std::map<EndpointId, Micros> busy_until_;
  std::map<EndpointId, std::deque<std::pair<Micros, double>>> sent_work_;  // of the latest window
  RequestId next_request_id_ = 1;
  FleetResult result_;
};

// Simulates each role and kind of restart with several seeds. No window may exceed the limit, and on average
// the nodes in slow start must get at least `min_use` of the work that budget and traffic allow.
void expect_within_limit_and_used(std::uint32_t routers, bool all_in_slow_start, double min_use) {
  constexpr std::uint64_t seeds = 3;
  double total_use = 0, simulations = 0;
  for (const Role role : {Role::prefill, Role::decode, Role::mixed})
    for (const RouterRestart restart : {RouterRestart::none, RouterRestart::rolling,
                                        RouterRestart::all_with_rates, RouterRestart::all_without_rates})
      for (std::uint64_t seed = 1; seed <= seeds; ++seed) {
        const FleetResult result = FleetSimulation({routers, seed, role, restart, all_in_slow_start}).run();
        EXPECT_LE(result.max_window_work, result.limit())
            << routers << " routers, role " << static_cast<int>(role) << ", restart "
            << static_cast<int>(restart) << ", seed " << seed << ", window budget " << result.window_budget;
        total_use += result.mean_window_work / std::min(result.window_budget, result.warm_window_work);
        ++simulations;
      }
  EXPECT_GE(total_use / simulations, min_use) << routers << " routers";
}

struct FleetSize {
  std::uint32_t routers;
  // Least use of the nodes in slow start: with warm nodes beside them, and where all nodes are new.
  double min_use_beside_warm, min_use_all_new;
};
class SlowStart : public testing::TestWithParam<FleetSize> {};

TEST_P(SlowStart, FleetStaysWithinBudgetOfNewNodeAndUsesIt) {
  expect_within_limit_and_used(GetParam().routers, false, GetParam().min_use_beside_warm);
}

// Without a warm node, the last known work rate of warm nodes stays in force. Without any known rate, a node
// gets one request in each window.
TEST_P(SlowStart, FleetUsesNewNodesWithoutWarmNodes) {
  expect_within_limit_and_used(GetParam().routers, true, GetParam().min_use_all_new);
}

INSTANTIATE_TEST_SUITE_P(Fleets, SlowStart,
                         testing::Values(FleetSize{1, 0.15, 0.2}, FleetSize{3, 0.1, 0.15},
                                         FleetSize{20, 0.1, 0.1}, FleetSize{30, 0.1, 0.1},
                                         FleetSize{300, 0.05, 0.02}),
                         [](const auto& info) { return std::to_string(info.param.routers) + "_routers"; });

// The previous process of a router may have sent its whole share in the present window, and the learned rates
// do not state what it has sent.
TEST(RestartedRouter, SendsNodeInSlowStartAtMostOneRequestInFirstWindow) {
  const auto serve_and_count_new_node = [](SchedulerFixture& fixture, int requests) {
    int count = 0;
    for (int i = 0; i < requests; ++i) {
      const Request r = fixture.make_request();
      const EndpointId prefill_node = fixture.sent_to(fixture.handle(r));
      fixture.now += 40ms;
      const EndpointId decode_node =
          fixture.sent_to(fixture.complete_attempt(r.id, 0, prefill_node, Outcome::prefill_done, 40ms));
      fixture.receive_first_token(r.id, 1, decode_node);
      fixture.complete_attempt(r.id, 1, decode_node, Outcome::ok, 60ms, 0, true);
      count += prefill_node == 2;
    }
    return count;
  };
  SchedulerFixture old_process;
  old_process.update_endpoints({make_endpoint(1, prefill_kind), make_endpoint(9, decode_kind)});
  serve_and_count_new_node(old_process, 500);
  SchedulerFixture new_process;
  new_process.now = old_process.now;
  auto new_node = make_endpoint(2, prefill_kind);
  new_node.started_at = old_process.now - 1s;
  new_process.update_endpoints({make_endpoint(1, prefill_kind), new_node, make_endpoint(9, decode_kind)});
  new_process.scheduler.adopt_learned_rates(new_process.now,
                                            old_process.scheduler.learned_rates(old_process.now));
  EXPECT_LE(serve_and_count_new_node(new_process, 70), 1);  // 2.8 s of the window of 3 s
  EXPECT_GE(serve_and_count_new_node(new_process, 80), 5) << "without requests the node cannot warm up";
}

}  // namespace
}  // namespace lemonroute::test
