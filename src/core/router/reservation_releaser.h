/// \file
/// The release of KV caches that prefill nodes hold for requests. Used on the serving thread only. All times
/// are on the core's clock.
#pragma once

#include <cstdint>
#include <list>
#include <string>
#include <vector>

#include "core/router/node_registry.h"
#include "core/router/pending_release.h"
#include "core/router/release_schedule.h"
#include "core/router/release_targets.h"
#include "core/router/request_table.h"
#include "core/router/router_context.h"

namespace lemonroute {

/// Releases the KV caches that requests have left reserved at prefill nodes. Repeats the calls until one is
/// known to have arrived, and postpones them while an attempt of the request needs the KV cache. Owns the
/// pending releases and their calls.
class ReservationReleaser {
 public:
  /// All arguments must outlive this object.
  ReservationReleaser(const RouterContext& context, RequestTable& requests, NodeRegistry& nodes);

  /// Releases the request's reservation and what its interrupted prefills may have left.
  void release_reservation(RequestState& request);
  /// Releases what interrupted prefills of the request may have left.
  void release_orphaned(RequestState& request);
  /// Releases everything that is reserved for the request, although its attempt in progress may still use it.
  void release_unclaimed(RequestState& request);
  /// Releases what a prefill may leave whose call is being closed. Calls its node and another node before the
  /// next prefill is sent, since a later release would also release the KV cache of that prefill.
  void release_cancelled_prefill(RequestState& request, AttemptState& attempt);

  /// Returns when the release calls for a reservation that has been idle since `idle_since` must start.
  [[nodiscard]] Micros release_due_at(Micros idle_since) const;
  /// Sets the time shortly after which the process ends. Releases expire soon after that time.
  void set_shutdown_deadline(Micros at);
  /// Returns whether no release is pending.
  [[nodiscard]] bool idle() const { return releases_.empty(); }

 private:
  // The time between a failed call and the next one.
  static constexpr Micros retry_pause = std::chrono::milliseconds(60);

  void start_release(const RequestState& request, const std::vector<ReservationHolder>& holders);
  void try_release(PendingRelease& pending);
  void send_release(PendingRelease& pending, const Node& node);
  void schedule_release(PendingRelease& pending, Micros at);
  void drop_release(PendingRelease& pending);
  void on_release_answered(std::uint64_t number, bool arrived);
  void on_release_acknowledged(PendingRelease& pending, const ReleaseCall& call);
  void on_release_failed(PendingRelease& pending, const ReleaseCall& call);
  void expire_release_calls(PendingRelease& pending);
  void drop_restarted_holders(PendingRelease& pending) const;
  [[nodiscard]] bool waits_for_attempt(const PendingRelease& pending) const;
  void postpone_release(PendingRelease& pending, const RequestState& request);
  [[nodiscard]] bool waits_for_holder(const PendingRelease& pending, EndpointId endpoint) const;
  [[nodiscard]] bool reserve_call_slot(const PendingRelease& pending);

  const RouterContext& context_;
  RequestTable& requests_;
  NodeRegistry& nodes_;
  ReleaseSchedule schedule_;
  ReleaseTargets targets_;
  std::list<PendingRelease> releases_;
  std::uint64_t next_call_number_ = 0;
};

}  // namespace lemonroute
