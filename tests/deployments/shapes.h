// Settings of the shapes that deployments have, as the platform hands them out. No deployment's own figures.
#pragma once

#include <nlohmann/json.hpp>
#include <string>

namespace lemonroute::shapes {

using nlohmann::json;

inline json lane(const std::string& name, const std::string& idempotency, int slo_ms, int limit_ms,
                 double worth) {
  return {{"name", name},
          {"idempotency", idempotency},
          {"group", "all"},
          {"window-us", 5000000},
          {"slo-us", slo_ms * 1000},
          {"hard-limit-us", limit_ms * 1000},
          {"late-worth", 0.3},
          {"stream", true},
          {"worth", worth}};
}

// One safe class, three zones, probes, no tenants; nothing is allowed beyond.
inline json one_class() {
  json settings = {{"accounts", json::array()},
                   {"clients", {{"marks-retry", true}}},
                   {"discovery", "pushed"},
                   {"kinds", {"lettura", "scrittura"}},
                   {"lanes", json::array({lane("estratto", "read_like", 1500, 7500, 1.0)})},
                   {"locality", 1},
                   {"me", 0},
                   {"siblings", 3},
                   {"over-share-worth", 0.1},
                   {"tick-us", 2000},
                   {"zones", {"milano", "brescia", "verona"}}};
  settings["extra"] = {{"aim-us-per-1000-prompt-tokens", {40000.0}},
                       {"cross-cell-price", 0.03},
                       {"early-pairing", false},
                       {"kind-role", {"read", "write"}},
                       {"read-in-place", false},
                       {"release-us", 1000000},
                       {"report-x0", "share of memory that is held"},
                       {"report-x1", "thousands of prompt_tokens waiting to be read or fetched"},
                       {"resume", false},
                       {"token-aim-us", {70000.0}},
                       {"tokens-by-kind", {217071, 176827}}};
  settings["limits"] = {{"cancel", true},
                        {"conn-idle-us", 15000000},
                        {"connect-timeout-us", 250000},
                        {"max-attempts", 6},
                        {"max-retry-after-us", 500000},
                        {"may-tell", false},
                        {"multiplex", 32},
                        {"open-cap", 20000},
                        {"probes", true},
                        {"retry-after", true},
                        {"second-copies", false}};
  settings["report"] = {{"columns", {"active", "waiting", "x0", "x1"}}, {"how", "piggyback"}};
  settings["safety"] = {{"answer-slack-us", 8000}, {"ask-every-us", 10000000}, {"cold-from", 0.26},
                        {"cold-us", 13000000},     {"drain-grace-us", 500000}, {"fall-multiple", 3.0},
                        {"fall-us", 1000000}};
  return settings;
}

// Three classes of which one must never run twice, tenants with shares, one zone, cells, no probes, no marks
// on retries; places may be held ahead, and held state is let go of sooner.
inline json three_classes() {
  json settings = one_class();
  settings["lanes"] = json::array({lane("plan-draft", "read_like", 1500, 7500, 1.0),
                                   lane("patient-chat", "read_like", 2500, 12000, 1.0),
                                   lane("plan-send", "non_idempotent", 800, 3000, 2.0)});
  settings["accounts"] = json::array({{{"name", "randstad zuid"}, {"quota-rps", 12.5}, {"share", 0.8}},
                                      {{"name", "oost"}, {"quota-rps", 3}, {"share", 0.2}}});
  settings["kinds"] = {"prefill", "decode"};
  settings["zones"] = {"dc-utrecht"};
  settings["locality"] = 0;
  settings["over-share-worth"] = 0.05;
  settings["clients"]["marks-retry"] = false;
  settings["extra"]["early-pairing"] = true;
  settings["extra"]["release-us"] = 500000;
  settings["extra"]["aim-us-per-1000-prompt-tokens"] = {40000.0, 40000.0, 60000.0};
  settings["extra"]["token-aim-us"] = {70000.0, 80000.0, 50000.0};
  settings["limits"]["probes"] = false;
  settings["safety"]["fall-multiple"] = 4.0;
  settings["safety"]["fall-us"] = 3000000;
  settings["safety"]["cold-from"] = 0.32;
  return settings;
}

inline std::string file(const json& settings) {
  const json node = {{"instanceId", "s-1"},
                     {"hostPort", "10.1.0.18:5000"},
                     {"zone", settings["zones"][0]},
                     {"machineType", settings["kinds"][0]},
                     {"cell", 3},
                     {"lifecycle", "active"},
                     {"weight", 1.0},
                     {"startedAtMs", 0}};
  return json{{"name", "n3"},
              {"listen", "10.0.0.4:5000"},
              {"discovery", "10.2.0.1:8500"},
              {"seed", "8c1f30d27a5be964"},
              {"limits", {{"cores", 1.0}, {"memory_mb", 192}, {"sockets", 1024}}},
              {"known", {{"generation", 41}, {"reset", true}, {"instances", {node}}}},
              {"settings", settings}}
      .dump(1);
}

}  // namespace lemonroute::shapes
