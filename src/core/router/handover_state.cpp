// ProcessHandover: the information about nodes that a process passes to its successor.
#include <algorithm>
#include <map>
#include <string>
#include <utility>

#include "base/log.h"
#include "core/load_report.h"
#include "core/router/process_handover.h"

namespace lemonroute {

namespace {

// Loads change as streams start and end, so an older report is worse than none.
constexpr Micros max_report_age = std::chrono::seconds(3);

}  // namespace

NodeHandoverState ProcessHandover::node_handover_state(const Node& node) const {
  NodeHandoverState report;
  report.node = node.name;
  // A report from before the node's start came from an earlier process of the node.
  const Micros age = context_.now() - node.load_reported_at;
  const bool of_this_process = node.load_reported_at > node.endpoint.started_at;
  if (!node.load_report.empty() && of_this_process && age <= max_report_age) {
    report.load_report = node.load_report;
    report.age = age;
  }
  return report;
}

HandoverState ProcessHandover::handover_state() const {
  HandoverState handover_state;
  const Micros now = context_.now();
  const std::vector<EndpointId> ejected = scheduler_.ejected_endpoints(now);
  LearnedRates learned_rates = scheduler_.learned_rates(now);
  handover_state.prefill_times_per_token = std::move(learned_rates.prefill_times_per_token);
  const std::map<EndpointId, double> work_rates(learned_rates.work_rates.begin(),
                                                learned_rates.work_rates.end());
  for (const auto& [id, node] : nodes_.all()) {
    if (!node.ready())
      continue;
    NodeHandoverState report = node_handover_state(node);
    report.ejected = std::find(ejected.begin(), ejected.end(), id) != ejected.end();
    if (const auto work_rate = work_rates.find(id); work_rate != work_rates.end())
      report.work_rate = work_rate->second;
    if (report.ejected || !report.load_report.empty() || report.work_rate > 0)
      handover_state.nodes.push_back(std::move(report));
  }
  return handover_state;
}

bool ProcessHandover::is_current(const NodeHandoverState& report, const Node& node, Micros reported_at) {
  const bool fresh = report.age >= Micros(0) && report.age <= max_report_age;
  const bool newest = reported_at > std::max(node.endpoint.started_at, node.load_reported_at);
  const bool has_content = report.ejected || !report.load_report.empty();
  return fresh && newest && has_content;
}

// Each report is passed to the Scheduler as the result of one health check, so that the next results of the
// node itself outweigh it.
void ProcessHandover::apply_handover_state(const HandoverState& handover_state) {
  LearnedRates learned_rates{handover_state.prefill_times_per_token, {}};
  std::size_t applied = 0;
  for (const NodeHandoverState& report : handover_state.nodes) {
    const Node* node = nodes_.find(report.node);
    if (!node || !node->ready())
      continue;
    const EndpointId id = node->id;
    if (report.work_rate > 0)
      learned_rates.work_rates.emplace_back(id, report.work_rate);
    const Micros reported_at = context_.now() - report.age;
    if (!is_current(report, *node, reported_at))
      continue;
    if (!report.load_report.empty())
      nodes_.record_load_report(id, report.load_report, reported_at);
    ++applied;
    events_.enqueue(HealthResult{id, report.ejected ? Outcome::error : Outcome::ok, Micros(0),
                                 parse_load_report(report.load_report, context_.settings.report_columns)});
  }
  scheduler_.adopt_learned_rates(context_.now(), learned_rates);
  logging::info() << "handover state applied: nodes=" << handover_state.nodes.size()
                  << " reports=" << applied;
}

}  // namespace lemonroute
