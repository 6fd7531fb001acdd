#include "module/request_table.h"

#include "module/find_or_null.h"

namespace lemonroute::decisions {

RequestState& RequestTable::open(const Request& request) {
  RequestState& state = requests_[request.id];
  state = RequestState{.request = request};
  return state;
}

RequestState* RequestTable::find(RequestId id) {
  return find_or_null(requests_, id);
}

AttemptRef RequestTable::add_attempt(RequestState& request, Node& node, const Attempt& attempt) {
  request.attempts.push_back(attempt);
  const AttemptRef ref{request.request.id, static_cast<std::uint16_t>(request.attempts.size() - 1)};
  node.outstanding_.push_back(ref);
  return ref;
}

void RequestTable::remove_outstanding(Node& node, const AttemptRef& ref) {
  std::erase_if(node.outstanding_, [&](const AttemptRef& other) {
    return other.request == ref.request && other.attempt == ref.attempt;
  });
}

void RequestTable::erase_if_finished(RequestId id) {
  const RequestState* const request = find(id);
  if (!request || !request->ended || request->outstanding_attempts() != 0 || request->has_reservation)
    return;
  requests_.erase(id);
}

std::uint32_t RequestTable::register_timer(const AttemptRef& ref) {
  const std::uint32_t timer_id = next_timer_id_++;
  if (next_timer_id_ == 0)
    next_timer_id_ = 1;
  timers_[timer_id] = ref;
  return timer_id;
}

std::optional<AttemptRef> RequestTable::take_timer(std::uint32_t timer_id) {
  const auto timer = timers_.extract(timer_id);
  if (!timer)
    return std::nullopt;
  return timer.mapped();
}

}  // namespace lemonroute::decisions
