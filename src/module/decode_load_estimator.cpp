#include "module/decode_load_estimator.h"

#include <algorithm>
#include <cmath>

#include "estimation/conversions.h"
#include "estimation/decaying_average.h"

namespace lemonroute::decisions {
namespace {

using estimation::to_microseconds;

// Weight of a load report against earlier ones. It is high because a report is a measurement, not a sample.
constexpr double load_report_weight = 0.5;
// Lower than for one node, because averages over all decode nodes get samples from each node.
constexpr double fleet_sample_weight = estimation::usual_sample_weight / 4;

}  // namespace

double DecodeLoadEstimator::own_load(const Node& node) const {
  double tokens = 0;
  for (const AttemptRef& ref : node.outstanding()) {
    const RequestState& request = requests_.at(ref.request);
    const Attempt& attempt = requests_.attempt(ref);
    const double token_interval =
        std::max(1.0, to_microseconds(request.class_settings->inter_token_objective));
    double output_tokens = 0;  // estimated from the time since the stream began
    if (attempt.started)
      output_tokens = std::min(estimation::clamp_reported_value(request.request.max_output_tokens),
                               to_microseconds(context_.now() - attempt.first_token_at) / token_interval);
    tokens += request.prompt_tokens + output_tokens;
  }
  return tokens / node.kv_cache_tokens_or_default();
}

double DecodeLoadEstimator::load_confidence(const Node& node) const {
  return node.decode.other_routers_load_.confidence(context_.now(), context_.memory_duration());
}

double DecodeLoadEstimator::load(const Node& node) const {
  const double confidence = load_confidence(node);
  return own_load(node) + confidence * node.decode.other_routers_load_.value +
         (1 - confidence) * mean_other_routers_load_[node.role()];
}

double DecodeLoadEstimator::latency_ratio(const Node& node) const {
  const auto& learned = node.decode.latency_ratio_;
  const double confidence = learned.confidence(context_.now(), context_.memory_duration());
  return std::max({1.0, confidence * learned.value + (1 - confidence),
                   outliers_.overdue_ratio(node, AttemptStage::decode)});
}

std::optional<double> DecodeLoadEstimator::usual_time_to_first_token() const {
  return time_to_first_token_.known ? std::optional(time_to_first_token_.value) : std::nullopt;
}

double DecodeLoadEstimator::recent_time_to_first_token() const {
  return time_to_first_token_.decayed_value(context_.now(), context_.memory_duration());
}

void DecodeLoadEstimator::record_time_to_first_token(Node& node, double elapsed) {
  if (time_to_first_token_.known && time_to_first_token_.value > 0)
    node.decode.latency_ratio_.add(elapsed / time_to_first_token_.value, context_.now());
  time_to_first_token_.add(elapsed, context_.now(), fleet_sample_weight);
}

void DecodeLoadEstimator::record_admission(AdmissionResult result) {
  const double rejected = result == AdmissionResult::rejected ? 1 : 0;
  rejection_ratio_.add(rejected, context_.now(), fleet_sample_weight);
}

void DecodeLoadEstimator::record_load_report(Node& node, const LoadReport& report) {
  if (!report.kv_cache_share || node.role() == Role::prefill)
    return;
  load_was_reported_ = true;
  // Queued prompts will use memory as soon as they are admitted.
  const double queued_share = report.queued_tokens.value_or(0) / node.kv_cache_tokens_or_default();
  const double reported_load = *report.kv_cache_share + queued_share;
  node.decode.other_routers_load_.add(std::max(0.0, reported_load - own_load(node)), context_.now(),
                                      load_report_weight);
}

double DecodeLoadEstimator::mean_other_routers_load(Role role) const {
  // Without load reports, the share of attempts that decode nodes reject stands for their load.
  if (!load_was_reported_)
    return rejection_ratio_.decayed_value(context_.now(), context_.memory_duration());
  estimation::WeightedMean load;
  Micros newest_report{};
  for (const auto& [id, node] : nodes_.all()) {
    if (!node.is_ready() || node.role() != role)
      continue;
    load.add(node.decode.other_routers_load_.value, load_confidence(node));
    newest_report = std::max(newest_report, node.decode.other_routers_load_.last_sample_at);
  }
  // A weighted mean does not change when all its weights decay equally, so the age of the newest report
  // reduces it in addition. Otherwise a router that sheds all requests because nodes look full would send
  // nothing, get no reports, and never learn that the nodes have capacity again.
  const double age = to_microseconds(context_.now() - newest_report);
  const double recency = std::min(1.0, std::exp(1 - age / to_microseconds(context_.memory_duration())));
  return recency * load.value();
}

void DecodeLoadEstimator::refresh_pool_averages() {
  for (const Role role : all_roles)
    mean_other_routers_load_[role] = mean_other_routers_load(role);
}

}  // namespace lemonroute::decisions
