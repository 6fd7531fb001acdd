/// \file
/// One endpoint that may be selected for an attempt, with the estimates that its score follows from. It has
/// no state beyond its own values.
#pragma once

#include "lemonroute/types.h"
#include "module/node.h"
#include "module/request_state.h"

namespace lemonroute::decisions {

/// An endpoint with its score.
struct Selection {
  /// A score that no real endpoint has.
  static constexpr double worst_score = 1e18;

  EndpointId endpoint = 0;     ///< 0: none yet
  double queue_wait = 0;       ///< microseconds before the prefill
  double prefill_time = 0;     ///< microseconds
  double score = worst_score;  ///< the lowest wins; see Candidate::score
  double recorded_match = 0;   ///< prompt tokens cached there, as recorded
  double assumed_match = 0;    ///< prompt tokens cached there, recorded or assumed by cache affinity
  int proximity = 0;           ///< to the node that holds the KV cache: 1 in its zone, 2 in its cell
};

/// Returns a penalty that differs by request and node, from 0 to the tolerance of loads, and that is smaller
/// the more is known of the node. Routers that know equally little would otherwise all choose the same node
/// at once. `confidence` says how much recent evidence there is on the node, 0 to 1.
[[nodiscard]] double uncertainty_penalty(const RequestState& request, const Node& node, double confidence);

}  // namespace lemonroute::decisions
