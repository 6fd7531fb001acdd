// What a process tells its successor of the nodes, and what the successor makes of it.
#include <algorithm>

#include "base/log.h"
#include "core/conductor.h"
#include "core/load_report.h"

namespace lemonroute {
namespace {

// Loads change with the streams that begin and end; one told of later says less than knowing nothing.
constexpr Micros report_counts = std::chrono::seconds(3);

}  // namespace

std::vector<Heard> Conductor::heard() const {
  std::vector<Heard> all;
  const Micros now = clock_.now();
  const auto avoided = scheduler_.avoided(now);
  for (const auto& [id, node] : known_) {
    if (!node.ready()) continue;
    Heard one{node.name, {}, {}, std::find(avoided.begin(), avoided.end(), id) != avoided.end()};
    // A report from before the node's start is another process's.
    if (!node.load.empty() && node.load_at > node.entry.started && now - node.load_at <= report_counts) {
      one.load = node.load;
      one.age = now - node.load_at;
    }
    if (one.avoided || !one.load.empty()) all.push_back(std::move(one));
  }
  return all;
}

// It may be a little old, or of a node that is no longer listed as it was, and is only told to the module like the
// outcome of one probe: what the nodes themselves say next outweighs it.
void Conductor::believe(const std::vector<Heard>& heard) {
  std::size_t taken = 0;
  for (const auto& one : heard) {
    const auto known = ids_.find(one.node);
    if (known == ids_.end() || one.age < Micros(0) || one.age > report_counts) continue;
    Node& node = known_[known->second];
    const Micros at = clock_.now() - one.age;
    if (!node.ready() || at <= std::max(node.entry.started, node.load_at)) continue;
    if (!one.load.empty()) {
      node.load = one.load;
      node.load_at = at;
    }
    ++taken;
    put(HealthResult{node.id, one.avoided ? Outcome::error : Outcome::ok, Micros(0),
                     parse_load(one.load, settings_.report_columns)});
  }
  logging::info() << "the other process told of " << taken << " nodes";
}

}  // namespace lemonroute
