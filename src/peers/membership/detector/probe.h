// The one probe of a period: asked directly, then through helpers, then judged.
#pragma once

#include <optional>
#include <string>

#include "peers/membership/detector/health.h"

namespace lemonroute::peers::membership {

struct Probe {
  std::string name;
  std::uint64_t start = 0;  // the process that was asked
  std::uint32_t sequence = 0;
  std::uint64_t ask_at = 0, judge_at = 0;  // ticks
  std::uint32_t asked = 0, answered = 0;   // helpers, and those of them who said anything
  bool direct = false, indirect = false;   // it was heard so

  enum class Verdict { well, well_by_others, missed };
  Verdict verdict() const {
    return direct ? Verdict::well : indirect ? Verdict::well_by_others : Verdict::missed;
  }
  // Helpers that are silent too say that it is this router that hears badly; helpers who say they missed
  // it as well, that it is not.
  bool own_fault() const { return verdict() == Verdict::missed && (asked == 0 || answered < asked); }
};

}  // namespace lemonroute::peers::membership
