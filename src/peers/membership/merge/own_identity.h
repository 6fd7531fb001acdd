// Claims about this router itself. It refutes claims against it. A newer process of its name supersedes it:
// an upgrade, during which both processes run for a while, or two routers misconfigured with one name. A
// superseded process stops announcing itself. If the newer process is never heard from, the claim was false
// or that process has ended, and this one takes the name back.
#pragma once

#include <optional>

#include "peers/membership/fact.h"

namespace lemonroute::peers::membership {

/// This router's own fact, and the newer process of its name if there is one.
class OwnIdentity {
 public:
  /// What a claim, a packet or a check has led to.
  enum class Change { nothing, refuted, superseded, updated, reclaimed };

  /// Takes the fact to announce and the protocol period.
  OwnIdentity(Fact own, Micros period) : own_(std::move(own)), period_(period) {}

  /// The fact that this process announces about itself.
  const Fact& fact() const { return own_; }
  /// The newer process that superseded this one, as last claimed; nothing if there is none.
  const std::optional<Fact>& successor() const { return successor_; }
  /// Whether a newer process holds this router's name.
  bool superseded() const { return successor_.has_value(); }

  /// Handles a claim about this router's name; `unix_now` is in microseconds.
  Change apply_claim(const Fact& claim, Micros now, std::uint64_t unix_now);
  /// Handles a packet whose sender has this router's name but is another process.
  void record_packet(const Fact& sender, Micros now);
  /// Takes the name back if the newer process was not heard from in time; to be called once a period.
  Change check_reclaim(Micros now);
  /// Marks this router as left.
  void mark_left() { own_.standing = Standing::left; }

 private:
  Change reclaim();

  Fact own_;
  Micros period_;
  std::optional<Fact> successor_;
  Micros superseded_at_{};
  bool successor_heard_ = false;
};

}  // namespace lemonroute::peers::membership
