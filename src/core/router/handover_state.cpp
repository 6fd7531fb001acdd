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
  const auto avoided = scheduler_.avoided(now);
  auto learned_rates = scheduler_.learned_rates(now);
  handover_state.read_rates = std::move(learned_rates.read_rates);
  const std::map<HostId, double> sent(learned_rates.sent.begin(), learned_rates.sent.end());
  for (const auto& [id, node] : known_) {
    if (!node.ready())
      continue;
    NodeReport one{node.name, {}, {}, std::find(avoided.begin(), avoided.end(), id) != avoided.end()};
    // A report from before the node's start is another process's.
    if (!node.load.empty() && node.load_at > node.entry.started && now - node.load_at <= report_counts) {
      one.load = node.load;
      one.age = now - node.load_at;
    }
    if (const auto found = sent.find(id); found != sent.end())
      one.sent = found->second;
    if (one.avoided || !one.load.empty() || one.sent > 0)
      handover_state.nodes.push_back(std::move(one));
  }
  return handover_state;
}

// It may be a little old, or of a node that is no longer listed as it was. Reports are told to the module
// like the outcome of one probe: what the nodes themselves say next outweighs them.
void Router::take_over(const HandoverState& handover_state) {
  LearnedRates learned_rates{handover_state.read_rates, {}};
  std::size_t reports = 0;
  for (const auto& one : handover_state.nodes) {
    const auto known = ids_.find(one.node);
    if (known == ids_.end())
      continue;
    Node& node = known_[known->second];
    if (!node.ready())
      continue;
    if (one.sent > 0)
      learned_rates.sent.emplace_back(node.id, one.sent);
    const Micros at = clock_.now() - one.age;
    const bool counts =
        one.age >= Micros(0) && one.age <= report_counts && at > std::max(node.entry.started, node.load_at);
    if (!counts || (one.load.empty() && !one.avoided))
      continue;
    if (!one.load.empty()) {
      node.load = one.load;
      node.load_at = at;
    }
    ++reports;
    put(HealthResult{node.id, one.avoided ? Outcome::error : Outcome::ok, Micros(0),
                     parse_load(one.load, settings_.report_columns)});
  }
  scheduler_.take_over(clock_.now(), learned_rates);
  logging::info() << "the other process told of " << handover_state.nodes.size() << " nodes, " << reports
                  << " counted";
}

}  // namespace lemonroute
