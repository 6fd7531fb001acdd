// The one state that all decisions read and change: settings, clock, nodes, requests and their attempts.
// Work is counted in tokens of prompt, a duration that is a double in microseconds.
#pragma once

#include <algorithm>
#include <cmath>
#include <map>
#include <optional>
#include <utility>

#include "fleet/learned.h"
#include "fleet/openings.h"
#include "fleet/prefix_table.h"
#include "fleet/rates.h"
#include "lemonroute/scheduler.h"

namespace lemonroute::decisions {

using fleet::learn, fleet::Learned, fleet::Mean;
using fleet::micros, fleet::mix, fleet::sane, fleet::unit, fleet::us, std::chrono::seconds;

// Tuned values, here and in the other files. What depends on the deployment comes from its settings instead.
constexpr double near_margin = 0.12;  // a decode node this much above the least load still counts as least
constexpr double full_at = 0.9;       // share of KV cache memory from which a decode node looks full

struct AttemptRef {
  RequestId id;
  std::uint16_t attempt;
};

struct Node {
  ListEntry entry{};
  Role role = Role::both;
  double memory = 0;        // tokens of KV cache
  Learned prefill_rate{};   // microseconds a token, from prefill latencies
  Learned slow{};           // latency against the pool's norm, as a decode node
  Learned others{};         // share of memory held here for other routers, by report
  Learned others_queued{};  // prompt tokens queued here for other routers, by report
  double mixed_debt = 0;    // as a mixed node: time owed to prefill, drained by `mixed_share`
  double failing = 0;       // share of recent attempts that failed, fading
  Micros mixed_debt_at{}, failing_at{}, prefill_done{}, void_before{};
  int misses = 0;  // cached counts far below credit, in a row
  std::vector<AttemptRef> out{};
  fleet::WorkWindow sent{};                                    // within the slow-start window
  fleet::FadingRate work_rate{};                               // of what it took
  bool listed() const { return entry.phase == Phase::ready; }  // as far as this router knows
  double room() const { return memory > 0 ? memory : 1e5; }
};

struct Attempt {
  HostId host = 0;
  Micros sent{}, first{};
  double ahead = 0, others = 0, tokens = 0, credit = 0, timeout = 1;
  bool prefill = false, out = true, started = false, cancelled = false;
};

struct Job {  // a request under way
  Request request{};
  std::shared_ptr<const ClassSettings> terms{};  // these two from the request's beginning
  std::uint32_t most_attempts = 1;
  double prompt = 0, shared = 0;
  Micros deadline{};
  double aim = 0;  // for the time to first token
  bool over_share = false, ended = false, held = false;
  HostId state_at = 0;               // the prefill node where the KV cache waits, while held
  std::optional<std::size_t> ran{};  // first attempt that may have run
  std::vector<Attempt> attempts{};
  auto out() const { return std::ranges::count_if(attempts, &Attempt::out); }
  bool tried(HostId host) const { return std::ranges::count(attempts, host, &Attempt::host) > 0; }
};

struct Pool {  // what is usual among the listed nodes of a role
  double nodes = 0, ejected = 0, rate = 0, others = 0, queued = 0, warm_work = 0, wait = 0;
};

template <class Map>
auto* lookup(Map& map, const typename Map::key_type& key) {  // null where there is none
  const auto at = map.find(key);
  return at == map.end() ? nullptr : &at->second;
}

struct State {
  // At the start and at any time later.
  void take(Settings from) {
    std::map<std::string, fleet::TokenBucket> kept;
    for (std::size_t i = 0; i < buckets.size(); ++i) kept[settings.tenants[i].name] = buckets[i];
    auto work = std::exchange(class_work, {});
    settings = std::move(from);
    classes.clear();
    fade = Micros(0);
    most_worth = 0;
    for (const auto& c : settings.classes) {
      classes.push_back(std::make_shared<const ClassSettings>(c));
      if (work.count(c.name)) class_work[c.name] = work[c.name];
      fade = std::max(fade, c.deadline);
      most_worth = std::max(most_worth, c.worth);
    }
    if (fade <= Micros(0)) fade = seconds(10);
    buckets.clear();
    for (const auto& tenant : settings.tenants) buckets.push_back(kept[tenant.name]);
    columns.clear();
    for (std::size_t i = 0; i < settings.report_columns.size(); ++i) columns[settings.report_columns[i]] = i;
    for (auto& [id, node] : nodes) describe(node);
  }
  void describe(Node& node) const {
    const auto kind = node.entry.kind;
    node.role = kind < settings.kind_role.size() ? settings.kind_role[kind] : Role::both;
    node.memory = kind < settings.kind_memory.size() ? settings.kind_memory[kind] : 0;
  }

  std::shared_ptr<const ClassSettings> terms(std::uint16_t cls) const {
    static const auto unknown = std::make_shared<const ClassSettings>(
        ClassSettings{"", Effect::unsafe, Group::cell, seconds(1), seconds(1), {}, {}, {}, 0, 0, 1, true});
    return cls < classes.size() ? classes[cls] : unknown;
  }
  void act(Action action) { actions->push_back(std::move(action)); }
  const Attempt& attempt(const AttemptRef& ref) const { return jobs.at(ref.id).attempts[ref.attempt]; }
  Role role_of(HostId id) const {
    const Node* node = lookup(nodes, id);
    return node ? node->role : Role::both;
  }
  double work_of(const Job& job) { return std::max(class_work[job.terms->name].value, job.prompt); }
  const Pool& pool(Role role) const { return pools.at(role); }  // by `survey`, which comes before each choice

  Settings settings;
  std::vector<std::shared_ptr<const ClassSettings>> classes;
  Micros now{}, since{};  // since this process's first event
  std::vector<Action>* actions = nullptr;
  Micros fade{};  // how long what was learned of a node's health lasts: the longest deadline
  double most_worth = 0;
  std::map<std::string, std::size_t> columns;
  std::map<HostId, Node> nodes;
  std::map<RequestId, Job> jobs;
  fleet::PrefixTable sessions, shareds;
  fleet::Openings openings;
  std::map<std::uint32_t, AttemptRef> timers;
  std::uint32_t next_cookie = 1;
  std::vector<fleet::TokenBucket> buckets;  // by tenant
  fleet::FadingRate arrivals;               // work that comes, served or not
  Learned fresh_share{1, {}, true};         // of prompts, the part that was not cached
  Learned first_token;                      // the decode nodes' usual time to a first token
  Learned turned_away{0, {}, true};         // of attempts at decode nodes, the part that full ones turn away
  std::map<std::string, Learned> class_work;
  Learned usual_prompt;
  std::map<Role, Pool> pools;
  std::map<Role, Learned> inferred;
  std::map<Role, fleet::UsualRate> usual_rate;  // microseconds a token
  Learned any_rate;                             // of whatever role did a prefill last
  bool reported = false, surveyed = false;      // any decode node's load; `pools`, in this event
  double mixed_prefill = 0;                     // this router's prefill at mixed nodes, fading
  Micros mixed_prefill_at{};
  Learned coming{0, {}, true};  // tokens that this router has in prefill, in the mean
  int ask_failures = 0;
  std::function<void(const Choice&)> told_to;
  Choice choice;
};

// Places are never held ahead, and each router decides by what it sees itself.
inline void on(State&, const auto&) {}

}  // namespace lemonroute::decisions
