/// \file
/// The current settings and the values derived from them. Owned by Context; changed only by
/// Scheduler::update_settings, between two events. Used on the serving thread only.
#pragma once

#include <cstddef>
#include <cstdint>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "lemonroute/settings.h"
#include "module/load_report.h"

namespace lemonroute::decisions {

/// The settings of this router, and the values derived from them at each update.
class ActiveSettings {
 public:
  /// Replaces all settings.
  void update(Settings settings);

  /// Returns the settings last passed to update(). The reference stays valid, but update() changes its
  /// values.
  [[nodiscard]] const Settings& values() const { return values_; }

  /// Returns the settings of a request class. An unknown class gets the strictest settings: its requests must
  /// not run twice. The returned settings do not change when update() is called.
  [[nodiscard]] std::shared_ptr<const ClassSettings> class_settings(std::uint16_t class_index) const;

  /// Returns the time constant by which evidence on the health and load of nodes decays exponentially: the
  /// longest deadline of all classes. Always above 0.
  [[nodiscard]] Micros memory_duration() const { return memory_duration_; }

  /// Returns the largest priority weight of all classes, or 0 without classes.
  [[nodiscard]] double max_priority_weight() const { return max_priority_weight_; }

  /// Returns whether load reports state the prompt tokens queued at a node.
  [[nodiscard]] bool reports_queued_tokens() const;

  /// Decodes the columns of a load report, in the order of Settings::report_columns.
  [[nodiscard]] LoadReport decode_load_report(const std::vector<float>& columns) const;

 private:
  Settings values_;
  std::vector<std::shared_ptr<const ClassSettings>> classes_;
  std::map<std::string, std::size_t> report_column_index_;
  Micros memory_duration_{};
  double max_priority_weight_ = 0;
};

}  // namespace lemonroute::decisions
