/// \file
/// State that all tiers of one router share.
#pragma once

#include <algorithm>
#include <map>
#include <string>

#include "peers/extension.h"
#include "tiers/epoch/epoch_table.h"
#include "tiers/merge/holder_selection.h"
#include "tiers/trust/trust.h"

namespace lemonroute::tiers {

/// Token bucket in bytes with a burst of one second. A payload may be sent while anything remains, so the
/// balance falls below zero by at most one payload.
class ByteBudget {
 public:
  /// Starts with the bytes of one second.
  explicit ByteBudget(std::size_t bytes_per_second)
      : rate_(static_cast<double>(bytes_per_second)), remaining_(rate_) {}
  /// Adds the bytes that have become available since the last call.
  void refill(Micros now) {
    remaining_ =
        std::min(rate_, remaining_ + rate_ * std::chrono::duration<double>(now - refilled_at_).count());
    refilled_at_ = now;
  }
  /// Bytes that may be sent; zero or less: none.
  double remaining() const { return remaining_; }
  /// Accounts for bytes sent.
  void spend(std::size_t bytes) { remaining_ -= static_cast<double>(bytes); }

 private:
  double rate_, remaining_;
  Micros refilled_at_{};
};

/// Counters of one kind of payload.
struct Traffic {
  std::uint64_t payloads_out = 0,  ///< payloads sent
      bytes_out = 0,               ///< bytes sent
      payloads_in = 0,             ///< payloads received
      bytes_in = 0;                ///< bytes received
};

/// State of the router that its site tier and region tier use.
struct SharedState {
  /// Takes the options of the extension and derives the identifiers from them.
  explicit SharedState(Options o)
      : options(std::move(o)),
        hasher(options.secret),
        own_id(hasher.name(options.name)),
        epochs(hasher, static_cast<unsigned>(hasher.name(options.site) % 4), options.limits.max_devices) {}

  Options options;                               ///< configuration
  IdHasher hasher;                               ///< identifiers of keys and names
  NameId own_id;                                 ///< this router
  EpochTable epochs;                             ///< cache epochs of all devices
  Trust trust;                                   ///< trust in other routers
  FalseHints false_hints;                        ///< hints recently disproved
  std::uint64_t last_vote_number = 0;            ///< sequence number of the last payload of votes
  std::map<std::string, Traffic> traffic;        ///< by kind of payload
  std::map<std::string, std::uint64_t> dropped;  ///< dropped payloads by reason

  /// Trust in a router; 1 for this router itself.
  double trust_in(NameId name, Micros now) const { return name == own_id ? 1.0 : trust.trust_in(name, now); }
  /// Returns the stamp of the next payload of votes.
  VoteStamp next_stamp() { return {options.start, ++last_vote_number}; }
  /// Sends a payload and counts it under `kind`.
  void send(const char* kind, peers::Outbox& out, std::string_view to, const std::string& bytes) {
    auto& counts = traffic[kind];
    ++counts.payloads_out;
    counts.bytes_out += bytes.size();
    out.send(peers::Topic::tiers, to, bytes);
  }
};

}  // namespace lemonroute::tiers
