#include "module/prefill_selector.h"

#include <algorithm>

namespace lemonroute::decisions {
namespace {

// Weight of prefill time in a score; waiting time has weight 1. Prefill time counts more because it delays
// later requests, which waiting does not.
constexpr double prefill_time_weight = 3;
// Added to prefill_time_weight in proportion to the mean queue wait, and in full from a wait of one latency
// objective: the longer the queues, the more requests each uncached token delays.
constexpr double queueing_penalty = 8;
// Part of the latency objective that is added to the score of a node outside the router's zone.
constexpr double cross_zone_penalty = 0.03;
// A node counts as idle while its wait is at most this part of the latency objective.
constexpr double idle_wait_share = 0.1;
// A load of 1 adds the latency objective divided by this to the score of a mixed node, which would stream the
// answer as well.
constexpr double mixed_load_divisor = 4;

}  // namespace

void PrefillSelector::estimate(const Node& node, const RequestState& request, Selection& selection) const {
  selection.queue_wait = estimators_.prefill_times.queue_wait(node);
  selection.prefill_time = (request.prompt_tokens - selection.assumed_cached_tokens) *
                           estimators_.prefill_times.prefill_time_per_token(node);
}

// Mooncake's Algorithm 1 has two cases: prefill where the prefix is cached, or at another node to which the
// prefix is copied. Nodes cannot copy a prefix here, so one formula covers both: tokens that are not cached
// at a node count as prefill time there, and the chosen node caches the prefix itself.
const char* PrefillSelector::score(const Node& node, const RequestState& request,
                                   const std::vector<EndpointId>& affinity_nodes,
                                   Selection& selection) const {
  const double objective = request.latency_objective;
  selection.recorded_cached_tokens = estimators_.prefix_cache.recorded_cached_tokens(node, request);
  selection.assumed_cached_tokens = selection.recorded_cached_tokens;
  if (std::ranges::count(affinity_nodes, node.id()) > 0) {
    const double assumed = node.id() == affinity_nodes.front()
                               ? estimators_.prefix_cache.assumed_affinity_tokens(request)
                               : request.shared_prefix_tokens;
    selection.assumed_cached_tokens = std::max(selection.assumed_cached_tokens, assumed);
  }
  estimate(node, request, selection);
  const double queueing =
      std::min(1.0, estimators_.prefill_times.mean_queue_wait(node.role()) / std::max(1.0, objective));
  selection.score =
      selection.queue_wait + (prefill_time_weight + queueing_penalty * queueing) * selection.prefill_time;
  const double confidence = estimators_.prefill_times.prefill_time_per_token_confidence(node);
  selection.score += estimators_.outliers.failure_ratio(node) * objective +
                     uncertainty_penalty(request, node, confidence) * selection.prefill_time;
  if (request.was_sent_to(node.id()))
    selection.score += objective;
  if (node.zone() != context_.settings().router_zone)
    selection.score += cross_zone_penalty * objective;
  return node.role() == Role::mixed ? add_answer_score(node, request, selection) : nullptr;
}

// A mixed node would stream the answer as well, so its load and latency as a decode node count.
const char* PrefillSelector::add_answer_score(const Node& node, const RequestState& request,
                                              Selection& selection) const {
  const double own_part = request.prompt_tokens / std::max(1.0, node.kv_cache_tokens());
  const double load = estimators_.decode_loads.load(node) + own_part;
  if (load > full_load)
    return "its memory is full";
  const double excess_latency = estimators_.decode_loads.latency_ratio(node) - 1;
  selection.score += (excess_latency + load) * request.latency_objective / mixed_load_divisor;
  return nullptr;
}

std::optional<Selection> PrefillSelector::choose_best(const RequestState& request, EndpointId excluded,
                                                      const EndpointFilter::ScoreFunction& score) {
  std::optional<Selection> best;
  double lowest_score = Selection::worst_score;
  for (const Selection& selection : filter_.eligible_endpoints(request, Role::prefill, excluded, score)) {
    if (selection.score < lowest_score) {
      lowest_score = selection.score;
      best = selection;
    }
  }
  explainer_.report(best ? best->endpoint : 0);
  return best;
}

std::optional<Selection> PrefillSelector::choose(const RequestState& request, EndpointId excluded) {
  pools_.refresh();
  const std::vector<EndpointId> affinity_nodes = estimators_.prefix_cache.affinity_nodes(request);
  return choose_best(request, excluded, [&](const Node& node, Selection& selection) {
    return score(node, request, affinity_nodes, selection);
  });
}

std::optional<Selection> PrefillSelector::choose_idle(const RequestState& request) {
  const auto score_idle = [&](const Node& node, Selection& selection) -> const char* {
    selection.recorded_cached_tokens = estimators_.prefix_cache.recorded_cached_tokens(node, request);
    selection.assumed_cached_tokens = selection.recorded_cached_tokens;
    estimate(node, request, selection);
    selection.score = selection.queue_wait + selection.prefill_time;
    const bool is_idle = selection.queue_wait <= idle_wait_share * request.latency_objective;
    const bool is_in_time = selection.score <= request.latency_objective;
    return is_idle && is_in_time && node.role() == Role::prefill ? nullptr
                                                                 : "not idle, or too late for the aim";
  };
  return choose_best(request, 0, score_idle);
}

}  // namespace lemonroute::decisions
