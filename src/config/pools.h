// The operator's [pools]: how writers move between regions, and the calendar by which they do.
#pragma once

#include <optional>

#include "config/fleet.h"
#include "config/installation.h"
#include "pools/settings.h"

namespace lemonroute::config {

// Takes [pools] out of the file; none: off. Every fault is named with its line.
std::optional<pools::Settings> read_pools(Section& file, const Regions& regions);

// Reserves that the file's own nodes can't meet. Where nodes come from discovery, the plan names them
// instead.
void check_reserves(const toml::table& root, const std::string& path, const pools::Settings& settings,
                    const Installation& installation, std::vector<Fault>& faults);

}  // namespace lemonroute::config
