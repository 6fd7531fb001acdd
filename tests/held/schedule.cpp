#include "held/schedule.h"

#include <sstream>

#include "core/random_source.h"

namespace lemonroute::held_state {
namespace {

using namespace std::chrono_literals;

constexpr Micros schedule_length = 5s;
constexpr std::size_t fault_kinds = 13;

const char* kind_name(StepKind kind) {
  static constexpr const char* names[] = {
      "request", "cut_both", "cut_to_node", "cut_from_node", "cut_role",  "delay", "hang",
      "vanish",  "restart",  "reset",       "slow_connect",  "late_list", "drain", "stop_router"};
  return names[static_cast<std::size_t>(kind)];
}

Step random_request(property::RandomSource& random, const Schedule& schedule) {
  Step step{.kind = StepKind::request, .start = random.up_to(schedule_length)};
  step.router_index = random.below(schedule.routers);
  step.class_index = random.below(schedule.settings.classes.size());
  step.prompt_tokens = static_cast<double>(50 + random.below(1500));
  step.time_budget = random.one_in(3) ? 100ms + random.up_to(4s) : Micros(0);
  step.duration = random.one_in(4) ? random.up_to(2s) : Micros::max();
  return step;
}

Step random_fault(property::RandomSource& random, const Schedule& schedule, Micros start) {
  Step step{.kind = static_cast<StepKind>(1 + random.below(fault_kinds)),
            .start = start,
            .duration = 50ms + random.up_to(3s)};
  step.router_index = random.below(schedule.routers);
  const std::size_t nodes_with_faults =
      schedule.prefill_nodes + schedule.decode_nodes - 2 * fault_free_nodes_per_role;
  step.node_index = random.below(nodes_with_faults);
  return step;
}

}  // namespace

std::string Step::text() const {
  std::ostringstream out;
  out << start.count() / 1000 << " ms: " << kind_name(kind);
  if (kind == StepKind::request)
    out << " at router " << router_index << ", class " << class_index << ", " << prompt_tokens
        << " tokens, budget " << time_budget.count() / 1000 << " ms";
  else
    out << " node " << node_index << " router " << router_index;
  if (duration < Micros::max())
    out << (kind == StepKind::request ? ", its client goes after " : " for ") << duration.count() / 1000
        << " ms";
  return out.str();
}

// Places faults in groups of two to five, so that they overlap.
Schedule random_schedule(std::uint64_t seed) {
  property::RandomSource random(seed * 2654435761u + 17);
  Schedule schedule{.seed = seed, .settings = random.settings(), .steps = {}};
  schedule.settings.reservation_release_timeout = random.pick<Micros>({300ms, 500ms, 500ms, 1s, 2s});
  schedule.prefill_nodes = 2 + random.below(4);
  schedule.decode_nodes = 2 + random.below(4);
  schedule.routers = 1 + random.below(5);
  for (auto count = 3 + random.below(20); count > 0; --count)
    schedule.steps.push_back(random_request(random, schedule));
  for (auto groups = 1 + random.below(3); groups > 0; --groups) {
    const Micros start = random.up_to(schedule_length);
    for (auto count = 2 + random.below(4); count > 0; --count)
      schedule.steps.push_back(random_fault(random, schedule, start + random.up_to(300ms)));
  }
  for (std::size_t i = 0; i < schedule.steps.size(); ++i)
    schedule.steps[i].index = i;
  return schedule;
}

}  // namespace lemonroute::held_state
