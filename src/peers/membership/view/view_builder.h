// Builds the public view from the member table. It builds on demand, so that a change in a large fleet costs
// nothing until the view is read.
#pragma once

#include "peers/membership/table.h"

namespace lemonroute::peers::membership {

/// Caches the view of a table.
class ViewBuilder {
 public:
  /// Takes the name of this router and the protocol period.
  ViewBuilder(std::string me, Micros period);
  /// Records whether this router is in a minority now, and since when.
  void update_minority(const Table& table, Micros now);
  /// Since when this router has seen less than half of the known members, on its own clock.
  std::optional<Micros> minority_since() const { return minority_since_; }
  /// The current view; its contents change with the next call.
  const View& view(const Table& table, Micros now);

 private:
  View view_;
  std::optional<Micros> minority_since_;
  std::uint64_t table_version_ = 0;
};

}  // namespace lemonroute::peers::membership
