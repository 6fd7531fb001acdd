/// \file
/// Parser of the load reports that nodes send, for example "inflight=7,queue=2,x0=0.61". Stateless.
#pragma once

#include <string>
#include <string_view>
#include <vector>

namespace lemonroute {

/// Returns the values of `columns`, in the order of `columns`, with NaN for a column that the report lacks.
/// Returns an empty list if any item is malformed, if a value is below 0 or above 1e9, or if the report has
/// none of the columns. A column may be given by its name in the settings or by the name that nodes use.
std::vector<float> parse_load_report(std::string_view report, const std::vector<std::string>& columns);

}  // namespace lemonroute
