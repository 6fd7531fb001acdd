#include "expect/read/nodes.h"

#include <toml++/toml.h>

#include <algorithm>
#include <set>
#include <string>
#include <utility>

#include "config/operator.h"
#include "expect/read/limits.h"

namespace lemonroute::expect {
namespace {

using std::chrono::hours;
using std::chrono::seconds;

constexpr double decode_capacity = 20000;    // tokens a second of a decode node that states none
constexpr std::int64_t nodes_in_cell = 8;    // of nodes that are written as one with a count
constexpr std::int64_t cells_in_count = 64;  // after which the cells begin anew

class NodeReader {
 public:
  NodeReader(Section& in, const Setup& setup, const Fleets& fleets)
      : in_(in), setup_(setup), fleets_(fleets), zones_(setup.platform.zones) {}

  std::vector<ScriptedNode> read() {
    std::string fleet;
    const bool named = in_.text("fleet", fleet);
    if (!named && !in_.has("nodes")) {
      in_.missing("nodes");
      return {};
    }
    if (named && fleet == "config")
      from_configuration();
    else if (named)
      from_fleet(fleet);
    for (auto& one : in_.list("nodes"))
      from_table(one);
    if (nodes_.size() > most_nodes)
      in_.fault_here("has more than 4096 nodes");
    check_names();
    return std::move(nodes_);
  }

 private:
  void from_configuration() {
    for (const auto& listed : setup_.platform.known.nodes) {
      ScriptedNode node = as_listed(listed);
      node.line = in_.line("fleet");
      fill_in(node);
      nodes_.push_back(node);
    }
    if (nodes_.empty())
      in_.fault("fleet", "the configuration lists no nodes");
  }

  void from_fleet(const std::string& fleet) {
    const auto found = fleets_.find(fleet);
    if (found == fleets_.end())
      return in_.fault("fleet", "'" + fleet + "' is no fleet of this file, nor \"config\"");
    if (!found->second)
      return;
    for (const auto& item : *found->second)
      if (const auto* table = item.as_table()) {
        Section one(*table, in_.file(), "fleets." + fleet, in_.faults());
        from_table(one);
      }
  }

  void from_table(Section& in) {
    const std::size_t before = in_.faults().size();
    std::int64_t count = 1;
    in.whole("count", count, 1, static_cast<std::int64_t>(most_nodes));
    const auto read = config::read_node(in, setup_.platform.kinds, zones_);
    ScriptedNode node = as_listed(read.listed);
    node.line = read.line;
    Micros started{};
    if (in.span("started", started, -farthest, Micros(0)))
      node.started = started;
    in.span("rate", node.rate, Micros(1), seconds(1));
    in.span("first", node.first, Micros(0), hours(1));
    in.span("token", node.token, Micros(0), seconds(60));
    in.whole("slots", node.slots, 0, 1000000);
    in.number("capacity", node.capacity, 1, 1e9);
    in.end();
    if (in_.faults().size() != before)
      return;
    fill_in(node);
    add(node, count);
  }

  void add(const ScriptedNode& node, std::int64_t count) {
    const std::int64_t first_cell = node.cell == unknown_cell ? 0 : node.cell;
    for (std::int64_t i = 1; i <= count; ++i) {
      ScriptedNode one = node;
      if (count > 1) {
        one.name += std::to_string(i);
        one.cell = static_cast<std::uint16_t>(first_cell + (i - 1) / nodes_in_cell % cells_in_count);
      }
      nodes_.push_back(one);
    }
  }

  template <class Listed>
  static ScriptedNode as_listed(const Listed& listed) {
    ScriptedNode node;
    node.name = listed.name;
    node.zone = listed.zone;
    node.kind = listed.kind;
    node.cell = listed.cell;
    node.phase = listed.state;
    node.weight = listed.weight;
    return node;
  }

  // What follows from the settings: its role, and its capacity where it states none.
  void fill_in(ScriptedNode& node) const {
    const auto& kinds = setup_.platform.kinds;
    const auto& roles = setup_.platform.settings.role_by_kind;
    const auto at =
        static_cast<std::size_t>(std::find(kinds.begin(), kinds.end(), node.kind) - kinds.begin());
    node.role = at < roles.size() ? roles[at] : Role::mixed;
    if (node.capacity > 0)
      return;
    const auto rate = static_cast<double>(std::max<Micros::rep>(1, node.rate.count()));
    node.capacity = node.role == Role::decode ? decode_capacity : 1e6 / rate;
  }

  void check_names() {
    std::set<std::string> names;
    for (const auto& one : nodes_)
      if (!names.insert(one.name).second)
        in_.fault_at(one.line, in_.full("nodes"), "'" + one.name + "' is there twice");
  }

  Section& in_;
  const Setup& setup_;
  const Fleets& fleets_;
  std::vector<std::string> zones_;
  std::vector<ScriptedNode> nodes_;
};

}  // namespace

std::vector<ScriptedNode> read_scripted_nodes(Section& table, const Setup& setup, const Fleets& fleets) {
  return NodeReader(table, setup, fleets).read();
}

}  // namespace lemonroute::expect
