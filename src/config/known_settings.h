// Which keys of the platform's configuration are known here, and which of them anything depends on.
#pragma once

#include <nlohmann/json_fwd.hpp>
#include <string>
#include <vector>

namespace lemonroute::config {

// Paths as the settings' own page writes them: `lanes[].name`, `limits.cancel`. Each is there once, however
// often the configuration has it; of an unknown object only its own path. Those outside the settings begin
// with a slash.
struct Unread {
  std::vector<std::string> unused;  // known, stated, and nothing here depends on it
  std::vector<std::string> unknown;
};
Unread unread(const nlohmann::json& config);

// Guards against null where a deployment has not what a key is for: it says what the key's absence says.
void drop_nulls(nlohmann::json& value);

}  // namespace lemonroute::config
