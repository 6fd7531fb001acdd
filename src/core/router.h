/// \file
/// The core of the router in service. It puts events to the Scheduler and carries its actions out between
/// clients and nodes. It decides nothing and knows no protocol. Used on the serving thread only; all times
/// are on the Clock that it is given.
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
/// src/core/router implement it. Nothing here throws; errors are returned or logged.
class Router {
 public:
  /// \param settings the settings until update_settings.
  /// \param zones names of zones; the settings number them by their places.
  /// \param kinds names of machine kinds; the settings number them by their places.
  /// \param seed the Scheduler's.
  /// \param clock outlives the Router.
  /// \param transport makes the calls to nodes; outlives the Router.
  Router(Settings settings, std::vector<std::string> zones, std::vector<std::string> kinds,
         std::uint64_t seed, const Clock& clock, NodeTransport& transport);
  ~Router();
  Router(const Router&) = delete;
  Router& operator=(const Router&) = delete;

  // ---- for discovery ----

  /// One endpoint as discovery lists it.
  using ListedNode = lemonroute::ListedNode;
  /// Takes an endpoint list, or changes of one.
  void update_endpoints(EndpointListKind kind, std::uint32_t version, const std::vector<ListedNode>& listed);

  // ---- for operators ----

  /// Replaces the settings. Requests that were accepted keep their class and their attempt limit.
  void update_settings(Settings settings, std::vector<std::string> zones, std::vector<std::string> kinds);
  /// The effect of drain_node or undrain_node.
  using OverrideResult = lemonroute::OverrideResult;
  /// Sends no new attempts to the node, whatever discovery lists, until undrain_node.
  [[nodiscard]] OverrideResult drain_node(const std::string& node);
  /// Ends what drain_node has begun.
  [[nodiscard]] OverrideResult undrain_node(const std::string& node);
  /// Reads the overrides from a file and stores them there from now on. `lock` outlives the Router.
  void load_overrides(std::string path, LockFile& lock);
  /// Reads the file again if another process of this router has changed it.
  void reload_overrides();
  /// Returns the metrics of this moment.
  [[nodiscard]] RouterMetrics metrics() const;
  /// Returns the name of a listed node, "" for any other.
  [[nodiscard]] std::string endpoint_name(EndpointId id) const;
  /// Calls `observer` with each choice of the Scheduler's, before what follows from it; an empty one ends
  /// that.
  void set_choice_observer(std::function<void(const Choice&)> observer);

  // ---- for peers: the routers of the fleet ----

  /// Lays `fleet_view` over the endpoint list from now on; with null, only the list and the overrides of
  /// operators count.
  void set_fleet_view(std::shared_ptr<const FleetView> fleet_view);
  /// Reports to `observer` what this router sees of nodes; null ends that. The observer outlives the Router,
  /// or is replaced before it is destroyed.
  void set_node_observer(NodeObserver* observer);

  // ---- for fronts ----

  /// The effect of submit.
  enum class SubmitResult {
    accepted,       ///< the client will be answered
    unknown_class,  ///< the settings name no such class
    duplicate_id,   ///< a request with the same client id is open
  };
  /// Accepts a request. Without SubmitResult::accepted, nothing is kept and `client` hears nothing.
  /// \param client_request is copied as far as it is needed.
  /// \param client hears the answer. It lives until the answer has ended or client_disconnected was called.
  /// \param id is set before `client` hears anything.
  [[nodiscard]] SubmitResult submit(const ClientRequest& client_request, Client& client, RequestId& id);
  /// The client has disconnected: it hears nothing more.
  void client_disconnected(RequestId id);
  /// The client can take more data, after Client::on_data has returned false.
  void resume_stream(RequestId id);

  // ---- for another process of this router ----

  /// Offers each stream that stands between two events to `transfer`, which returns whether it has sent the
  /// stream to the other process. The first refusal ends the transfer; the other streams stay.
  void transfer_streams(const std::function<bool(const TransferredStream&)>& transfer);
  /// Goes on with a stream that another process has transferred. Returns false if that is impossible; then
  /// `client` is not kept.
  /// \param stream the stream and its two connections.
  /// \param client hears the rest of the answer. It lives as in submit.
  /// \param id is set before `client` hears anything.
  [[nodiscard]] bool adopt_stream(const TransferredStream& stream, Client& client, RequestId& id);
  /// Returns what this process has learned of ready nodes, for the process that replaces it.
  [[nodiscard]] HandoverState handover_state() const;
  /// Applies what the process before this one has learned.
  void apply_handover_state(const HandoverState& handover_state);
  /// The process ends soon after `at`: no request, open or accepted later, waits longer for its first event.
  void set_shutdown_deadline(Micros at);

  // ---- for the serving loop ----

  /// Returns the time of the next timer, or nothing without one.
  [[nodiscard]] std::optional<Micros> next_timer() const;
  /// Runs the timers whose time has come, in the order of their times.
  void run_timers();
  /// Is called after anything that may have moved next_timer or made the router idle.
  std::function<void()> on_change;

  /// Returns the number of requests that were accepted and are not answered.
  [[nodiscard]] std::size_t open_requests() const;
  /// Returns the number of nodes in the endpoint list.
  [[nodiscard]] std::size_t known_nodes() const;
  /// Returns whether no request is open and no release is pending.
  [[nodiscard]] bool idle() const;
  /// Returns the number of nodes that get new attempts.
  [[nodiscard]] std::size_t ready_nodes() const;

 private:
  struct Parts;
  std::unique_ptr<Parts> parts_;
};

}  // namespace lemonroute
