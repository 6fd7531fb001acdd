/// \file
/// An endpoint that may be selected for an attempt, with its score and the estimates behind the score.
#pragma once

#include "lemonroute/types.h"
#include "module/node.h"
#include "module/request_state.h"

namespace lemonroute::decisions {

/// An eligible endpoint with its score.
struct Selection {
  /// Higher than the score of any endpoint.
  static constexpr double worst_score = 1e18;

  EndpointId endpoint = 0;            ///< 0: none yet
  double queue_wait = 0;              ///< estimated microseconds before the prefill
  double prefill_time = 0;            ///< microseconds
  double score = worst_score;         ///< lower is better; see Candidate::score
  double recorded_cached_tokens = 0;  ///< prompt tokens cached there according to the records
  double assumed_cached_tokens = 0;   ///< prompt tokens cached there, recorded or assumed by cache affinity
  int proximity = 0;                  ///< to the node that holds the KV cache: 1 in its zone, 2 in its cell
};

/// Returns a pseudorandom penalty by request and node, from 0 to load_tolerance, which decreases with
/// `confidence`. Without it, routers with equally little evidence would all choose the same node at once.
/// `confidence` states how much recent evidence on the node there is, 0 to 1.
[[nodiscard]] double uncertainty_penalty(const RequestState& request, const Node& node, double confidence);

}  // namespace lemonroute::decisions
