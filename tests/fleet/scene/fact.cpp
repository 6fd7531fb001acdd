// What `expect` and `hold` may wait for.
#include <set>

#include "scene/steps.h"

namespace lemonroute::rig {
namespace {

const std::set<std::string> standings{"alive", "suspected", "gone", "left"};

void read_sees(const Scene& scene, Line& line, Fact& fact) {
  fact.kind = FactKind::sees;
  while (!line.empty() && line.peek().find('=') != std::string::npos) {
    const std::string word = line.take("what");
    const auto equals = word.find('=');
    const std::string key = word.substr(0, equals), value = word.substr(equals + 1);
    if (standings.count(key) || key == "there" || key == "known")
      line.whole(value, 0, 1000);
    else if (!scene.router(key))
      line.fault("'" + key + "' is neither a standing nor a router");
    else if (!standings.count(value) && value != "none" && value != "unreachable")
      line.fault("'" + value + "' is no standing: alive, suspected, gone, left, none, unreachable");
    fact.wanted[key] = value;
  }
  if (fact.wanted.empty())
    line.fault("what is seen is missing, as in alive=3 or c2=gone");
}

void read_compare(Line& line, Fact& fact, bool number) {
  if (line.skip(">="))
    fact.compare = Compare::at_least;
  else if (line.skip("<="))
    fact.compare = Compare::at_most;
  else if (!line.skip("="))
    line.fault("'=', '>=' or '<=' is missing");
  fact.to = line.take("a value");
  if (number || fact.compare != Compare::equal)
    line.whole(fact.to, 0, 4000000000u);
}

}  // namespace

Fact read_fact(const Scene& scene, Line& line) {
  Fact fact;
  if (line.skip("rules"))
    return fact;
  if (line.skip("answers")) {  // answers served >= 20
    fact.kind = FactKind::answers;
    fact.what = line.take("how");
    if (!std::set<std::string>{"served", "refused", "failed", "cut"}.count(fact.what))
      line.fault("'" + fact.what + "' is none of served, refused, failed, cut");
    read_compare(line, fact, true);
    return fact;
  }
  if (line.skip("reads")) {  // reads OPENING <= 6: the readers that had to read it from its beginning
    fact.kind = FactKind::reads;
    fact.what = line.take("an opening");
    read_compare(line, fact, true);
    return fact;
  }
  if (line.skip("pool")) {  // pool P owner R at NAMES
    fact.kind = FactKind::owner;
    fact.what = line.take("a pool");
    if (!line.skip("owner"))
      line.fault("'owner' is missing");
    fact.to = line.take("a region");
    if (!line.skip("at"))
      line.fault("'at' and routers are missing");
    fact.at = read_names(scene, line, false);
    return fact;
  }
  fact.at = read_names(scene, line, false);
  const std::string verb = line.take("what is expected");
  if (verb == "sees")
    read_sees(scene, line, fact);
  else if (verb == "agree")
    fact.kind = FactKind::agree;
  else if (verb == "minority")
    fact.kind = FactKind::minority;
  else if (verb == "majority")
    fact.kind = FactKind::majority;
  else if (verb == "ready")
    fact.kind = FactKind::ready;
  else if (verb == "ended")
    fact.kind = FactKind::ended;
  else if (verb == "has") {  // c1 has /tiers/keys >= 3
    fact.kind = FactKind::value;
    fact.what = line.take("a JSON pointer");
    if (fact.what[0] != '/')
      line.fault("'" + fact.what + "' is no JSON pointer, as in /members/0/name");
    read_compare(line, fact, false);
  } else
    line.fault("'" + verb + "' can't be expected");
  return fact;
}

}  // namespace lemonroute::rig
