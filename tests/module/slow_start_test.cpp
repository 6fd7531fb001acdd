// Rule 4 over a whole fleet: what all routers together send to a node that has just started, in any window of
// the settings' length, against what the node bears. Its capacity is drawn and never told; no router sees the
// sum.
#include <cmath>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <random>

#include "support.h"

namespace lemonroute::test {
namespace {

enum class Disruption {
  none,
  rolling,
  handed_over,
  killed
};  // new processes while the node is cold, one by one or all

struct Case {
  std::uint32_t routers = 1;
  std::uint64_t seed = 1;
  Role role = Role::prefill;  // of the cold node
  Disruption disruption = Disruption::none;
  bool all_in_slow_start = false;  // every node of that role starts at once
};

struct Seen {
  double calls = 0;  // the budget N of a window, in requests of mean work
  double most = 0;   // most work that one cold node was sent in a window, in the same
  double used = 0;   // what a cold node was sent a window, in the mean
  double asked = 0;  // what a warm one bears of the same traffic
  double limit() const { return calls + 2 * std::sqrt(calls) + 2; }
};

constexpr double mean_work = 2000;
constexpr EndpointId first_of_role = 1, first_other = 50;

class Fleet {
 public:
  explicit Fleet(const Case& c) : case_(c), dice_(c.seed * 7919 + c.routers) {
    const auto draw = [&](double from, double to) {
      return std::uniform_real_distribution<double>(from, to)(dice_);
    };
    settings_ = settings();
    settings_.router_count = c.routers;
    settings_.kind_memory = {1e9, 1e9, 1e9};
    for (auto& one : settings_.classes)
      one.latency_objective = 5s, one.deadline = 8s;
    settings_.overload_factor = draw(2, 4);
    settings_.slow_start_initial_capacity = draw(0.2, 0.35);
    settings_.overload_window = Micros(static_cast<Micros::rep>(draw(1e6, 3e6)));
    settings_.slow_start_duration = 10s;
    nodes_ = 2 + static_cast<EndpointId>(draw(0, 4));
    load_ = draw(0.4, 2.0);  // of what the nodes bear that are there; from 1 on they turn requests away
    window_ = std::chrono::duration<double>(settings_.overload_window).count();
    seen_.calls = std::exp(draw(std::log(1.0), std::log(40.0)));
    capacity_ = seen_.calls / (settings_.overload_factor * settings_.slow_start_initial_capacity *
                               window_);  // a second, once warm
    restart_ = begin_ + Micros(static_cast<Micros::rep>(draw(0.1, 0.9) * 1e7));
    // Some get several times the mean.
    for (std::uint32_t me = 0; me < c.routers; ++me)
      parts_.push_back(me % 5 == 0 ? 5 : 1);
  }

  Seen play() {
    for (std::uint32_t me = 0; me < case_.routers; ++me)
      start(me);
    const double rate = load_ * capacity_ * (case_.all_in_slow_start ? nodes_ : nodes_ - 1);
    std::discrete_distribution<std::uint32_t> who(parts_.begin(), parts_.end());
    std::exponential_distribution<double> gap(rate);
    for (double at = gap(dice_); at < 30; at += gap(dice_))
      at_(Micros(static_cast<Micros::rep>(at * 1e6)), [this, me = who(dice_)] { take(me); });
    at_(begin_, [this] { replace(); });
    for (std::uint32_t me = 0; me < case_.routers; ++me) {
      const Micros within{static_cast<Micros::rep>(std::uniform_real_distribution<double>(0, 1e7)(dice_))};
      if (case_.disruption == Disruption::rolling)
        at_(begin_ + within, [this, me] { renew(me, true); });
      if (case_.disruption == Disruption::handed_over)
        at_(restart_, [this, me] { renew(me, true); });
      if (case_.disruption == Disruption::killed)
        at_(restart_, [this, me] { renew(me, false); });
    }
    while (!due_.empty()) {
      const auto next = due_.begin();
      now_ = next->first;
      const auto what = std::move(next->second);
      due_.erase(next);
      what();
    }
    const double windows = 10 / window_, cold = case_.all_in_slow_start ? nodes_ : 1;
    seen_.used /= windows * cold;
    seen_.asked = std::min(1.0, load_) * capacity_ * window_;
    return seen_;
  }

 private:
  struct One {
    std::unique_ptr<Scheduler> scheduler;
    int life = 0;
  };
  using Id = std::pair<RequestId, std::uint16_t>;

  void at_(Micros when, std::function<void()> what) { due_.emplace(when, std::move(what)); }

