// Lifeguard's local health: how far this router itself must be doubted. Who is slow, or behind a bad line,
// sees others miss; it waits longer for them and probes more slowly, so it suspects others less.
#pragma once

#include <algorithm>

#include "peers/membership/limits.h"

namespace lemonroute::peers::membership {

class Health {
 public:
  void better() { score_ = std::max(0, score_ - 1); }
  void worse() { score_ = std::min(limits::worst_health, score_ + 1); }
  int score() const { return score_; }       // 0: well
  int factor() const { return score_ + 1; }  // of times waited

 private:
  int score_ = 0;
};

}  // namespace lemonroute::peers::membership
