/// \file
/// Implements the public interface of the decision module with the parts of SchedulerCore.
///
/// Requests follow Mooncake's Algorithm 1: first the prefill node with the lowest sum of estimated wait and
/// prefill time of the uncached tokens, then the nearest of the least loaded decode nodes. A request is
/// rejected early if its wait would miss the latency objective or if all decode nodes are full. Where the
/// code departs from the algorithm, comments state what would go wrong otherwise.
#include "lemonroute/scheduler.h"

#include <utility>

#include "module/scheduler_core.h"

namespace lemonroute {

struct Scheduler::Core : decisions::SchedulerCore {};

Scheduler::Scheduler(Settings settings, std::uint64_t /*seed*/) : core_(std::make_unique<Core>()) {
  update_settings(std::move(settings));
}
Scheduler::~Scheduler() = default;
Scheduler::Scheduler(Scheduler&&) noexcept = default;
Scheduler& Scheduler::operator=(Scheduler&&) noexcept = default;

void Scheduler::set_choice_observer(std::function<void(const Choice&)> observer) {
  core_->context.set_choice_observer(std::move(observer));
}

void Scheduler::update_settings(Settings settings) {
  core_->context.update_settings(std::move(settings));
  core_->quota.update_tenants();
  core_->estimators.workload.forget_removed_classes();
  core_->nodes.apply_machine_kinds();
}

LearnedRates Scheduler::learned_rates(Micros now) const {
  return {.prefill_times_per_token = core_->estimators.prefill_times.usual_times_per_token(),
          .work_rates = core_->estimators.slow_start.work_rates(now)};
}

// A process that takes over under load would measure its first prefills together with their waits,
// overestimate the time per token and shed all requests. It adopts the rates of its predecessor instead.
void Scheduler::adopt_learned_rates(Micros now, const LearnedRates& learned_rates) {
  core_->estimators.prefill_times.adopt_usual_times_per_token(now, learned_rates.prefill_times_per_token);
  for (const auto& [endpoint, rate] : learned_rates.work_rates)
    if (decisions::Node* const node = core_->nodes.find(endpoint))
      core_->estimators.slow_start.adopt_work_rate(*node, rate, now);
}

std::vector<EndpointId> Scheduler::ejected_endpoints(Micros now) const {
  core_->context.advance_clock(now);
  core_->pools.invalidate();
  core_->pools.refresh();
  std::vector<EndpointId> endpoints;
  for (const auto& [id, node] : core_->nodes.all())
    if (node.is_ready() && core_->estimators.outliers.is_ejected(node))
      endpoints.push_back(id);
  return endpoints;
}

void Scheduler::handle(Micros now, const Event& event, std::vector<Action>& actions) {
  core_->handle(now, event, actions);
}

}  // namespace lemonroute
