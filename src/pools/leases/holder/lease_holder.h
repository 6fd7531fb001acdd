// Derives the lease of a pool from the answers of the pool's grantors. Does no I/O; callers pass the time on
// the steady clock of the process.
#pragma once

#include <optional>
#include <string>
#include <vector>

#include "pools/leases/grantor/grantor.h"

namespace lemonroute::pools {

/// One router's view of the lease of one pool.
class LeaseHolder {
 public:
  /// `own_region`: region of this router. `home`: home region of the pool. `grantors`: names of the grantors
  /// of the home region.
  LeaseHolder(LeaseTerms terms, RegionId own_region, RegionId home, std::vector<std::string> grantors);

  /// A lease that this router's region holds.
  struct Lease {
    Micros expires_at{};  ///< when a quorum no longer stands behind the lease
    Micros started_at{};  ///< when the region took the pool over; 0: the pool has never migrated
  };
  /// Takes an answer. `sent_at` is the time read before the request was sent. Answers of routers that are not
  /// grantors are ignored.
  void on_answer(const std::string& grantor, Micros sent_at, const Grantor::Answer& answer, Micros now);
  /// Merges what is known of the pool's owner from elsewhere, such as a proposal.
  void learn(const Ownership& known) { ownership_.learn(known); }
  /// The lease of this router's region; nothing if the region holds none.
  std::optional<Lease> lease(Micros now) const;

  /// The newest ballot known and its owner.
  const Ownership& ownership() const { return ownership_; }
  /// Home region of the pool.
  RegionId home() const { return home_; }
  /// Whether a quorum of the grantors said within the last lease that the owner has their grant.
  bool owner_has_quorum(Micros now) const;
  /// Whether a quorum of the grantors answered within the last lease.
  bool quorum_answers(Micros now) const;

 private:
  struct GrantorState {
    std::string grantor;
    Ballot ballot;
    Micros expires_at{};           // of its grant; 0: it did not grant
    Micros answered_request_at{};  // when the last answered request was sent
    bool granted_to_owner = false;
    bool answered = false;
  };
  bool is_quorum(std::size_t count) const { return count > grantors_.size() / 2; }
  LeaseTerms terms_;
  RegionId own_region_, home_;
  Ownership ownership_;
  std::vector<GrantorState> grantors_;
  Ballot started_ballot_;  // the ballot for which `started_at_` is set
  Micros started_at_{};
};

}  // namespace lemonroute::pools
