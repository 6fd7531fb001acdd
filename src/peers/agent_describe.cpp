// The JSON description of an agent for operators.
#include <nlohmann/json.hpp>

#include "peers/agent_impl.h"

namespace lemonroute::peers {
namespace {

using nlohmann::json;

const char* name_of(Standing standing) {
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

json counters_json(const membership::Counters& counters) {
  return {{"received", counters.received},
          {"sent", counters.sent},
          {"sent_bytes", counters.sent_bytes},
          {"unreadable", counters.unreadable},
          {"unknown_version", counters.unknown_version},
          {"bad_field", counters.bad_field},
          {"facts_left_out", counters.facts_left_out},
          {"implausible", counters.implausible},
          {"probes", counters.probes},
          {"indirect", counters.indirect},
          {"probes_failed", counters.probes_failed},
          {"overslept", counters.overslept},
          {"suspected", counters.suspected},
          {"refuted", counters.refuted},
          {"gone", counters.gone},
          {"returned", counters.returned},
          {"syncs", counters.syncs},
          {"syncs_refused", counters.syncs_refused},
          {"members_refused", counters.members_refused},
          {"from_the_gone", counters.from_the_gone},
          {"names_twice", counters.names_twice},
          {"superseded", counters.superseded},
          {"reclaimed", counters.reclaimed},
          {"parcels", counters.payloads},
          {"payloads_dropped", counters.payloads_dropped}};
}

json member_json(const Member& member, Micros now) {
  json document{{"name", member.name},
                {"site", member.site},
                {"address", member.address},
                {"start", member.start},
                {"incarnation", member.incarnation},
                {"standing", name_of(member.standing)},
                {"since_ms", ms_since(now, member.standing_since)},
                {"by", member.reported_by},
                {"unreachable_from_here", member.unreachable_from_here}};
  document["heard_ms"] = member.last_heard ? json(ms_since(now, *member.last_heard)) : json(nullptr);
  return document;
}

}  // namespace

json Agent::Impl::describe(Micros now) const {
  const View& view = members.view(now);
  json document{{"me", view.own_name},
                {"version", view.version},
                {"period_ms", view.period.count() / 1000},
                {"known", view.known_count},
                {"there", view.live_count()},
                {"local_health", members.health_score()},
                {"superseded", members.superseded()},
                {"counters", counters_json(members.counters())}};
  document["minority_ms"] = view.minority_since ? json(ms_since(now, *view.minority_since)) : json(nullptr);
  json& list = document["members"] = json::array();
  for (const Member& member : view.members)
    list.push_back(member_json(member, now));
  for (const Extension* extension : extensions)
    document[extension->topic() == Topic::pools ? "pools" : "tiers"] = extension->describe(now);
  return document;
}

}  // namespace lemonroute::peers
