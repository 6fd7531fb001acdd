// The Scheduler: hands each event to the decision that it is about. Each file here holds one.
//
// The ordinary path is Mooncake's Algorithm 1: the prefill node with the lowest estimated wait + prefill of
// what is not cached; then a near, least loaded decode node; early refusal when waiting would miss the aim or
// every decode node looks full. All else departs from it for a danger that it names.
#include "lemonroute/scheduler.h"

#include "attempts.h"
#include "node_list.h"

namespace lemonroute {

struct Scheduler::Core : decisions::SchedulerState {};

// The seed is unused: nothing is decided by chance.
Scheduler::Scheduler(Settings settings, std::uint64_t) : core_(std::make_unique<Core>()) {
  update_settings(std::move(settings));
}
Scheduler::~Scheduler() = default;
Scheduler::Scheduler(Scheduler&&) noexcept = default;
Scheduler& Scheduler::operator=(Scheduler&&) noexcept = default;

void Scheduler::set_choice_observer(std::function<void(const Choice&)> to) { core_->choice_observer = std::move(to); }
void Scheduler::update_settings(Settings settings) { core_->apply_settings(std::move(settings)); }

LearnedRates Scheduler::learned_rates(Micros now) const {
  LearnedRates all;
  for (const auto& [role, rate] : core_->prefill_rate_by_role) all.prefill_rates.emplace_back(role, rate.value());
  for (const auto& [id, node] : core_->nodes)
    if (node.is_ready() && node.work_rate.known())
      all.work_rates.emplace_back(id, node.work_rate.value(now, core_->memory_duration));
  return all;
}
// Danger: a process that takes over in a jam takes its first prefills' waits for their rate, and refuses all.
void Scheduler::adopt_learned_rates(Micros now, const LearnedRates& learned_rates) {
  for (const auto& [role, rate] : learned_rates.prefill_rates) {
    if (!std::isfinite(rate) || rate <= 0 || !core_->prefill_rate_by_role[role].has_few_samples()) continue;
    core_->prefill_rate_by_role[role].assume(rate);
    core_->last_prefill_rate.add(rate, now, 1);
  }
  for (const auto& [id, rate] : learned_rates.work_rates) {
    auto* const node = lookup(core_->nodes, id);
    if (node && std::isfinite(rate) && rate > 0 && node->sent_work.empty()) node->work_rate.assume(rate, now);
  }
}

std::vector<EndpointId> Scheduler::ejected_endpoints(Micros now) const {
  std::vector<EndpointId> ids;
  core_->now = std::max(core_->now, now);
  core_->pool_statistics_current = false;
  refresh_pool_statistics(*core_);
  for (const auto& [id, node] : core_->nodes)
    if (node.is_ready() && is_ejected(*core_, node)) ids.push_back(id);
  return ids;
}

void Scheduler::handle(Micros now, const Event& event, std::vector<Action>& actions) {
  core_->now = std::max(core_->now, now);
  if (core_->first_event_at == Micros(0)) core_->first_event_at = core_->now;
  core_->actions = &actions;
  core_->pool_statistics_current = false;
  std::visit([&](const auto& e) { decisions::handle(*core_, e); }, event);
}

}  // namespace lemonroute
