// Pings that this router sends on behalf of other routers, each kept until it is acknowledged or expires.
// Bounded: requests beyond the bound are ignored.
#pragma once

#include <optional>
#include <string>
#include <vector>

#include "peers/membership/limits.h"

namespace lemonroute::peers::membership {

/// One ping on behalf of another router.
struct IndirectPing {
  std::uint32_t own_sequence = 0,  ///< sequence number of this router's ping
      request_sequence = 0;        ///< sequence number of the request, to which the answer refers
  std::string requester,           ///< name of the requesting router
      requester_address,           ///< address of the requesting router
      target;                      ///< name of the pinged member
  /// Tick at which a nack is sent if no ack came.
  std::uint64_t expires_at = 0;
};

/// The pings on behalf of others that are in flight.
class IndirectPings {
 public:
  /// Adds a ping. False: the bound is reached.
  bool add(IndirectPing ping) {
    if (pings_.size() >= limits::max_indirect_pings)
      return false;
    pings_.push_back(std::move(ping));
    return true;
  }
  /// Removes and returns the ping that an ack from `responder` answers.
  std::optional<IndirectPing> take_acknowledged(std::uint32_t own_sequence, std::string_view responder) {
    return take_if([&](const IndirectPing& ping) {
      return ping.own_sequence == own_sequence && ping.target == responder;
    });
  }
  /// Removes and returns a ping that has expired by `tick`.
  std::optional<IndirectPing> take_expired(std::uint64_t tick) {
    return take_if([&](const IndirectPing& ping) { return ping.expires_at <= tick; });
  }

 private:
  template <class F>
  std::optional<IndirectPing> take_if(F&& matches) {
    for (auto at = pings_.begin(); at != pings_.end(); ++at) {
      if (!matches(*at))
        continue;
      IndirectPing ping = std::move(*at);
      pings_.erase(at);
      return ping;
    }
    return std::nullopt;
  }

  std::vector<IndirectPing> pings_;
};

}  // namespace lemonroute::peers::membership
