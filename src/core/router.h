// The core: requests, their attempts and timers, the list of nodes and what is held at them. It puts events
// to the Scheduler and carries its actions out. It decides nothing and knows no protocol.
#pragma once

#include <deque>
#include <functional>
#include <list>
#include <map>
#include <optional>
#include <unordered_map>

#include "core/bans.h"
#include "core/demand.h"
#include "core/figures.h"
#include "core/guide.h"
#include "core/timers.h"
#include "core/types.h"

namespace lemonroute {

class Router {
 public:
  Router(Settings settings, std::vector<std::string> zones, std::vector<std::string> kinds,
         std::uint64_t seed, const Clock& clock, NodeTransport& nodes);
  ~Router();
  Router(const Router&) = delete;
  Router& operator=(const Router&) = delete;

  // ---- for discovery ----
  struct ListedNode {
    std::string name, address, zone, kind;
    std::uint16_t cell = 0;
    EndpointState state = EndpointState::ready;
    float weight = 1;
    Micros started_at{};
  };
  void update_endpoints(EndpointListKind kind, std::uint32_t version, const std::vector<ListedNode>& listed);

  // ---- for operators ----
  // From now on. Requests that were taken keep their class and their most attempts.
  void update_settings(Settings settings, std::vector<std::string> zones, std::vector<std::string> kinds);
  enum class OverrideResult { applied, unknown_node, not_stored };
  OverrideResult drain_node(
      const std::string& node);  // no new work to it, whatever discovery lists, until it is put back
  OverrideResult undrain_node(const std::string& node);
  void load_overrides(std::string path, LockFile& lock);  // takes those that are there
  void reload_overrides();  // takes what another process of this router has changed
  RouterMetrics metrics() const;
  std::string endpoint_name(EndpointId id) const;  // of a listed node; "" for any other
  // From now on `to` hears of each choice of the module's, before what comes of it. An empty one ends that.
  void set_choice_observer(std::function<void(const Choice&)> to) {
    scheduler_.set_choice_observer(std::move(to));
  }

  // ---- for what routers know together ----
  void set_fleet_view(
      std::shared_ptr<const FleetView> guide);  // from now on; none: what discovery and operators say
  void set_node_observer(
      NodeObserver* observer);  // hears what is seen of nodes; outlives this, or is taken back with null

  // ---- for fronts ----
  enum class SubmitResult { accepted, unknown_class, duplicate_id };
  // Takes a request; its one answer goes to `client`. Unless it says yes, nothing was taken.
  SubmitResult submit(const ClientRequest& client_request, Client& client, RequestId& id);
  void client_disconnected(RequestId id);  // the client has gone: it is told nothing more
  void resume_stream(RequestId id);        // the client can take more events

  // ---- for another process of this router ----
  // Gives away streams that stand between two events, each once `give` has sent it; the others stay.
  void transfer_streams(const std::function<bool(const TransferredStream&)>& give);
  bool adopt_stream(const TransferredStream& stream, Client& client,
                    RequestId& id);      // goes on with one that was given
  HandoverState handover_state() const;  // of ready nodes, where there is something to tell
  void apply_handover_state(const HandoverState& handover_state);  // what another process told
  // The process is ended soon after `at`: no request waits for its first event longer, one taken later
  // included.
  void set_shutdown_deadline(Micros at);

  // ---- for the loop ----
  std::optional<Micros> next_timer() const { return timers_.next_due(); }
  void run_timers();
  std::function<void()> on_change;  // after anything that may have moved next_due, or made it idle

  std::size_t open_requests() const { return open_requests_; }  // requests taken and not answered
  std::size_t known_nodes() const { return known_nodes_.size(); }
  bool idle() const { return requests_.empty() && releases_.empty(); }
  std::size_t ready_nodes() const;

 private:
  struct AttemptState;
  struct RequestState;
  struct ReservationHolder;
  struct ReleaseCall;
  struct PendingRelease;
  // When a node last answered here, and when it last failed to; 0 = never.
  struct Liveness {
    Micros last_answer{}, last_failure{};
  };

  void enqueue(Event event);
  void dispatch_events();
  void decide(const Event& event);
  void execute(const Send& send);
  void execute(const RejectRequest& refuse);
  void execute(const FailRequest& fail);
  void execute(const CancelAttempt& cancel);
  void execute(const StartTimer& sleep);
  void execute(const Probe& probe);
  void execute(const CloseIdleConnections& hang_up);
  void execute(const Log& log);
  void execute(const ReleaseReservation& release);
  void execute(const EvictReservation&) {}  // the module never asks for these, whatever the settings allow
  void execute(const ReserveCapacity&) {}
  void execute(const SendPeerMessage&) {}
  void execute(const Subscribe&) {}  // the watch is always on here
  void execute(const Snapshot&) {}

