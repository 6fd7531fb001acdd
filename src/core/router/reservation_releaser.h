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

/// Releases the KV caches that requests have left reserved at prefill nodes: it repeats the calls until one
/// is known to have arrived, and holds them back while an attempt of the request needs what they would
/// release. Owns the pending releases and their calls.
class ReservationReleaser {
 public:
  /// All arguments outlive this object.
  ReservationReleaser(const RouterContext& context, RequestTable& requests, NodeRegistry& nodes);

  /// Releases the request's reservation and what cut prefills may have left.
  void release_reservation(RequestState& request);
  /// Releases what cut prefills of the request may have left.
  void release_orphaned(RequestState& request);
  /// Releases what the request holds, although an attempt is under way that may still take it.
  void release_untaken(RequestState& request);
  /// Releases what a prefill may leave whose call is being closed, at its node and at another one, before the
  /// next prefill is sent: a release that came later would take away what that one leaves.
  void release_cancelled_prefill(RequestState& request, AttemptState& attempt);

  /// Returns when a reservation has to be released that has been idle since `idle_since`.
  [[nodiscard]] Micros release_due_at(Micros idle_since) const;
  /// The process ends soon after `at`: no release goes on for much longer.
  void set_shutdown_deadline(Micros at);
  /// Returns whether no release is pending.
  [[nodiscard]] bool idle() const { return releases_.empty(); }

 private:
  static constexpr Micros retry_pause =
      std::chrono::milliseconds(60);  // before a further call, after a failure

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
