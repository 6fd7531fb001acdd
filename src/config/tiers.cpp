#include "config/tiers.h"

namespace lemonroute::config {

using std::chrono::hours;
using std::chrono::seconds;

std::optional<TiersFile> read_tiers(Section& file) {
  auto section = file.table("tiers");
  if (!section)
    return std::nullopt;
  TiersFile tiers;
  tiers.line = section->line();
  auto& limits = tiers.limits;
  const auto count = [&](const char* key, std::size_t& field, std::int64_t least, std::int64_t most) {
    auto value = static_cast<std::int64_t>(field);
    if (section->whole(key, value, least, most))
      field = static_cast<std::size_t>(value);
  };
  count("device_keys", limits.device_keys, 64, 16384);
  count("site_keys", limits.site_keys, 64, 65536);
  count("region_keys", limits.region_keys, 64, 65536);
  count("devices", limits.max_devices, 16, 65536);
  count("vote_bytes", limits.vote_bytes_per_second, 2048, 10'000'000);
  count("push_bytes", limits.push_bytes_per_second, 2048, 100'000'000);
  section->span("fade", limits.confidence_half_life, seconds(5), hours(1));
  section->span("repeat", limits.refresh_interval, seconds(2), seconds(60));
  section->number("cross_least", limits.min_promotion_tokens, 0, 1'000'000);
  section->end();
  // A hint that fades before it is said again would come and go with the repeats.
  if (limits.confidence_half_life < limits.refresh_interval)
    section->fault("fade", "must not be shorter than repeat, " + span_text(limits.refresh_interval));
  return tiers;
}

}  // namespace lemonroute::config
