// What an agent tells operators of itself and of the others.
#include <nlohmann/json.hpp>

#include "peers/agent_parts.h"

namespace lemonroute::peers {
namespace {

using nlohmann::json;

const char* word(Standing standing) {
  switch (standing) {
    case Standing::alive:
      return "alive";
    case Standing::suspected:
      return "suspected";
    case Standing::gone:
      return "gone";
    case Standing::left:
      return "left";
  }
  return "";
}

std::int64_t ms_since(Micros now, Micros then) {
  return (now - then).count() / 1000;
}

json counters_of(const membership::Counters& it) {
  return {{"received", it.received},
          {"sent", it.sent},
          {"sent_bytes", it.sent_bytes},
          {"unreadable", it.unreadable},
          {"unknown_version", it.unknown_version},
          {"bad_field", it.bad_field},
          {"facts_left_out", it.facts_left_out},
          {"implausible", it.implausible},
          {"probes", it.probes},
          {"indirect", it.indirect},
          {"probes_failed", it.probes_failed},
          {"overslept", it.overslept},
          {"suspected", it.suspected},
          {"refuted", it.refuted},
          {"gone", it.gone},
          {"returned", it.returned},
          {"syncs", it.syncs},
          {"syncs_refused", it.syncs_refused},
          {"members_refused", it.members_refused},
          {"from_the_gone", it.from_the_gone},
          {"names_twice", it.names_twice},
          {"superseded", it.superseded},
          {"reclaimed", it.reclaimed},
          {"parcels", it.payloads},
          {"payloads_dropped", it.payloads_dropped}};
}

json described(const Member& member, Micros now) {
  json one{{"name", member.name},
           {"site", member.site},
           {"address", member.address},
           {"start", member.start},
           {"incarnation", member.incarnation},
           {"standing", word(member.standing)},
           {"since_ms", ms_since(now, member.since)},
           {"by", member.by},
           {"unreachable_from_here", member.unreachable_from_here}};
  one["heard_ms"] = member.heard ? json(ms_since(now, *member.heard)) : json(nullptr);
  return one;
}

}  // namespace

json Agent::Parts::describe(Micros at) const {
  const View& view = members.view(at);
  json out{{"me", view.me},
           {"version", view.version},
           {"period_ms", view.period.count() / 1000},
           {"known", view.known},
           {"there", view.there()},
           {"local_health", members.health()},
           {"superseded", members.superseded()},
           {"counters", counters_of(members.counters())}};
  out["minority_ms"] = view.minority_since ? json(ms_since(at, *view.minority_since)) : json(nullptr);
  json& list = out["members"] = json::array();
  for (const Member& member : view.members)
    list.push_back(described(member, at));
  for (const Extension* extension : extensions)
    out[extension->topic() == Topic::pools ? "pools" : "tiers"] = extension->describe(at);
  return out;
}

}  // namespace lemonroute::peers
