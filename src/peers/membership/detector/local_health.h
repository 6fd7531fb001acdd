// Lifeguard's local health: an estimate of how unreliable this router's own observations are. A router that
// is slow or badly connected sees probes of healthy members fail. It then waits longer and probes more
// slowly, so that it suspects fewer members.
#pragma once

#include <algorithm>

#include "peers/membership/limits.h"

namespace lemonroute::peers::membership {

/// Local health score, 0 (healthy) to limits::max_health_score.
class LocalHealth {
 public:
  /// Records a successful probe.
  void improve() { score_ = std::max(0, score_ - 1); }
  /// Records evidence that this router itself is impaired.
  void degrade() { score_ = std::min(limits::max_health_score, score_ + 1); }
  /// The score; 0 is healthy.
  int score() const { return score_; }
  /// Multiplier for the timeouts of probes.
  int timeout_factor() const { return score_ + 1; }

 private:
  int score_ = 0;
};

}  // namespace lemonroute::peers::membership
