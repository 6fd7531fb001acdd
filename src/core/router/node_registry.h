/// \file
/// The nodes that this router knows from the endpoint list, from operators and from its peers. Used on the
/// serving thread only. Times are on the core's clock.
#pragma once

#include <cstdint>
#include <deque>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

#include "core/admin_overrides.h"
#include "core/fleet_view.h"
#include "core/types.h"

namespace lemonroute {

/// One endpoint of an endpoint list.
struct ListedNode {
  std::string name;     ///< identifies the node
  std::string address;  ///< the address for the node transport; empty: unchanged since the previous list
  std::string zone;     ///< name of the zone; empty: unknown
  std::string kind;     ///< name of the machine kind
  std::uint16_t cell = unknown_cell;           ///< number of the cell that the node is in
  EndpointState state = EndpointState::ready;  ///< the state in the list
  float weight = 1;                            ///< the weight in the list; no decision uses it
  Micros started_at{};                         ///< start of the node's process; 0: long ago
};

/// The result of an operator's override.
enum class OverrideResult {
  applied,       ///< the override is stored and in force
  unknown_node,  ///< no node of that name is listed, drained or among the recently removed ones
  not_stored,    ///< the overrides file could not be written; nothing has changed
};

/// The times at which a node last answered an attempt or call, or last failed to. 0: never.
struct LastContact {
  Micros last_answer{};   ///< when the node last answered
  Micros last_failure{};  ///< when a call to it last failed
};

/// Holds the endpoint list, the operators' overrides and the fleet view that modify it, and the last contact
/// with each node. Does not notify the Scheduler: the owner passes on the updates that the functions return.
class NodeRegistry {
 public:
  /// `settings` and `clock` must outlive this object. The indexes of zones and machine kinds refer to `zones`
  /// and `kinds`.
  NodeRegistry(const Settings& settings, std::vector<std::string> zones, std::vector<std::string> kinds,
               const Clock& clock);

  // ---- the endpoint list ----

  /// Applies a full list or an incremental update, and erases nodes that were removed. Returns the entries to
  /// pass to the Scheduler.
  [[nodiscard]] EndpointListUpdate update(EndpointListKind kind, std::uint32_t version,
                                          const std::vector<ListedNode>& listed);
  /// Replaces the lists of zones and machine kinds, and returns all endpoints with their new indexes.
  [[nodiscard]] EndpointListUpdate set_zones_and_kinds(std::vector<std::string> zones,
                                                       std::vector<std::string> kinds);

  /// Returns all listed nodes.
  [[nodiscard]] const std::map<EndpointId, Node>& all() const { return known_nodes_; }
  /// Returns the node, or null if it is not listed.
  [[nodiscard]] const Node* find(EndpointId id) const;
  /// Returns the node of this name, or null if it is not listed.
  [[nodiscard]] const Node* find(const std::string& name) const;
  /// Returns the name of a listed node, or "" if the id is not listed.
  [[nodiscard]] std::string name_of(EndpointId id) const;
  /// Returns the id of the node of this name, or the id that it would get if it were listed now.
  [[nodiscard]] EndpointId id_of(const std::string& name) const;
  /// Returns the role of the node's machine kind, or Role::mixed if the node or its kind is unknown.
  [[nodiscard]] Role role_of(EndpointId id) const;
  /// Returns whether the node is listed and neither draining nor removed.
  [[nodiscard]] bool is_ready(EndpointId id) const;
  /// Returns the number of nodes that may receive new attempts.
  [[nodiscard]] std::size_t ready_node_count() const;
  /// Stores the node's latest load report, as the node sent it. Does nothing for an unlisted node.
  void record_load_report(EndpointId id, std::string load_report, Micros reported_at);

  // ---- overrides of operators ----

  /// Drains the node, whatever its listed state, until undrain. Does not update the list's entries: call
  /// refresh_overlays afterwards.
  [[nodiscard]] OverrideResult drain(const std::string& name);
  /// Reverts drain. Call refresh_overlays afterwards.
  [[nodiscard]] OverrideResult undrain(const std::string& name);
  /// Reads the overrides from the file at `path` and stores every later change there. `lock` must outlive
  /// this object.
  void load_overrides(std::string path, LockFile& lock);
  /// Reads the overrides file again if another process has changed it. Returns whether overrides were loaded.
  [[nodiscard]] bool reload_overrides();
  /// Returns whether an operator has drained the node.
  [[nodiscard]] bool is_drained_by_operator(const std::string& name) const;

  // ---- the fleet view ----

  /// Replaces the fleet view; null: none. Call refresh_overlays afterwards.
  void set_fleet_view(std::shared_ptr<const FleetView> fleet_view);
  /// Returns the settings, with the router count of the fleet view if it has one.
  [[nodiscard]] Settings effective_settings() const;
  /// Records the cache losses in the fleet view. Returns the ids of the nodes with a new loss.
  [[nodiscard]] std::vector<EndpointId> record_cache_losses();
  /// Returns the listed nodes that have parts of the prompt's KV cache according to the fleet view.
  [[nodiscard]] std::vector<CacheHint> cache_hints(Key session_key, Key shared_prefix_key) const;
  /// Applies overrides and fleet view to the list again. Returns the entries that have changed.
  [[nodiscard]] EndpointListUpdate refresh_overlays();
  /// Returns whether the fleet view's overlay of any node has expired since the last refresh_overlays.
  [[nodiscard]] bool overlay_expired() const { return clock_.now() >= overlay_expires_at_; }

  // ---- last contact ----

  /// Records that the node has answered now. Does nothing for an unlisted node.
  void record_answer(EndpointId id);
  /// Records that a call to the node has failed now. Does nothing for an unlisted node.
  void record_failure(EndpointId id);
  /// Returns whether the last contact with the node was a failure.
  [[nodiscard]] bool failed_at_last_contact(EndpointId id) const;
  /// Returns whether the node has answered at `since` or later and has not failed after that answer.
  [[nodiscard]] bool has_answered_since(EndpointId id, Micros since) const;
  /// Returns the time of the last answer (0: none), or nothing if there was no contact at all.
  [[nodiscard]] std::optional<Micros> last_answer(EndpointId id) const;

 private:
  enum class Override { drained, none };
  [[nodiscard]] OverrideResult set_override(const std::string& name, Override wanted);
  void store(const ListedNode& listed);
  void log_update(const EndpointListUpdate& update) const;
  void erase_removed();
  void assign_zone_and_kind(Node& node);
  [[nodiscard]] std::uint8_t zone_index(const std::string& name);
  [[nodiscard]] bool is_zone_in_use(const std::string& name) const;
  bool apply_overlay(Node& node);

  const Settings& settings_;
  const Clock& clock_;
  std::size_t configured_zone_count_;
  std::vector<std::string> zones_;  // the configured ones, then those that only the endpoint list names
  std::vector<std::string> kinds_;
  std::map<EndpointId, Node> known_nodes_;
  std::unordered_map<std::string, EndpointId> endpoint_ids_;
  std::deque<std::string> removed_node_names_;  // the most recently removed at the back
  std::uint32_t list_version_ = 0;
  AdminOverrides admin_overrides_;
  std::shared_ptr<const FleetView> fleet_view_;
  Micros overlay_expires_at_ = Micros::max();
  std::map<EndpointId, LastContact> last_contact_;
};

}  // namespace lemonroute
