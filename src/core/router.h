/// \file
/// The core of the router. It passes events to the Scheduler and executes the Scheduler's actions on clients
/// and nodes. The Scheduler makes all decisions; fronts and the node transport implement the protocols. Used
/// on the serving thread only. All times are on the Clock that the constructor receives.
#pragma once

#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "core/fleet_view.h"
#include "core/request_metrics.h"
#include "core/router/node_registry.h"
#include "core/types.h"

namespace lemonroute {

/// The interface of the core for discovery, operators, peers, fronts and the serving loop. The classes in
/// src/core/router implement it. No function throws; errors are returned or logged.
class Router {
 public:
  /// \param settings the initial settings; update_settings replaces them.
  /// \param zones names of zones; the settings refer to a zone by its index in this list.
  /// \param kinds names of machine kinds; the settings refer to a kind by its index in this list.
  /// \param seed the seed of the Scheduler's random numbers.
  /// \param clock must outlive the Router.
  /// \param transport makes the calls to nodes; must outlive the Router.
  Router(Settings settings, std::vector<std::string> zones, std::vector<std::string> kinds,
         std::uint64_t seed, const Clock& clock, NodeTransport& transport);
  ~Router();
  Router(const Router&) = delete;
  Router& operator=(const Router&) = delete;

  // ---- for discovery ----

  /// One endpoint of an endpoint list.
  using ListedNode = lemonroute::ListedNode;
  /// Applies a full endpoint list, or an incremental update of the list.
  void update_endpoints(EndpointListKind kind, std::uint32_t version, const std::vector<ListedNode>& listed);

  // ---- for operators ----

  /// Replaces the settings. Requests that were accepted before keep their class and their attempt limit.
  void update_settings(Settings settings, std::vector<std::string> zones, std::vector<std::string> kinds);
  /// The result of drain_node or undrain_node.
  using OverrideResult = lemonroute::OverrideResult;
  /// Stops new attempts to the node, whatever its listed state, until undrain_node is called.
  [[nodiscard]] OverrideResult drain_node(const std::string& node);
  /// Reverts drain_node.
  [[nodiscard]] OverrideResult undrain_node(const std::string& node);
  /// Reads the overrides from the file at `path` and stores every later change there. `lock` must outlive the
  /// Router.
  void load_overrides(std::string path, LockFile& lock);
  /// Reads the overrides file again if another process of this router has changed it.
  void reload_overrides();
  /// Returns the present metrics.
  [[nodiscard]] RouterMetrics metrics() const;
  /// Returns the name of a listed node, or "" if the id is not listed.
  [[nodiscard]] std::string endpoint_name(EndpointId id) const;
  /// Calls `observer` with each choice that the Scheduler makes, before the choice takes effect. An empty
  /// function removes the observer.
  void set_choice_observer(std::function<void(const Choice&)> observer);

  // ---- for peers: the routers of the fleet ----

  /// Applies `fleet_view` on top of the endpoint list from now on. With null, only the list and the
  /// operators' overrides apply.
  void set_fleet_view(std::shared_ptr<const FleetView> fleet_view);
  /// Sets the observer that receives this router's observations of nodes; null removes it. The observer must
  /// outlive the Router or be replaced before it is destroyed.
  void set_node_observer(NodeObserver* observer);

  // ---- for fronts ----

  /// The result of submit.
  enum class SubmitResult {
    accepted,       ///< the request is open and the client will receive an answer
    unknown_class,  ///< the settings have no class of that name
    duplicate_id,   ///< a request with the same client id is open, here or at another process of this router
    shutting_down,  ///< the process ends too soon for this request; its client may send it elsewhere
  };
  /// Accepts a request. Unless the result is SubmitResult::accepted, nothing is kept and `client` is never
  /// called.
  /// \param client_request the request; the router copies what it needs.
  /// \param client receives the answer. It must live until the answer has ended or client_disconnected is
  /// called.
  /// \param id receives the id of the request before `client` is first called.
  [[nodiscard]] SubmitResult submit(const ClientRequest& client_request, Client& client, RequestId& id);
  /// Reports that the client has disconnected. Its Client is not called any more.
  void client_disconnected(RequestId id);
  /// Reports that the client can accept more data, after Client::on_data has returned false.
  void resume_stream(RequestId id);

  // ---- for another process of this router ----

  /// Sets the locks that keep the client ids of open requests unique over all processes of this router; null:
  /// none. They must outlive the Router. Call it before the first request.
  void set_request_id_locks(RequestIdLocks* locks);
  /// Passes each stream that is between two events to `transfer`, which returns whether it has sent the
  /// stream to the other process. The transfer stops at the first false; the remaining streams stay in this
  /// process.
  void transfer_streams(const std::function<bool(const TransferredStream&)>& transfer);
  /// Continues a stream that another process has transferred. Returns false if that is impossible; then
  /// `client` is not kept.
  /// \param stream the stream and its two connections.
  /// \param client receives the rest of the answer. It must live as long as in submit.
  /// \param id receives the id of the request before `client` is first called.
  [[nodiscard]] bool adopt_stream(const TransferredStream& stream, Client& client, RequestId& id);
  /// Returns what this process has learned about ready nodes, for the process that replaces it.
  [[nodiscard]] HandoverState handover_state() const;
  /// Applies what the previous process has learned.
  void apply_handover_state(const HandoverState& handover_state);
  /// Sets the time shortly after which the process ends. No request, open or accepted later, waits for its
  /// first event beyond that time.
  void set_shutdown_deadline(Micros at);
  /// Sets the time after which no request is accepted any more, because the process may be killed before the
  /// answer has ended.
  void set_acceptance_deadline(Micros at);

  // ---- for the serving loop ----

  /// Returns the time of the next timer, or nothing if there is none.
  [[nodiscard]] std::optional<Micros> next_timer() const;
  /// Runs all timers that are due, in the order of their times.
  void run_timers();
  /// Called after every change that may have moved next_timer or made the router idle. May be empty.
  std::function<void()> on_change;

  /// Returns the number of accepted requests that are not answered yet.
  [[nodiscard]] std::size_t open_request_count() const;
  /// Returns the number of nodes in the endpoint list.
  [[nodiscard]] std::size_t listed_node_count() const;
  /// Returns whether no request is open and no release of a reservation is pending.
  [[nodiscard]] bool idle() const;
  /// Returns the number of nodes that may receive new attempts.
  [[nodiscard]] std::size_t ready_node_count() const;

 private:
  struct Impl;
  std::unique_ptr<Impl> impl_;
};

}  // namespace lemonroute