  std::vector<Endpoint> list() const {
    std::vector<Endpoint> all;
    const auto kind = static_cast<std::uint8_t>(case_.role);
    for (EndpointId i = 0; i < nodes_; ++i) {
      all.push_back(host(first_of_role + i, kind));
      if (now_ >= begin_ && is_new(first_of_role + i))
        all.back().started_at = epoch_ + begin_;
    }
    // Beside the last node, which isn't there before its start.
    if (!case_.all_in_slow_start && now_ < begin_)
      all.pop_back();
    if (case_.role != Role::mixed)
      for (EndpointId i = 0; i < 4; ++i)
        all.push_back(host(first_other + i, case_.role == Role::prefill ? decode_kind : prefill_kind));
    return all;
  }
  bool is_new(EndpointId id) const {
    return id < first_other && (case_.all_in_slow_start || id == first_of_role + nodes_ - 1);
  }

  void start(std::uint32_t me) {
    Settings s = settings_;
    s.router_index = me;
    ones_[me].scheduler = std::make_unique<Scheduler>(s, case_.seed + me);
    handle(me, EndpointListUpdate{EndpointListKind::full, 1, list()});
  }
  void replace() {
    for (std::uint32_t me = 0; me < case_.routers; ++me)
      handle(me, EndpointListUpdate{EndpointListKind::full, 2, list()});
    if (case_.all_in_slow_start)
      busy_.clear();
  }
  void renew(std::uint32_t me, bool told) {
    const LearnedRates learned = ones_[me].scheduler->learned_rates(epoch_ + now_);
    ++ones_[me].life;
    start(me);
    if (told)
      ones_[me].scheduler->adopt_learned_rates(epoch_ + now_, learned);
  }

  void take(std::uint32_t me) {
    std::lognormal_distribution<double> work(-0.125, 0.5);
    Request r;
    r.id = next_++;
    r.session_key = r.id * 104729;
    r.time_budget = 8s;
    r.prompt_tokens = static_cast<float>(mean_work * work(dice_));
    r.max_output_tokens = 100;
    prompts_[r.id] = r.prompt_tokens;
    handle(me, r);
  }

  void handle(std::uint32_t me, const Event& event) {
    std::vector<Action> actions;
    ones_[me].scheduler->handle(epoch_ + now_, event, actions);
    for (const auto& action : actions) {
      if (const auto* sleep = std::get_if<StartTimer>(&action)) {
        later(me, sleep->delay, [this, me, cookie = sleep->timer_id] { handle(me, TimerFired{cookie}); });
      } else if (const auto* send = std::get_if<Send>(&action)) {
        begin(me, send->id, send->endpoint);
      } else if (const auto* cancel = std::get_if<CancelAttempt>(&action)) {
        const Id id{cancel->id, cancel->attempt};
        if (out_.count(id))
          later(me, 0s, [this, me, id] { end(me, id, Outcome::cancelled); });
      }
    }
  }
  void later(std::uint32_t me, Micros after, std::function<void()> what) {
    at_(now_ + after, [this, me, life = ones_[me].life, what = std::move(what)] {
      if (ones_[me].life == life)
        what();
    });
  }

  // A node works on one request after the other; one that comes when its queue is long is turned away.
  void begin(std::uint32_t me, RequestId id, EndpointId node) {
    const std::uint16_t attempt = attempts_[id]++;
    const double work = prompts_[id] / mean_work;
    const bool fresh = now_ >= begin_ && is_new(node);
    const double age = std::chrono::duration<double>(now_ - begin_).count();
    if (fresh && age < 10)
      put_down(node, work);
    const double able = fresh ? std::min(1.0, settings_.slow_start_initial_capacity + 0.1 * age) : 1;
    const double speed = capacity_ * (node >= first_other ? nodes_ / 2.0 : able);
    auto& busy = busy_[node];
    busy = std::max(busy, now_);
    out_[{id, attempt}] = {node, now_};
    if (busy - now_ > 3s)
      return later(me, 2ms, [this, me, id, attempt] {
        end(me, {id, attempt}, Outcome::rejected_over_capacity);
      });
    busy += Micros(static_cast<Micros::rep>(work / speed * 1e6));
    const bool reads = node >= first_other ? case_.role == Role::decode : case_.role == Role::prefill;
    const Outcome served = reads ? Outcome::prefill_done : Outcome::ok;
    later(me, busy - now_, [this, me, id, attempt, served] { end(me, {id, attempt}, served); });
  }
  void end(std::uint32_t me, Id id, Outcome how) {
    const auto found = out_.find(id);
    if (found == out_.end())
      return;
    const auto [node, since] = found->second;
    out_.erase(found);
    if (how == Outcome::ok)
      handle(me, FirstTokenReceived{id.first, node, id.second, now_ - since});
    handle(me, AttemptCompleted{id.first, how, how == Outcome::ok, now_ - since, node, 0, id.second, {}});
  }

