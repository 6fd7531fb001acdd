// What a process tells its successor of the nodes, and what the successor makes of it.
#include <algorithm>

#include "base/log.h"
#include "core/load_report.h"
#include "core/router.h"

namespace lemonroute {
namespace {

// Loads change with the streams that begin and end; one told of later says less than knowing nothing.
constexpr Micros report_counts = std::chrono::seconds(3);

}  // namespace

HandoverState Router::handover_state() const {
  HandoverState handover_state;
  const Micros now = clock_.now();
  const auto avoided = scheduler_.ejected_endpoints(now);
  auto learned_rates = scheduler_.learned_rates(now);
  handover_state.prefill_rates = std::move(learned_rates.prefill_rates);
  const std::map<EndpointId, double> sent(learned_rates.work_rates.begin(), learned_rates.work_rates.end());
  for (const auto& [id, node] : known_nodes_) {
    if (!node.ready())
      continue;
    NodeReport one{node.name, {}, {}, std::find(avoided.begin(), avoided.end(), id) != avoided.end()};
    // A report from before the node's start is another process's.
    if (!node.load_report.empty() && node.load_reported_at > node.endpoint.started_at &&
        now - node.load_reported_at <= report_counts) {
      one.load_report = node.load_report;
      one.age = now - node.load_reported_at;
    }
    if (const auto found = sent.find(id); found != sent.end())
      one.work_rate = found->second;
    if (one.ejected || !one.load_report.empty() || one.work_rate > 0)
      handover_state.nodes.push_back(std::move(one));
  }
  return handover_state;
}

// It may be a little old, or of a node that is no longer listed as it was. Reports are told to the module
// like the outcome of one probe: what the nodes themselves say next outweighs them.
void Router::apply_handover_state(const HandoverState& handover_state) {
  LearnedRates learned_rates{handover_state.prefill_rates, {}};
  std::size_t reports = 0;
  for (const auto& one : handover_state.nodes) {
    const auto known = endpoint_ids_.find(one.node);
    if (known == endpoint_ids_.end())
      continue;
    Node& node = known_nodes_[known->second];
    if (!node.ready())
      continue;
    if (one.work_rate > 0)
      learned_rates.work_rates.emplace_back(node.id, one.work_rate);
    const Micros at = clock_.now() - one.age;
    const bool counts = one.age >= Micros(0) && one.age <= report_counts &&
                        at > std::max(node.endpoint.started_at, node.load_reported_at);
    if (!counts || (one.load_report.empty() && !one.ejected))
      continue;
    if (!one.load_report.empty()) {
      node.load_report = one.load_report;
      node.load_reported_at = at;
    }
    ++reports;
    enqueue(HealthResult{node.id, one.ejected ? Outcome::error : Outcome::ok, Micros(0),
                         parse_load(one.load_report, settings_.report_columns)});
  }
  scheduler_.adopt_learned_rates(clock_.now(), learned_rates);
  logging::info() << "the other process told of " << handover_state.nodes.size() << " nodes, " << reports
                  << " counted";
}

}  // namespace lemonroute
