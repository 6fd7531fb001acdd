// The Scheduler: hands each event to the decision that it is about. Each file here holds one.
//
// The ordinary path is Mooncake's Algorithm 1: the prefill node with the lowest estimated wait + prefill of
// what is not cached; then a near, least loaded decode node; early refusal when waiting would miss the aim or
// every decode node looks full. All else departs from it for a danger that it names.
#include "lemonroute/scheduler.h"

#include "attempts.h"
#include "node_list.h"

namespace lemonroute {

struct Scheduler::Core : decisions::State {};

// The seed is unused: nothing is decided by chance.
Scheduler::Scheduler(Settings settings, std::uint64_t) : core_(std::make_unique<Core>()) {
  retune(std::move(settings));
}
Scheduler::~Scheduler() = default;
Scheduler::Scheduler(Scheduler&&) noexcept = default;
Scheduler& Scheduler::operator=(Scheduler&&) noexcept = default;

void Scheduler::explain(std::function<void(const Choice&)> to) { core_->told_to = std::move(to); }
void Scheduler::retune(Settings settings) { core_->take(std::move(settings)); }

LearnedRates Scheduler::learned_rates(Micros now) const {
  LearnedRates all;
  for (const auto& [role, rate] : core_->usual_rate) all.read_rates.emplace_back(role, rate.value());
  for (const auto& [id, node] : core_->nodes)
    if (node.listed() && node.work_rate.known())
      all.sent.emplace_back(id, node.work_rate.value(now, core_->fade));
  return all;
}
// Danger: a process that takes over in a jam takes its first prefills' waits for their rate, and refuses all.
void Scheduler::take_over(Micros now, const LearnedRates& learned_rates) {
  for (const auto& [role, rate] : learned_rates.read_rates) {
    if (!std::isfinite(rate) || rate <= 0 || !core_->usual_rate[role].few()) continue;
    core_->usual_rate[role].assume(rate);
    core_->any_rate.add(rate, now, 1);
  }
  for (const auto& [id, rate] : learned_rates.sent) {
    auto* const node = lookup(core_->nodes, id);
    if (node && std::isfinite(rate) && rate > 0 && node->sent.empty()) node->work_rate.assume(rate, now);
  }
}

std::vector<HostId> Scheduler::avoided(Micros now) const {
  std::vector<HostId> ids;
  core_->now = std::max(core_->now, now);
  core_->surveyed = false;
  survey(*core_);
  for (const auto& [id, node] : core_->nodes)
    if (node.listed() && ejected(*core_, node)) ids.push_back(id);
  return ids;
}

void Scheduler::handle(Micros now, const Event& event, std::vector<Action>& actions) {
  core_->now = std::max(core_->now, now);
  if (core_->since == Micros(0)) core_->since = core_->now;
  core_->actions = &actions;
  core_->surveyed = false;
  std::visit([&](const auto& e) { on(*core_, e); }, event);
}

}  // namespace lemonroute
