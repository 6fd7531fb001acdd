#include "module/decode_selector.h"

#include <algorithm>
#include <utility>

namespace lemonroute::decisions {
namespace {

// Added to the score of a node that the request was sent to before. A full memory adds as much.
constexpr double retry_penalty = 1;

// Orders by proximity first, then by score.
bool is_preferred(const Selection& selection, const Selection& other) {
  return std::pair(-selection.proximity, selection.score) < std::pair(-other.proximity, other.score);
}

}  // namespace

double DecodeSelector::score(const Node& node, const RequestState& request) const {
  const double load = estimators_.decode_loads.load(node) * estimators_.decode_loads.latency_ratio(node);
  const double confidence = estimators_.decode_loads.load_confidence(node);
  return load + estimators_.outliers.failure_ratio(node) +
         (request.was_sent_to(node.id()) ? retry_penalty : 0) +
         uncertainty_penalty(request, node, confidence);
}

int DecodeSelector::proximity(const Node& node, const RequestState& request) const {
  const Node* const cache_node = nodes_.find(request.reservation_endpoint);
  if (!cache_node || node.zone() != cache_node->zone())
    return 0;
  return node.cell() == cache_node->cell() ? 2 : 1;
}

std::optional<Selection> DecodeSelector::choose(const RequestState& request, EndpointId excluded) {
  pools_.refresh();
  double lowest_score = Selection::worst_score;
  const auto score_node = [&](const Node& node, Selection& selection) -> const char* {
    selection.score = score(node, request);
    selection.proximity = proximity(node, request);
    lowest_score = std::min(lowest_score, selection.score);
    return nullptr;
  };
  const auto eligible = filter_.eligible_endpoints(request, Role::decode, excluded, score_node);
  // Proximity may only decide between nodes that would not become full.
  const double tolerance = std::clamp(full_load - lowest_score, 0.0, load_tolerance);
  std::optional<Selection> best;
  for (const Selection& selection : eligible) {
    const bool is_among_least_loaded = selection.score <= lowest_score + tolerance;
    if (is_among_least_loaded && is_preferred(selection, best.value_or(Selection{})))
      best = selection;
  }
  explainer_.report(best ? best->endpoint : 0);
  return best;
}

}  // namespace lemonroute::decisions
