// The operator's [tiers] section: the map of kept state. Absent, it is off and nothing is started.
#pragma once

#include <optional>

#include "config/section.h"
#include "tiers/options.h"

namespace lemonroute::config {

struct TiersFile {
  tiers::Limits limits;
  std::size_t line = 0;
};

// Of the whole file. None: off.
std::optional<TiersFile> read_tiers(Section& file);

}  // namespace lemonroute::config
