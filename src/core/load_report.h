// Load reports as nodes word them, "inflight=7,queue=2,x0=0.61".
#pragma once

#include <string>
#include <string_view>
#include <vector>

namespace lemonroute {

// The values of `columns`, in their order; empty where the report is empty or any of it can't be read, and
// not a number where one column is missing. Reports may use the short names of the site files.
std::vector<float> parse_load(std::string_view report, const std::vector<std::string>& columns);

}  // namespace lemonroute
