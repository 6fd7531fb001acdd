// Settings from the path=value text that comes with the start of an instance.
#pragma once

#include <stdexcept>
#include <string_view>

#include "lemonroute/scheduler.h"

namespace lemonroute {

struct SettingsError : std::runtime_error {
  using std::runtime_error::runtime_error;
};

// Unknown keys are ignored. A value that can't be parsed, or a missing key for which no value would be
// safe, throws SettingsError naming the key.
Settings parse_settings(std::string_view text);

}  // namespace lemonroute
