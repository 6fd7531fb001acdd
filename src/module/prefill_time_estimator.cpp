#include "module/prefill_time_estimator.h"

#include <algorithm>
#include <cmath>

#include "estimation/conversions.h"
#include "estimation/decaying_average.h"
#include "estimation/running_median.h"
#include "module/find_or_null.h"

namespace lemonroute::decisions {
namespace {

using estimation::to_microseconds;
using estimation::usual_sample_weight;
using estimation::WeightedMean;

// Weight of a load report against earlier ones. It is high because a report is a measurement, not a sample.
constexpr double load_report_weight = 0.5;
// Low, because the cached parts of prompts vary widely.
constexpr double uncached_share_weight = usual_sample_weight / 4;
// A prefill of at least this part of the usual prompt length is a whole sample. A shorter one measures mostly
// overhead.
constexpr double whole_sample_share = 1.0 / 2;
// Overhead of each prefill, as a part of the usual prompt length.
constexpr double min_step_share = 1.0 / 32;
// Upper limit of a node's sample, as a multiple of the usual time per token.
constexpr double max_sample_factor = 4;
// Evidence on queues decays four times as fast as evidence on a node's health.
constexpr int queue_memory_divisor = 4;

}  // namespace

double PrefillTimeEstimator::prefill_time_per_token_confidence(const Node& node) const {
  return node.prefill.time_per_token_.confidence(context_.now(), context_.memory_duration());
}

double PrefillTimeEstimator::prefill_time_per_token(const Node& node) const {
  const double confidence = prefill_time_per_token_confidence(node);
  const double usual = pools_[node.role()].time_per_token;
  const double learned = confidence * node.prefill.time_per_token_.value + (1 - confidence) * usual;
  return std::max(learned, usual * outliers_.overdue_ratio(node, AttemptStage::prefill));
}

double PrefillTimeEstimator::own_queued_tokens(const Node& node, double time_per_token) const {
  double tokens = 0;
  const Attempt* head = nullptr;  // the prefill that is assumed to be in progress
  for (const AttemptRef& ref : node.outstanding()) {
    const Attempt& attempt = requests_.attempt(ref);
    if (attempt.stage != AttemptStage::prefill || attempt.started)
      continue;
    if (!head)
      head = &attempt;
    tokens += attempt.uncached_tokens;
  }
  if (!head)
    return 0;
  const Micros head_started_at = std::max(node.prefill.last_prefill_done_, head->sent_at);
  const double head_done_tokens = to_microseconds(context_.now() - head_started_at) / time_per_token;
  return tokens - std::min(head->uncached_tokens, head_done_tokens);
}

double PrefillTimeEstimator::queued_tokens(const Node& node, double time_per_token) const {
  const auto& reported = node.prefill.other_routers_queued_tokens_;
  const Micros memory = context_.memory_duration() / queue_memory_divisor;
  const double freshness = reported.freshness(context_.now(), memory);
  const double usual = pools_[node.role()].other_routers_queued_tokens;
  return own_queued_tokens(node, time_per_token) + freshness * reported.value + (1 - freshness) * usual;
}

double PrefillTimeEstimator::queue_wait(const Node& node) const {
  const double time_per_token = prefill_time_per_token(node);
  const double wait = queued_tokens(node, time_per_token) * time_per_token;
  return node.role() == Role::mixed ? std::max(wait, mixed_prefills_.wait(node)) : wait;
}

std::optional<double> PrefillTimeEstimator::usual_time_per_token(Role role) const {
  const auto* const time_per_token = find_or_null(usual_time_per_token_, role);
  return time_per_token ? std::optional(time_per_token->value()) : std::nullopt;
}

double PrefillTimeEstimator::overall_confidence() const {
  return last_usual_time_per_token_.confidence(context_.now(), context_.memory_duration());
}

void PrefillTimeEstimator::record_prefill_time(Node& node, const Attempt& attempt, double elapsed) {
  if (attempt.uncached_tokens < 1)
    return;
  const bool queue_is_reported = context_.active_settings().reports_queued_tokens();
  const double usual_prompt = workload_.usual_prompt_tokens();
  const double step = usual_prompt * min_step_share;
  const double tokens = attempt.queue_ahead + attempt.uncached_tokens + step -
                        (queue_is_reported ? 0 : attempt.other_routers_queue);
  const double sample = elapsed / tokens;
  const double weight =
      std::min(1.0, attempt.uncached_tokens / std::max(1.0, usual_prompt * whole_sample_share));
  estimation::RunningMedian& usual_of_role = usual_time_per_token_[node.role()];
  if (usual_of_role.has_few_samples() || weight > usual_sample_weight)
    usual_of_role.add(sample);
  const double usual = usual_of_role.value();
  last_usual_time_per_token_.add(usual, context_.now(), 1);
  if (!queue_is_reported)
    unreported_queue_[node.role()].add(elapsed / usual - tokens, context_.now(), usual_sample_weight);
  node.prefill.time_per_token_.add(std::min(sample, max_sample_factor * usual), context_.now(),
                                   usual_sample_weight * weight, weight);
  node.prefill.last_prefill_done_ = context_.now();
}

void PrefillTimeEstimator::record_uncached_share(double share) {
  uncached_share_.add(share, context_.now(), uncached_share_weight);
}

void PrefillTimeEstimator::record_load_report(Node& node, const LoadReport& report) {
  if (!report.queued_tokens || node.role() == Role::decode)
    return;
  // Nodes report the tokens of whole prompts, cached ones included.
  double own_tokens = 0;
  for (const AttemptRef& ref : node.outstanding()) {
    const Attempt& attempt = requests_.attempt(ref);
    if (attempt.stage == AttemptStage::prefill && !attempt.started)
      own_tokens += requests_.at(ref.request).prompt_tokens;
  }
  const double others = std::max(0.0, *report.queued_tokens - own_tokens) * uncached_share_.value;
  node.prefill.other_routers_queued_tokens_.add(others, context_.now(), load_report_weight);
}

std::vector<std::pair<Role, double>> PrefillTimeEstimator::usual_times_per_token() const {
  std::vector<std::pair<Role, double>> times_per_token;
  for (const auto& [role, time_per_token] : usual_time_per_token_)
    times_per_token.emplace_back(role, time_per_token.value());
  return times_per_token;
}

void PrefillTimeEstimator::adopt_usual_times_per_token(
    Micros now, const std::vector<std::pair<Role, double>>& times_per_token) {
  for (const auto& [role, time_per_token] : times_per_token) {
    if (!std::isfinite(time_per_token) || time_per_token <= 0 ||
        !usual_time_per_token_[role].has_few_samples())
      continue;
    usual_time_per_token_[role].assume(time_per_token);
    last_usual_time_per_token_.add(time_per_token, now, 1);
  }
}

// Returns the time per prompt token that the first class's objective allows. It only ranks nodes until a
// prefill was measured.
double PrefillTimeEstimator::default_time_per_token() const {
  const auto& classes = context_.settings().classes;
  if (classes.empty())
    return 1;
  return std::max(1.0, to_microseconds(classes[0].latency_objective_per_1000_tokens) / 1000);
}

double PrefillTimeEstimator::mean_other_routers_queue(Role role) const {
  // The mean is taken over square roots, so that one long queue does not dominate it.
  WeightedMean queue_root;
  for (const auto& [id, node] : nodes_.all()) {
    if (!node.is_ready() || node.role() != role)
      continue;
    const auto& reported = node.prefill.other_routers_queued_tokens_;
    queue_root.add(std::sqrt(reported.value),
                   reported.confidence(context_.now(), context_.memory_duration()));
  }
  const double unreported =
      std::max(0.0, unreported_queue_[role].decayed_value(context_.now(), context_.memory_duration()));
  return std::pow(queue_root.value(), 2) + unreported;
}

double PrefillTimeEstimator::compute_mean_queue_wait(Role role) const {
  WeightedMean waits;
  for (const auto& [id, node] : nodes_.all())
    if (node.is_ready() && node.role() == role)
      waits.add(queue_wait(node));
  return waits.value();
}

void PrefillTimeEstimator::refresh_pool_averages() {
  for (const Role role : all_roles) {
    PoolAverages& pool = pools_[role];
    const double last_usual =
        last_usual_time_per_token_.known ? last_usual_time_per_token_.value : default_time_per_token();
    pool.time_per_token = usual_time_per_token(role).value_or(last_usual);
    pool.other_routers_queued_tokens = mean_other_routers_queue(role);
  }
  for (const Role role : {Role::prefill, Role::mixed})
    pools_[role].mean_queue_wait = compute_mean_queue_wait(role);
}

}  // namespace lemonroute::decisions
