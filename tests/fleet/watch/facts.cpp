#include "watch/facts.h"

#include <algorithm>

namespace lemonroute::rig {
namespace {

using nlohmann::json;

const json& members(const json& fleet) {
  static const json none = json::array();
  const auto at = fleet.is_object() ? fleet.find("members") : fleet.end();
  return fleet.is_object() && at != fleet.end() && at->is_array() ? *at : none;
}

std::string standing(const json& fleet, const std::string& peer, bool& reachable) {
  for (const auto& one : members(fleet))
    if (one.value("name", "") == peer) {
      reachable = !one.value("unreachable_from_here", false);
      return one.value("standing", "");
    }
  return "none";
}

std::uint64_t count(const json& fleet, const std::string& key) {
  if (key == "known")
    return fleet.value("known", std::uint64_t{0});
  return static_cast<std::uint64_t>(
      std::count_if(members(fleet).begin(), members(fleet).end(), [&](const json& one) {
        const std::string is = one.value("standing", "");
        return key == "there" ? is == "alive" || is == "suspected" : is == key;
      }));
}

std::string sees(const Fact& fact, const json& fleet) {
  for (const auto& [key, wanted] : fact.wanted) {
    if (std::all_of(wanted.begin(), wanted.end(), [](unsigned char c) { return std::isdigit(c); })) {
      const auto is = count(fleet, key);
      if (is != std::stoull(wanted))
        return "sees " + key + "=" + std::to_string(is);
      continue;
    }
    bool reachable = true;
    const std::string is = standing(fleet, key, reachable);
    if (wanted == "unreachable" ? reachable : is != wanted)
      return "sees " + key + "=" + is + (reachable ? "" : ", unreachable from here");
  }
  return {};
}

// Who is there, as one process sees it.
std::string roll(const json& fleet) {
  std::string names;
  for (const auto& one : members(fleet)) {
    const std::string is = one.value("standing", "");
    if (is == "alive" || is == "suspected")
      names += (names.empty() ? "" : " ") + one.value("name", "");
  }
  return names;
}

std::string value(const Fact& fact, const json& fleet) {
  const json::json_pointer at(fact.what);
  if (!fleet.contains(at))
    return "has no " + fact.what;
  const json& is = fleet[at];
  const std::string text = is.is_string() ? is.get<std::string>() : is.dump();
  const bool holds =
      fact.compare == Compare::equal
          ? text == fact.to
          : is.is_number() && is.get<double>() >= 0 &&
                compares(static_cast<std::uint64_t>(is.get<double>()), fact.compare, std::stoull(fact.to));
  return holds ? "" : "has " + fact.what + " = " + text;
}

std::string owner(const Fact& fact, const json& fleet) {
  const json::json_pointer at("/pools/pools");
  if (fleet.contains(at) && fleet[at].is_array())
    for (const auto& pool : fleet[at])
      if (pool.value("name", "") == fact.what) {
        const std::string is = pool.value("owner", "");
        return is == fact.to ? "" : "says that pool " + fact.what + " is " + is + "'s";
      }
  return "knows no pool " + fact.what;
}

std::string missing_at(const Fact& fact, const Known& one) {
  if (fact.kind == FactKind::ended)
    return one.ended_well ? "" : "has not ended by itself";
  if (!one.running)
    return "does not run";
  if (!one.fresh)
    return "has not been heard of yet";
  if (fact.kind == FactKind::ready)
    return one.ready ? "" : "is not ready";
  if (!one.fleet.is_object())
    return "tells nothing of the fleet";
  const auto minority = one.fleet.find("minority_ms");
  const bool lost = minority != one.fleet.end() && !minority->is_null();
  switch (fact.kind) {
    case FactKind::sees:
      return sees(fact, one.fleet);
    case FactKind::minority:
      return lost ? "" : "is not in a minority";
    case FactKind::majority:
      return lost ? "is in a minority" : "";
    case FactKind::value:
      return value(fact, one.fleet);
    case FactKind::owner:
      return owner(fact, one.fleet);
    default:
      return {};
  }
}

}  // namespace

bool compares(std::uint64_t is, Compare how, std::uint64_t wanted) {
  return how == Compare::equal ? is == wanted : how == Compare::at_least ? is >= wanted : is <= wanted;
}

std::string missing(const Fact& fact, const AllKnown& known) {
  for (const auto& name : fact.at)
    if (const auto why = missing_at(fact, known.at(name)); !why.empty())
      return name + " " + why;
  if (fact.kind != FactKind::agree || fact.at.empty())
    return {};
  // They agree on who is there, and it is they themselves: two that both see nobody do not agree.
  Names sorted = fact.at;
  std::sort(sorted.begin(), sorted.end());
  std::string wanted;
  for (const auto& name : sorted)
    wanted += (wanted.empty() ? "" : " ") + name;
  for (const auto& name : fact.at)
    if (const auto is = roll(known.at(name).fleet); is != wanted)
      return name + " sees there: " + is;
  return {};
}

std::string summary(const std::string& name, const Known& one) {
  if (!one.running)
    return name + " does not run";
  std::string text = name + (one.ready ? " ready" : " not ready");
  for (const auto& member : members(one.fleet)) {
    text += ", " + member.value("name", "") + " " + member.value("standing", "");
    if (member.value("unreachable_from_here", false))
      text += " (unreachable from here)";
  }
  const auto minority = one.fleet.is_object() ? one.fleet.find("minority_ms") : one.fleet.end();
  if (one.fleet.is_object() && minority != one.fleet.end() && !minority->is_null())
    text += ", a minority";
  return text;
}

}  // namespace lemonroute::rig