  void on_attempt_data(AttemptState& attempt, std::string_view data);
  void on_attempt_done(AttemptState& attempt, AttemptResult result);
  void report_to_observer(const RequestState& entry, const AttemptState& ended, const Node& node,
                          const AttemptCompleted& completed);
  void update_reservation(RequestState& entry, const AttemptState& ended, const AttemptResult& result,
                          bool never_ran);
  void update_last_contact(const AttemptState& ended, Outcome outcome);
  void record_answer(EndpointId host);
  void record_failure(EndpointId host);
  void restart_stream_timer(AttemptState& attempt);
  void limit_attempt_start(AttemptState& attempt, Micros at, AttemptResult or_else);
  void limit_starts_at_draining_nodes();
  void on_stream_stalled(AttemptState& attempt);
  void on_attempt_timeout(AttemptState& attempt);
  void close_client(RequestState& entry);
  void erase_finished_requests();
  void start_release(const RequestState& entry, const std::vector<ReservationHolder>& holders);
  void schedule_untaken_release(AttemptState& attempt);
  void release_untaken(RequestState& entry);
  void release_cancelled_prefill(RequestState& entry, AttemptState& attempt);
  static bool awaits_answer(const RequestState& entry);
  static bool awaits_prefill_result(const RequestState& entry);
  static bool awaits_decode_result(const RequestState& entry);
  void release_orphaned(RequestState& entry);
  void try_release(PendingRelease& released);
  void send_release(PendingRelease& released, const Node& node);
  void on_release_answered(std::uint64_t call, bool arrived);
  void schedule_release(PendingRelease& released, Micros at);
  void limit_release_to_shutdown(PendingRelease& released) const;
  void drop_restarted_holders(PendingRelease& released) const;
  bool waits_for_attempt(const PendingRelease& released) const;
  void postpone_release(PendingRelease& released, const RequestState& entry);
  bool waits_for_holder(const PendingRelease& released, EndpointId host) const;
  bool make_room_for_release(const PendingRelease& released);
  void on_release_acknowledged(PendingRelease& released, const ReleaseCall& call);
  void on_release_failed(PendingRelease& released, const ReleaseCall& call);
  void drop_release(PendingRelease& released);
  const Node* next_release_target(const PendingRelease& released) const;
  const Node* holder_target(const PendingRelease& released) const;
  const Node* other_target(const PendingRelease& released) const;
  bool notifies_other_nodes(const PendingRelease& released) const;
  bool suspected(EndpointId host) const;
  bool has_answered_since(EndpointId host, Micros since) const;
  Micros release_retry_interval(const PendingRelease& released) const;
  Micros release_timeout() const;
  Micros release_due_at(Micros state_waits) const;
  Micros release_call_timeout() const;
  void expire_release_calls(PendingRelease& released);
  OverrideResult set_override(const std::string& node, bool out);
  bool apply_overlay(Node& node);
  void reapply_overlays();
  EndpointListUpdate refresh_overlays();
  Settings effective_settings() const;
  std::vector<CacheHint> cache_hints(Key session, Key shared) const;
  void report_endpoints();
  void report_demand();
  void assign_zone_and_kind(Node& node) const;
  EndpointId endpoint_id(const std::string& name) const;  // the one it has, or one that is free
  Role role_of(EndpointId id) const;
  RequestState* find(RequestId id);
  const RequestState* find(RequestId id) const;
  RequestState& add_request(const Prompt& prompt, Client& client, const std::string& kind);

  Settings settings_;
  std::vector<std::string> zones_, kinds_;
  const Clock& clock_;
  NodeTransport& transport_;
  Scheduler scheduler_;
  Timers timers_;
  std::map<EndpointId, Node> known_nodes_;
  std::uint32_t list_version_ = 0;  // of the last list
  AdminOverrides admin_overrides_;
  std::shared_ptr<const FleetView> fleet_view_;
  Micros overlay_expires_at_ = Micros::max();  // what the guide laid over the list holds until then
  NodeObserver* observer_ = nullptr;
  DemandTracker demand_;
  std::unordered_map<std::string, EndpointId> endpoint_ids_;  // of the known ones, by name
  std::deque<std::string> removed_node_names_;  // names of nodes that have gone, the last one at the back
  std::unordered_map<RequestId, std::unique_ptr<RequestState>> requests_;
  std::unordered_map<std::string, RequestId> requests_by_client_id_;
  std::list<PendingRelease> releases_;
  std::uint64_t next_release_call_ = 0;
  std::map<EndpointId, Liveness> last_contact_;  // of known nodes
  std::map<std::uint64_t, std::unique_ptr<Call>> probes_;
  std::uint64_t next_probe_ = 0;
  RequestMetrics request_metrics_;
  std::uint64_t sent_attempts_ = 0;
  std::size_t open_requests_ = 0;
  std::deque<Event> events_;
  std::vector<RequestId> touched_requests_;
  std::optional<Micros> shutdown_deadline_;
  bool dispatching_ = false;
};

}  // namespace lemonroute
