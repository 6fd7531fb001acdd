#include "core/load_report.h"

#include <array>
#include <charconv>
#include <cmath>
#include <limits>
#include <utility>

namespace lemonroute {
namespace {

// Pairs of the name that nodes use and the name of the same column in the settings.
constexpr std::array<std::pair<std::string_view, std::string_view>, 6> column_aliases{
    {{"inflight", "active"},
     {"queue", "waiting"},
     {"util", "cpu"},
     {"latency_ms", "avg_ms"},
     {"qps", "rps"},
     {"eps", "err_rps"}}};

bool same_column(std::string_view name, std::string_view column) {
  if (name == column)
    return true;
  for (const auto& [node_name, settings_name] : column_aliases)
    if ((name == node_name && column == settings_name) || (name == settings_name && column == node_name))
      return true;
  return false;
}

// A report with a higher value is treated as malformed.
constexpr float max_load_value = 1e9f;

std::string_view trim(std::string_view text) {
  const auto first = text.find_first_not_of(" \t");
  if (first == std::string_view::npos)
    return {};
  return text.substr(first, text.find_last_not_of(" \t") - first + 1);
}

}  // namespace

// One malformed item invalidates the whole report, since its other values may be wrong too.
std::vector<float> parse_load_report(std::string_view report, const std::vector<std::string>& columns) {
  std::vector<float> values(columns.size(), std::numeric_limits<float>::quiet_NaN());
  bool any_found = false;
  while (!report.empty()) {
    const auto comma = report.find(',');
    const std::string_view item = report.substr(0, comma);
    report.remove_prefix(comma == std::string_view::npos ? report.size() : comma + 1);
    const auto equals = item.find('=');
    if (equals == std::string_view::npos)
      return {};
    const auto name = trim(item.substr(0, equals)), text = trim(item.substr(equals + 1));
    float value = 0;
    const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), value);
    if (error != std::errc() || end != text.data() + text.size() || !(value >= 0 && value <= max_load_value))
      return {};
    for (std::size_t i = 0; i < columns.size(); ++i)
      if (same_column(name, columns[i])) {
        values[i] = value;
        any_found = true;
      }
  }
  if (!any_found)
    values.clear();
  return values;
}

}  // namespace lemonroute
