// State kept for one member.
#pragma once

#include <cstdint>
#include <optional>

#include "peers/membership/fact.h"
#include "peers/membership/suspicion/suspicion.h"

namespace lemonroute::peers::membership {

/// A member of the table. Times are on this router's clock.
struct Entry {
  /// The claim that holds at present.
  Fact fact;
  /// Since when the member has this standing.
  Micros standing_since{};
  /// When the member was last heard from directly.
  std::optional<Micros> last_heard;
  /// Timer of the suspicion, while the member is suspected.
  std::optional<Suspicion> suspicion;
  /// Last router that confirmed the suspicion. The suspicion is passed on in its name, since receivers count
  /// confirmations of distinct routers.
  std::string confirmed_by;
  /// Consecutive probes that only helpers got answered.
  std::uint8_t direct_probe_failures = 0;
  /// Whether other routers reach the member and this one does not.
  bool unreachable = false;

  /// Hash of the router that claimed an alive member to be gone, or 0; it may have missed a refutation. The
  /// first claim is passed on to the member, a second one from another router starts a suspicion.
  std::uint64_t gone_claim_by = 0;
  /// When that first claim arrived.
  Micros gone_claim_at{};

  /// Since when an older process of this name keeps sending from another address.
  std::optional<Micros> older_process_since;
  /// Whether the operator was told of the older process.
  bool older_process_reported = false;

  /// Number of the member's latest item in the broadcast queue; 0 if none is queued.
  std::uint64_t broadcast_id = 0;
};

}  // namespace lemonroute::peers::membership
