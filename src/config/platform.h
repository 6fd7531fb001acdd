// What the platform tells a router at its start.
#pragma once

#include <functional>
#include <optional>
#include <stdexcept>
#include <string>
#include <vector>

#include "core/types.h"
#include "discovery/list.h"

namespace lemonroute::config {

struct ConfigError : std::runtime_error {
  using std::runtime_error::runtime_error;
};

// Looks up an environment variable; nothing for one that is not set.
using Variables = std::function<const char*(const char*)>;

struct Platform {
  std::string name, listen, discovery;
  std::string management;     // empty: off
  std::optional<int> socket;  // the inherited one that listens on `listen` already
  std::uint64_t seed = 0;
  std::size_t sockets = 1024;
  std::size_t memory_mb = 256;      // beyond which the platform ends the process
  Settings settings;                // without what `unused` names
  std::vector<std::string> unused;  // keys of what the platform allows and this router never does
  std::vector<std::string> not_read,
      unknown;  // keys that are stated: known, and nothing depends on them; not known
  std::vector<std::string> zones, kinds;
  Micros connection_idle{};
  discovery::NodeList known;
  // For the log: where the nodes come from.
  std::string nodes_from() const { return discovery.empty() ? "fixed nodes" : "discovery at " + discovery; }
};

// The path=value lines of the simulator's first message, from the same settings as nested JSON.
std::string flatten(const nlohmann::json& settings);

Platform parse_platform(const std::string& text);  // throws ConfigError
// Reads the file that BALANCER_CONFIG names; the other BALANCER_* variables win over it.
Platform load_platform(const Variables& variable);
// The same file once it has been replaced: now what it says holds, over the variables of the start.
Platform reload_platform(const Variables& variable);

}  // namespace lemonroute::config
