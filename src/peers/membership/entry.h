// What is kept of one router.
#pragma once

#include <cstdint>
#include <optional>

#include "peers/membership/fact.h"
#include "peers/membership/suspicion/suspicion.h"

namespace lemonroute::peers::membership {

struct Entry {
  Fact fact;
  Micros since{};
  std::optional<Micros> heard;
  std::optional<Suspicion> suspicion;  // while it is suspected
  std::string confirmed_by;  // the last who confirmed that: told on as its word, or nobody could count it
  std::uint8_t direct_failed = 0;  // probes in a row that only others got answered
  bool unreachable = false;

  // Somebody holds it gone who has not seen that it refuted: one saying is told to it, a second one counts.
  std::uint64_t hearsay_by = 0;
  Micros hearsay_at{};

  // An older process of this name that goes on.
  std::optional<Micros> older_since;
  bool older_told = false;

  std::uint64_t news = 0;  // number of the last news about it in the queue
};

}  // namespace lemonroute::peers::membership
