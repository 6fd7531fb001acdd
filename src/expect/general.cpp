#include "expect/general.h"

#include "expect/vary/values.h"

namespace lemonroute::expect {
namespace {

constexpr std::int64_t most_rows = 1000000;

// Guards memory and time: beyond it a general expectation is refused when it is read.
double product(const General& general) {
  double all = 1;
  for (const auto& variable : general.variables)
    all *= static_cast<double>(variable.values.size());
  return all;
}

}  // namespace

void note_lines(toml::table& table) {
  if (const auto line = table.source().begin.line)
    table.insert_or_assign(Section::line_note, static_cast<std::int64_t>(line));
  const auto into = [](toml::node& node, const auto& self) -> void {
    if (auto* inner = node.as_table())
      note_lines(*inner);
    if (auto* array = node.as_array())
      for (auto& item : *array)
        self(item, self);
  };
  for (auto&& [key, node] : table)
    into(node, into);
}

General read_general(Section table, const Setup& setup, const Fleets& fleets) {
  General general;
  general.file = table.file();
  general.line = table.line();
  if (!table.text("name", general.name) && !table.has("name"))
    table.missing("name");
  table.choice("strategy", general.strategy,
               {{"pairwise", Strategy::pairwise}, {"all", Strategy::all}, {"random", Strategy::random}});
  table.whole("seed", general.seed, 0, 1000000000);
  table.whole("extra", general.extra, 0, most_rows);
  table.whole("most", general.most, 1, most_rows);
  general.body = table.toml();
  for (const char* key : {"over", "strategy", "seed", "extra", "most"})
    general.body.erase(key);
  const std::size_t before = table.faults().size();
  const auto nodes = read_nodes(table, setup, fleets);
  if (table.faults().size() != before)
    return general;
  auto over = table.table("over");
  if (!over) {
    if (!table.has("over"))
      table.missing("over");
    return general;
  }
  for (const auto& [key, node] : over->toml())
    if (key.str() != Section::line_note)
      read_variable(std::string(key.str()), node, *over, nodes, general);
  if (general.variables.empty() && table.faults().size() == before)
    table.fault("over", "names no variable");
  if (general.strategy == Strategy::all && product(general) > static_cast<double>(general.most))
    table.fault("strategy", "all makes " + plain(product(general)) + " combinations, and most is " +
                                std::to_string(general.most));
  if (general.strategy == Strategy::random && general.extra == 0)
    table.fault("extra", "says how many random combinations to play; it is missing");
  return general;
}

}  // namespace lemonroute::expect
