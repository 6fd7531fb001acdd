#include "held/schedule.h"

#include <sstream>

#include "core/drawn.h"

namespace lemonroute::held {
namespace {

using namespace std::chrono_literals;

constexpr Micros length = 5s;
constexpr std::size_t fault_kinds = 13;

const char* word(StepKind kind) {
  static constexpr const char* words[] = {
      "request", "cut_both", "cut_to_node", "cut_from_node", "cut_role",  "delay", "hang",
      "vanish",  "restart",  "reset",       "slow_connect",  "late_list", "drain", "stop_router"};
  return words[static_cast<std::size_t>(kind)];
}

Step draw_request(property::Drawn& draw, const Schedule& schedule) {
  Step step{.kind = StepKind::request, .at = draw.up_to(length)};
  step.router = draw.below(schedule.routers);
  step.kind_of_request = draw.below(schedule.settings.classes.size());
  step.tokens = static_cast<double>(50 + draw.below(1500));
  step.budget = draw.one_in(3) ? 100ms + draw.up_to(4s) : Micros(0);
  step.span = draw.one_in(4) ? draw.up_to(2s) : Micros::max();
  return step;
}

Step draw_fault(property::Drawn& draw, const Schedule& schedule, Micros at) {
  Step step{
      .kind = static_cast<StepKind>(1 + draw.below(fault_kinds)), .at = at, .span = 50ms + draw.up_to(3s)};
  step.router = draw.below(schedule.routers);
  const std::size_t in_reach = schedule.prefill_nodes + schedule.decode_nodes - 2 * spared;
  step.node = draw.below(in_reach);
  return step;
}

}  // namespace

std::string Step::text() const {
  std::ostringstream out;
  out << at.count() / 1000 << " ms: " << word(kind);
  if (kind == StepKind::request)
    out << " at router " << router << ", class " << kind_of_request << ", " << tokens << " tokens, budget "
        << budget.count() / 1000 << " ms";
  else
    out << " node " << node << " router " << router;
  if (span < Micros::max())
    out << (kind == StepKind::request ? ", its client goes after " : " for ") << span.count() / 1000 << " ms";
  return out.str();
}

// Faults come in groups of two to five that overlap.
Schedule draw_schedule(std::uint64_t seed) {
  property::Drawn draw(seed * 2654435761u + 17);
  Schedule schedule{.seed = seed, .settings = draw.settings(), .steps = {}};
  schedule.settings.reservation_release_timeout = draw.any<Micros>({300ms, 500ms, 500ms, 1s, 2s});
  schedule.prefill_nodes = 2 + draw.below(4);
  schedule.decode_nodes = 2 + draw.below(4);
  schedule.routers = 1 + draw.below(5);
  for (auto n = 3 + draw.below(20); n > 0; --n)
    schedule.steps.push_back(draw_request(draw, schedule));
  for (auto groups = 1 + draw.below(3); groups > 0; --groups) {
    const Micros at = draw.up_to(length);
    for (auto n = 2 + draw.below(4); n > 0; --n)
      schedule.steps.push_back(draw_fault(draw, schedule, at + draw.up_to(300ms)));
  }
  for (std::size_t i = 0; i < schedule.steps.size(); ++i)
    schedule.steps[i].number = i;
  return schedule;
}

}  // namespace lemonroute::held
