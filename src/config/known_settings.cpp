#include "config/known_settings.h"

#include <algorithm>
#include <nlohmann/json.hpp>
#include <set>
#include <string_view>

namespace lemonroute::config {
namespace {

using nlohmann::json;

// An entry stands for all that is beneath it.
constexpr std::string_view used[] = {"/discovery",
                                     "/known",
                                     "/limits.memory_mb",
                                     "/limits.sockets",
                                     "/listen",
                                     "/mgmt",
                                     "/name",
                                     "/seed",
                                     "/settings",
                                     "accounts[].name",
                                     "accounts[].quota-rps",
                                     "discovery",
                                     "extra.aim-us-per-1000-prompt-tokens",
                                     "extra.early-pairing",
                                     "extra.kind-role",
                                     "extra.release-us",
                                     "extra.report-x0",
                                     "extra.report-x1",
                                     "extra.resume",
                                     "extra.token-aim-us",
                                     "extra.tokens-by-kind",
                                     "kinds",
                                     "lanes[].aim-stretch",
                                     "lanes[].group",
                                     "lanes[].hard-limit-us",
                                     "lanes[].idempotency",
                                     "lanes[].name",
                                     "lanes[].slo-us",
                                     "lanes[].window-us",
                                     "lanes[].worth",
                                     "limits.cancel",
                                     "limits.conn-idle-us",
                                     "limits.connect-timeout-us",
                                     "limits.max-attempts",
                                     "limits.max-retry-after-us",
                                     "limits.retry-after",
                                     "limits.second-copies",
                                     "locality",
                                     "me",
                                     "over-share-worth",
                                     "report.columns",
                                     "safety.cold-from",
                                     "safety.cold-us",
                                     "safety.drain-grace-us",
                                     "safety.fall-multiple",
                                     "safety.fall-us",
                                     "siblings",
                                     "tick-us",
                                     "zones"};

// One request a connection, no probes, no talk among routers but by [peers]; weights, prices and scores are
// not what decides. Processor time is held to by what the process itself may have.
constexpr std::string_view unused[] = {"/limits.cores",
                                       "accounts[].share",
                                       "clients.marks-retry",
                                       "extra.cross-cell-price",
                                       "extra.read-in-place",
                                       "lanes[].late-worth",
                                       "lanes[].stream",
                                       "limits.cpu-us-per-request",
                                       "limits.cpu-us-per-s",
                                       "limits.may-tell",
                                       "limits.multiplex",
                                       "limits.open-cap",
                                       "limits.probes",
                                       "prices",
                                       "report.how",
                                       "safety.answer-slack-us",
                                       "safety.ask-every-us",
                                       "score-parts",
                                       "tier",
                                       "tiers",
                                       "weight-kind",
                                       "workload",
                                       "worth-by"};

bool among(const auto& table, std::string_view path) {
  return std::find(std::begin(table), std::end(table), path) != std::end(table);
}
bool leads_to(const auto& table, std::string_view path) {
  return std::any_of(std::begin(table), std::end(table), [&](std::string_view entry) {
    return entry.starts_with(path) &&
           (entry.substr(path.size()).starts_with(".") || entry.substr(path.size()).starts_with("["));
  });
}

class Walk {
 public:
  void over(const json& object, const std::string& prefix) {
    for (const auto& [key, item] : object.items())
      at(item, prefix + key);
  }
  Unread result() const { return {{unused_.begin(), unused_.end()}, {unknown_.begin(), unknown_.end()}}; }

 private:
  void at(const json& value, const std::string& path) {
    if (among(used, path))
      return;
    if (among(unused, path))
      return void(unused_.insert(path));
    if (!leads_to(used, path) && !leads_to(unused, path))
      return void(unknown_.insert(path));
    if (value.is_object())
      return over(value, path + ".");
    if (value.is_array())
      for (const auto& item : value)
        if (item.is_object())
          over(item, path + "[].");
  }
  std::set<std::string> unused_, unknown_;
};

}  // namespace

Unread unread(const json& config) {
  Walk walk;
  if (!config.is_object())
    return {};
  walk.over(config, "/");
  if (const auto settings = config.find("settings"); settings != config.end() && settings->is_object())
    walk.over(*settings, "");
  return walk.result();
}

void drop_nulls(json& value) {
  if (value.is_object())
    for (auto at = value.begin(); at != value.end();)
      at = at->is_null() ? value.erase(at) : std::next(at);
  if (value.is_structured())
    for (auto& item : value)
      drop_nulls(item);
}

}  // namespace lemonroute::config
