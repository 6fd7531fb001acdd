#include "module/selection.h"

#include "estimation/hash.h"
#include "module/decode_load_estimator.h"

namespace lemonroute::decisions {

double uncertainty_penalty(const RequestState& request, const Node& node, double confidence) {
  const double draw = estimation::hash_to_unit_interval(
      estimation::hash64(request.request.id ^ estimation::hash64(node.id())));
  return (1 - confidence) * load_tolerance * draw;
}

}  // namespace lemonroute::decisions
