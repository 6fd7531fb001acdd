/// \file
/// The values of a node's load report that the decision module uses.
#pragma once

#include <optional>

namespace lemonroute::decisions {

/// A load report, decoded by ActiveSettings::decode_load_report. A value is absent if the report or the
/// platform's configuration does not have it. Values are not negative.
struct LoadReport {
  std::optional<double> kv_cache_share;  ///< share of KV cache memory in use, 0 to 1
  std::optional<double> queued_tokens;   ///< prompt tokens queued, cached ones included
};

}  // namespace lemonroute::decisions
