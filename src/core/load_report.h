/// \file
/// Load reports in the words of the nodes, for instance "inflight=7,queue=2,x0=0.61". Free of state.
#pragma once

#include <string>
#include <string_view>
#include <vector>

namespace lemonroute {

/// Returns the values of `columns`, in the order of `columns`, with NaN for a column that the report does not
/// have. Returns an empty list if the report is malformed anywhere, has a value below 0 or above 1e9, or has
/// none of the columns. A column may have the short name of the site files or the name that nodes use.
std::vector<float> parse_load(std::string_view report, const std::vector<std::string>& columns);

}  // namespace lemonroute
