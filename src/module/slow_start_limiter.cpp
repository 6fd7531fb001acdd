#include "module/slow_start_limiter.h"

#include <algorithm>
#include <cmath>
#include <cstdint>

#include "estimation/conversions.h"
#include "estimation/decaying_average.h"
#include "estimation/hash.h"

namespace lemonroute::decisions {
namespace {

using estimation::hash64;
using estimation::hash_to_unit_interval;
using estimation::to_microseconds;

// Share of a node's budget that may be used. The rest covers the error in the estimated work rate of warm
// nodes.
constexpr double used_budget_share = 0.6;
// Minimum microseconds per prompt token, where the budget is derived from the prefill time per token.
constexpr double min_time_per_token = 0.1;

}  // namespace

bool SlowStartLimiter::in_slow_start(const Node& node) const {
  return node.process_started_at() > Micros(0) &&
         context_.now() - node.process_started_at() < context_.settings().slow_start_duration;
}

// Returns the prompt tokens that this router may send to a node in slow start within one window. A new router
// process does not know what its predecessor has sent, so the budget of its first window counts as used.
double SlowStartLimiter::window_budget(const Node& node) const {
  const Settings& settings = context_.settings();
  const bool first_window = context_.now() - context_.first_event_at() < settings.overload_window;
  const double share =
      first_window ? 0 : used_budget_share * settings.overload_factor * settings.slow_start_initial_capacity;
  return share * to_microseconds(settings.overload_window) * warm_work_rate_[node.role()];
}

bool SlowStartLimiter::admits(const Node& node, double work) const {
  // Computed for warm nodes too, because sum() drops old entries.
  const double sent_work =
      node.sent_work.recent_work_.sum(context_.now(), context_.settings().overload_window);
  if (!in_slow_start(node))
    return true;
  const double budget = window_budget(node);
  if (!node.sent_work.recent_work_.empty())
    return sent_work + work <= budget;
  return has_turn(node, work, budget);
}

// Returns whether this router may send the one request that an empty window admits. All routers together
// should send one request per window; a hash of node, router and window decides which router has the turn. A
// router that receives less than one request per window would miss most of its turns, so its turns are drawn
// for each request instead.
bool SlowStartLimiter::has_turn(const Node& node, double work, double budget) const {
  const Settings& settings = context_.settings();
  const double arriving_work = workload_.arrival_rate() * to_microseconds(settings.overload_window);
  const double usual_work =
      workload_.knows_usual_prompt() ? std::min(work, workload_.usual_prompt_tokens()) : work;
  const double own_part_of_request = usual_work / settings.router_count;
  const bool few_arrivals = arriving_work < usual_work && budget > own_part_of_request;
  const std::int64_t window =
      context_.now() / std::max(settings.overload_window, settings.min_batch_interval);
  const std::int64_t draw = few_arrivals ? context_.now().count() : window;
  const std::uint64_t router_hash = hash64(settings.router_index ^ hash64(static_cast<std::uint64_t>(draw)));
  const double turn = hash_to_unit_interval(hash64(node.id() ^ router_hash));
  const double expected_work = few_arrivals ? arriving_work * work / usual_work : work;
  return turn * expected_work <= std::max(budget, own_part_of_request);
}

void SlowStartLimiter::record_sent(Node& node, double work, double prompt_tokens) {
  node.sent_work.recent_work_.add(work, context_.now());
  node.sent_work.work_rate_.add(prompt_tokens, context_.now(), context_.memory_duration());
}

void SlowStartLimiter::record_not_run(Node& node, double prompt_tokens) {
  node.sent_work.work_rate_.add(-prompt_tokens, context_.now(), context_.memory_duration());
}

std::vector<std::pair<EndpointId, double>> SlowStartLimiter::work_rates(Micros now) const {
  std::vector<std::pair<EndpointId, double>> rates;
  for (const auto& [id, node] : nodes_.all())
    if (node.is_ready() && node.sent_work.work_rate_.known())
      rates.emplace_back(id, node.sent_work.work_rate_.value(now, context_.memory_duration()));
  return rates;
}

void SlowStartLimiter::adopt_work_rate(Node& node, double rate, Micros now) {
  if (std::isfinite(rate) && rate > 0 && node.sent_work.recent_work_.empty())
    node.sent_work.work_rate_.assume(rate, now);
}

void SlowStartLimiter::refresh_pool_averages() {
  RoleTable<estimation::WeightedMean> work_rate;
  for (const auto& [id, node] : nodes_.all())
    if (node.is_ready() && !in_slow_start(node))
      work_rate[node.role()].add(node.sent_work.work_rate_.value(context_.now(), context_.memory_duration()));
  for (const Role role : all_roles)
    if (work_rate[role].total_weight > 0)
      warm_work_rate_[role] = work_rate[role].value();
  // When the last warm node drains while its successors are in slow start, the last known work rate of the
  // role stays in use. For prefill nodes the measured time per token replaces it, because the successors
  // would otherwise get almost no work.
  const auto usual_time_per_token = prefill_times_.usual_time_per_token(Role::prefill);
  if (work_rate[Role::prefill].total_weight <= 0 && usual_time_per_token)
    warm_work_rate_[Role::prefill] =
        1 / std::max(min_time_per_token, *usual_time_per_token) / context_.settings().router_count;
}

}  // namespace lemonroute::decisions