  void put_down(EndpointId node, double work) {
    auto& sent = sent_[node];
    sent.emplace_back(now_, work);
    while (now_ - sent.front().first >= settings_.overload_window)
      sent.pop_front();
    double sum = 0;
    for (const auto& one : sent)
      sum += one.second;
    seen_.most = std::max(seen_.most, sum);
    seen_.used += work;
  }

  Case case_;
  std::mt19937_64 dice_;
  Settings settings_;
  double capacity_ = 1, load_ = 1, window_ = 1;
  EndpointId nodes_ = 2;
  Micros now_{}, begin_ = 20s, restart_{};
  const Micros epoch_ = 1000s;
  std::vector<double> parts_;
  std::multimap<Micros, std::function<void()>> due_;
  std::map<std::uint32_t, One> ones_;
  std::map<RequestId, double> prompts_;
  std::map<RequestId, std::uint16_t> attempts_;
  std::map<Id, std::pair<EndpointId, Micros>> out_;
  std::map<EndpointId, Micros> busy_;
  std::map<EndpointId, std::deque<std::pair<Micros, double>>> sent_;
  RequestId next_ = 1;
  Seen seen_;
};

// Over `seeds` draws of each kind of disruption: the most of any window against the limit, and the mean use
// of what the budget and the traffic allow.
void expect_bounds(std::uint32_t routers, bool all_in_slow_start, double least_use) {
  constexpr std::uint64_t seeds = 3;
  double used = 0, plays = 0;
  for (const Role role : {Role::prefill, Role::decode, Role::mixed})
    for (const Disruption disruption :
         {Disruption::none, Disruption::rolling, Disruption::handed_over, Disruption::killed})
      for (std::uint64_t seed = 1; seed <= seeds; ++seed) {
        const Seen seen = Fleet({routers, seed, role, disruption, all_in_slow_start}).play();
        EXPECT_LE(seen.most, seen.limit())
            << routers << " routers, role " << static_cast<int>(role) << ", disruption "
            << static_cast<int>(disruption) << ", seed " << seed << ", N " << seen.calls;
        used += seen.used / std::min(seen.calls, seen.asked);
        ++plays;
      }
  EXPECT_GE(used / plays, least_use) << routers << " routers";
}

struct Size {
  std::uint32_t routers;
  double beside_warm, all_new;  // the least use
};
class SlowStart : public testing::TestWithParam<Size> {};

TEST_P(SlowStart, TheSumOfAFleetStaysWithinANewNodesBudgetAndUsesIt) {
  expect_bounds(GetParam().routers, false, GetParam().beside_warm);
}

// With no warm node to go by, what the last one did goes on to count; with nothing at all known, a request a
// window.
TEST_P(SlowStart, WhereAllNodesAreNewTheyAreUsed) {
  expect_bounds(GetParam().routers, true, GetParam().all_new);
}

INSTANTIATE_TEST_SUITE_P(Fleets, SlowStart,
                         testing::Values(Size{1, 0.15, 0.2}, Size{3, 0.1, 0.15}, Size{20, 0.1, 0.1},
                                         Size{30, 0.1, 0.1}, Size{300, 0.05, 0.02}),
                         [](const auto& size) { return std::to_string(size.param.routers) + "_routers"; });

// Its predecessor may have sent its whole part in the running window, and the learned rates don't say.
TEST(SlowStartOfAProcess, SendsAColdNodeOneRequestAtMostInItsFirstWindow) {
  const auto sent_in_slow_start = [](SchedulerFixture& fixture, int requests) {
    int count = 0;
    for (int i = 0; i < requests; ++i) {
      const Request r = fixture.request();
      const EndpointId reader = fixture.sent_to(fixture.handle(r));
      fixture.now += 40ms;
      const EndpointId writer =
          fixture.sent_to(fixture.complete(r.id, 0, reader, Outcome::prefill_done, 40ms));
      fixture.first(r.id, 1, writer);
      fixture.complete(r.id, 1, writer, Outcome::ok, 60ms, 0, true);
      count += reader == 2;
    }
    return count;
  };
  SchedulerFixture old;
  old.list({host(1, prefill_kind), host(9, decode_kind)});
  sent_in_slow_start(old, 500);
  SchedulerFixture fresh;
  fresh.now = old.now;
  auto cold = host(2, prefill_kind);
  cold.started_at = old.now - 1s;
  fresh.list({host(1, prefill_kind), cold, host(9, decode_kind)});
  fresh.scheduler.adopt_learned_rates(fresh.now, old.scheduler.learned_rates(old.now));
  EXPECT_LE(sent_in_slow_start(fresh, 70), 1);  // 2.8 s of the 3 s
  EXPECT_GE(sent_in_slow_start(fresh, 80), 5) << "it has to warm up";
}

}  // namespace
}  // namespace lemonroute::test
