#include "module/endpoint_filter.h"

namespace lemonroute::decisions {

namespace {

bool in_same_zone(const Node& first_node, const Node& node) {
  return first_node.zone() != unknown_zone && first_node.zone() == node.zone();
}

bool in_same_cell(const Node& first_node, const Node& node) {
  return first_node.cell() != unknown_cell && first_node.cell() == node.cell();
}

}  // namespace

bool EndpointFilter::may_repeat_at(const Node& node, const RequestState& request) const {
  if (!request.first_executed_attempt)
    return true;
  const ClassSettings& terms = *request.class_settings;
  if (terms.idempotency == Idempotency::idempotent)
    return true;
  if (terms.idempotency == Idempotency::not_idempotent)
    return false;
  const Attempt& first = request.attempts[*request.first_executed_attempt];
  if (context_.now() - first.sent_at >= terms.retry_window)
    return false;
  if (terms.retry_scope == RetryScope::all)
    return true;
  const Node* const first_node = nodes_.find(first.endpoint);
  if (!first_node)  // its zone and cell are unknown after its removal
    return false;
  if (node.id() == first_node->id())
    return true;
  return terms.retry_scope == RetryScope::zone ? in_same_zone(*first_node, node)
                                               : in_same_cell(*first_node, node);
}

// The texts appear in explanations. Operators and expectation files match them.
const char* EndpointFilter::exclusion_reason(const Node& node, const RequestState& request, Role stage,
                                             EndpointId excluded) const {
  if (!node.is_ready())
    return "not ready in the list";
  if (estimators_.outliers.is_ejected(node))
    return "set aside, attempts fail there";
  const Role other_role = stage == Role::prefill ? Role::decode : Role::prefill;
  if (node.role() == other_role)
    return "of the other role";
  if (node.id() == excluded)
    return "the attempt before was there";
  const bool streams_answer = stage == Role::decode || node.role() == Role::mixed;
  if (streams_answer && !may_repeat_at(node, request))
    return "may not do what may have run";
  // AttemptStarter checks the same condition. If a node passed here and failed there, the request would be
  // rejected although another node might serve it.
  if (!estimators_.slow_start.admits(node, estimators_.workload.estimated_work(request)))
    return "cold, its part is used up";
  return nullptr;
}

std::vector<Selection> EndpointFilter::eligible_endpoints(const RequestState& request, Role stage,
                                                          EndpointId excluded,
                                                          const ScoreFunction& score) const {
  std::vector<Selection> eligible;
  explainer_.begin(request, stage, excluded);
  for (const auto& [id, node] : nodes_.all()) {
    Selection selection{.endpoint = id};
    const char* reason = exclusion_reason(node, request, stage, excluded);
    if (!reason)
      reason = score(node, selection);
    if (!reason)
      eligible.push_back(selection);
    explainer_.add(node, request, selection, reason);
  }
  return eligible;
}

}  // namespace lemonroute::decisions
