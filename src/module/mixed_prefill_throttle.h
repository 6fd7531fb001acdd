/// \file
/// Limits the time that mixed nodes spend on prefills. During a prefill the streams of a mixed node make no
/// progress; without a limit they would miss their inter-token objective. Owns MixedPrefillBacklog of each
/// node and this router's total over all mixed nodes. Used on the serving thread only.
#pragma once

#include "module/context.h"
#include "module/node_registry.h"

namespace lemonroute::decisions {

/// Delays prefills at mixed nodes, so that all routers together use only a part of each node's time for them.
class MixedPrefillThrottle {
 public:
  /// Keeps the references, which must outlive it.
  MixedPrefillThrottle(const Context& context, const NodeRegistry& nodes)
      : context_(context), nodes_(nodes) {}

  /// Returns the microseconds until this router may start another prefill at a mixed node.
  [[nodiscard]] double wait(const Node& node) const;

  /// Adds a prefill of `work` microseconds that this router sends to a mixed node.
  void charge(Node& node, double work);

 private:
  [[nodiscard]] double prefill_share() const;
  [[nodiscard]] double own_share_of_node() const;

  const Context& context_;
  const NodeRegistry& nodes_;
  double total_work_ = 0;  // microseconds of prefill at mixed nodes, as of total_updated_at_; decays
  Micros total_updated_at_{};
};

}  // namespace lemonroute::decisions
