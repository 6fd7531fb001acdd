#include "module/active_settings.h"

#include <algorithm>
#include <chrono>
#include <cmath>
#include <optional>
#include <utility>

#include "module/find_or_null.h"

namespace lemonroute::decisions {
namespace {

// Names of load report columns in the configuration of the platform.
constexpr const char* kv_cache_share_column = "x0";
constexpr const char* queued_kilotokens_column = "x1";
constexpr double tokens_per_kilotoken = 1000;

// Memory duration without classes, or where no class has a deadline.
constexpr Micros default_memory_duration = std::chrono::seconds(10);

std::shared_ptr<const ClassSettings> unknown_class() {
  static const auto settings =
      std::make_shared<const ClassSettings>(ClassSettings{.name = "",
                                                          .idempotency = Idempotency::not_idempotent,
                                                          .retry_scope = RetryScope::cell,
                                                          .latency_objective = std::chrono::seconds(1),
                                                          .deadline = std::chrono::seconds(1),
                                                          .priority_weight = 1,
                                                          .streaming = true});
  return settings;
}

}  // namespace

void ActiveSettings::update(Settings settings) {
  values_ = std::move(settings);
  classes_.clear();
  memory_duration_ = Micros(0);
  max_priority_weight_ = 0;
  for (const auto& class_settings : values_.classes) {
    classes_.push_back(std::make_shared<const ClassSettings>(class_settings));
    memory_duration_ = std::max(memory_duration_, class_settings.deadline);
    max_priority_weight_ = std::max(max_priority_weight_, class_settings.priority_weight);
  }
  if (memory_duration_ <= Micros(0))
    memory_duration_ = default_memory_duration;
  report_column_index_.clear();
  for (std::size_t index = 0; index < values_.report_columns.size(); ++index)
    report_column_index_[values_.report_columns[index]] = index;
}

std::shared_ptr<const ClassSettings> ActiveSettings::class_settings(std::uint16_t class_index) const {
  return class_index < classes_.size() ? classes_[class_index] : unknown_class();
}

bool ActiveSettings::reports_queued_tokens() const {
  return values_.report_x1_is_queued_tokens && report_column_index_.contains(queued_kilotokens_column);
}

LoadReport ActiveSettings::decode_load_report(const std::vector<float>& columns) const {
  const auto value = [&](const char* column) -> std::optional<double> {
    const std::size_t* const index = find_or_null(report_column_index_, column);
    if (!index || *index >= columns.size() || !std::isfinite(columns[*index]))
      return std::nullopt;
    return std::max(0.0, static_cast<double>(columns[*index]));
  };
  LoadReport report;
  if (values_.report_x0_is_memory)
    report.kv_cache_share = value(kv_cache_share_column);
  if (values_.report_x1_is_queued_tokens)
    report.queued_tokens = value(queued_kilotokens_column);
  if (report.queued_tokens)
    *report.queued_tokens *= tokens_per_kilotoken;
  return report;
}

}  // namespace lemonroute::decisions
