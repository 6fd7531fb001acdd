// The probe of a protocol period: a direct ping, then indirect pings through helpers, then the outcome.
#pragma once

#include <optional>
#include <string>

#include "peers/membership/detector/local_health.h"

namespace lemonroute::peers::membership {

/// State of a probe in progress.
struct Probe {
  /// Name of the probed member.
  std::string name;
  /// Start of the probed process, Unix time in microseconds.
  std::uint64_t start = 0;
  /// Sequence number of the ping and of the requests to helpers.
  std::uint32_t sequence = 0;
  std::uint64_t indirect_at = 0,    ///< tick at which helpers are asked
      ends_at = 0;                  ///< tick at which the probe ends
  std::uint32_t helpers_asked = 0,  ///< helpers asked
      helpers_answered = 0;         ///< those of them that sent an ack or a nack
  bool direct_ack = false,          ///< whether the member acknowledged the ping itself
      indirect_ack = false;         ///< whether it acknowledged a ping through a helper

  /// Result of a probe.
  enum class Outcome { acked, acked_indirectly, failed };
  /// The result so far.
  Outcome outcome() const {
    return direct_ack ? Outcome::acked : indirect_ack ? Outcome::acked_indirectly : Outcome::failed;
  }
  /// Whether a failed probe suggests a fault of this router: no helper was asked, or some were silent.
  /// Nacks from all helpers show that this router receives well and that the member is the one missing.
  bool local_fault_likely() const {
    return outcome() == Outcome::failed && (helpers_asked == 0 || helpers_answered < helpers_asked);
  }
};

}  // namespace lemonroute::peers::membership
