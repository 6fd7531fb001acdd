#include "expect/case.h"

#include "expect/read/expectations.h"
#include "expect/read/limits.h"
#include "expect/read/nodes.h"
#include "expect/read/steps.h"

namespace lemonroute::expect {

const char* word(Answer answer) {
  switch (answer) {
    case Answer::served:
      return "served";
    case Answer::refused:
      return "refused";
    case Answer::failed:
      return "failed";
    case Answer::cut:
      return "cut";
    case Answer::none:
      return "none";
  }
  return "?";
}

Case read_case(Section table, const Setup& setup, const Fleets& fleets) {
  Case made;
  made.file = table.file();
  made.line = table.line();
  if (!table.text("name", made.name) && !table.has("name"))
    table.missing("name");
  table.whole("seeds", made.seeds, 1, most_seeds);
  table.flag("watched", made.watched);
  made.nodes = read_scripted_nodes(table, setup, fleets);
  const auto asked = read_steps(table, setup, made);
  read_expectations(table, setup, asked, made);
  table.end();
  return made;
}

std::vector<ScriptedNode> read_nodes(Section table, const Setup& setup, const Fleets& fleets) {
  return read_scripted_nodes(table, setup, fleets);
}

}  // namespace lemonroute::expect
