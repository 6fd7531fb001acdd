/// \file
/// The nodes of the endpoint list, and the polling of that list. Owns the record of each node. Used on the
/// serving thread only.
#pragma once

#include <cstdint>
#include <map>

#include "lemonroute/events.h"
#include "module/context.h"
#include "module/node.h"
#include "module/role_table.h"

namespace lemonroute::decisions {

/// Owns the records of all nodes and applies updates of the endpoint list to them.
class NodeRegistry {
 public:
  /// Id of the timer after which the endpoint list is polled. Timers of attempts have other ids.
  static constexpr std::uint32_t poll_timer_id = 0;

  /// Keeps the reference, which must outlive it.
  explicit NodeRegistry(Context& context) : context_(context) {}

  /// Applies an endpoint list update. A failed poll is repeated with backoff.
  void handle(const EndpointListUpdate& update);

  /// Handles the expiry of the poll timer: polls the endpoint list if the settings say that it is polled.
  void handle_poll_timer();

  /// Sets the role and the memory of each node from the current settings of its machine kind.
  void apply_machine_kinds();

  /// Returns all records by endpoint id.
  [[nodiscard]] const std::map<EndpointId, Node>& all() const { return nodes_; }

  /// Returns the record of a node, or null if there is none. The pointer is valid until the next endpoint
  /// list update.
  [[nodiscard]] const Node* find(EndpointId endpoint) const;
  /// The same, with write access.
  [[nodiscard]] Node* find(EndpointId endpoint);

  /// Returns a node's role; an unknown node counts as mixed.
  [[nodiscard]] Role role_of(EndpointId endpoint) const;

  /// Returns how many nodes of a role are ready.
  [[nodiscard]] double ready_nodes(Role role) const { return ready_nodes_[role]; }

 private:
  void poll_again_later();
  void apply_endpoint(const Endpoint& endpoint);
  void apply_machine_kind(Node& node) const;
  void count_ready_nodes();

  Context& context_;
  std::map<EndpointId, Node> nodes_;
  RoleTable<double> ready_nodes_;
  int failed_polls_in_a_row_ = 0;
};

}  // namespace lemonroute::decisions
