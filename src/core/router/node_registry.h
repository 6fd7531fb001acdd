/// \file
/// The nodes that this router knows, as the endpoint list, the operators and its peers describe them. Used on
/// the serving thread only. Times are on the core's clock.
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

/// One endpoint as discovery lists it.
struct ListedNode {
  std::string name;        ///< identifies the node
  std::string address;     ///< the address for the node transport; empty: as it was listed before
  std::string zone;        ///< name of the zone
  std::string kind;        ///< name of the machine kind
  std::uint16_t cell = 0;  ///< number of the cell that the node is in
  EndpointState state = EndpointState::ready;  ///< what discovery says of the node
  float weight = 1;                            ///< as listed; no decision uses it
  Micros started_at{};                         ///< start of the node's process; 0: long ago
};

/// What became of an operator's override.
enum class OverrideResult {
  applied,
  unknown_node,  ///< discovery has not listed a node of that name, as far as is remembered
  not_stored,    ///< the file of overrides could not be written; nothing has changed
};

/// When attempts and calls last showed that a node answers, or that it does not. 0: never.
struct LastContact {
  Micros last_answer{};   ///< when the node last answered
  Micros last_failure{};  ///< when a call to it last failed
};

/// Owns the endpoint list, the operators' overrides and the fleet view that are laid over it, and the last
/// contact with each node. It tells nobody: its owner puts the updates it returns to the Scheduler.
class NodeRegistry {
 public:
  /// `settings` and `clock` outlive this object. Zones and machine kinds are numbered by their places in
  /// `zones` and `kinds`.
  NodeRegistry(const Settings& settings, std::vector<std::string> zones, std::vector<std::string> kinds,
               const Clock& clock);

  // ---- the endpoint list ----

  /// Takes a list, or changes of one, and forgets nodes that were removed.
  [[nodiscard]] EndpointListUpdate update(EndpointListKind kind, std::uint32_t version,
                                          const std::vector<ListedNode>& listed);
  /// Renumbers zones and machine kinds and returns the whole list.
  [[nodiscard]] EndpointListUpdate renumber(std::vector<std::string> zones, std::vector<std::string> kinds);

  /// Returns all listed nodes.
  [[nodiscard]] const std::map<EndpointId, Node>& all() const { return known_nodes_; }
  /// Returns the node, or null if the list does not name it.
  [[nodiscard]] const Node* find(EndpointId id) const;
  /// Returns the node of this name, or null if the list does not name it.
  [[nodiscard]] const Node* find(const std::string& name) const;
  /// Returns the name of a listed node, "" for any other.
  [[nodiscard]] std::string name_of(EndpointId id) const;
  /// Returns the id that a node of this name has, or would get if it were listed now.
  [[nodiscard]] EndpointId id_of(const std::string& name) const;
  /// Returns the role of the node's machine kind, Role::mixed if either is unknown.
  [[nodiscard]] Role role_of(EndpointId id) const;
  /// Returns whether the node is listed and neither draining nor removed.
  [[nodiscard]] bool is_ready(EndpointId id) const;
  /// Returns the number of nodes that get new attempts.
  [[nodiscard]] std::size_t ready_nodes() const;
  /// Keeps the node's latest load report, in the node's own words. Does nothing for an unlisted node.
  void record_load_report(EndpointId id, std::string load_report, Micros reported_at);

  // ---- overrides of operators ----

  /// Drains the node whatever discovery lists, until undrain. Changes no entry of the list by itself: call
  /// refresh_overlays afterwards.
  [[nodiscard]] OverrideResult drain(const std::string& name);
  /// Ends what drain has begun, in the same way.
  [[nodiscard]] OverrideResult undrain(const std::string& name);
  /// Reads the overrides from a file and stores them there from now on. `lock` outlives this object.
  void load_overrides(std::string path, LockFile& lock);
  /// Reads the file again if another process has changed it; returns whether it has.
  [[nodiscard]] bool reload_overrides();
  /// Returns whether an override drains the node.
  [[nodiscard]] bool is_drained_by_operator(const std::string& name) const;

  // ---- the fleet view ----

  /// Replaces the fleet view; null: none. Call refresh_overlays afterwards.
  void set_fleet_view(std::shared_ptr<const FleetView> fleet_view);
  /// Returns the settings with the router count of the fleet view, where it has one.
  [[nodiscard]] Settings effective_settings() const;
  /// Records the cache losses that the fleet view tells of. Returns the nodes with a new one, by their ids.
  [[nodiscard]] std::vector<EndpointId> record_cache_losses();
  /// Returns where the fleet view knows parts of the prompt's KV cache, at listed nodes only.
  [[nodiscard]] std::vector<CacheHint> cache_hints(Key session_key, Key shared_prefix_key) const;
  /// Lays overrides and fleet view over the list again. Returns the entries that have changed.
  [[nodiscard]] EndpointListUpdate refresh_overlays();
  /// Returns whether what the fleet view says of some node has expired since the last refresh_overlays.
  [[nodiscard]] bool overlay_expired() const { return clock_.now() >= overlay_expires_at_; }

  // ---- last contact ----

  /// Records that the node has answered now. Does nothing for an unlisted node.
  void record_answer(EndpointId id);
  /// Records that a call to the node has failed now. Does nothing for an unlisted node.
  void record_failure(EndpointId id);
  /// Returns whether the node has failed at the last contact.
  [[nodiscard]] bool suspected(EndpointId id) const;
  /// Returns whether the node has answered at `since` or later, and not failed after it.
  [[nodiscard]] bool has_answered_since(EndpointId id, Micros since) const;
  /// Returns the time of the last answer; nothing if there was no contact at all.
  [[nodiscard]] std::optional<Micros> last_answer(EndpointId id) const;

 private:
  enum class Override { drained, none };
  [[nodiscard]] OverrideResult set_override(const std::string& name, Override wanted);
  void store(const ListedNode& listed);
  void log_update(const EndpointListUpdate& update) const;
  void erase_removed();
  void assign_zone_and_kind(Node& node) const;
  bool apply_overlay(Node& node);

  const Settings& settings_;
  const Clock& clock_;
  std::vector<std::string> zones_, kinds_;
  std::map<EndpointId, Node> known_nodes_;
  std::unordered_map<std::string, EndpointId> endpoint_ids_;
  std::deque<std::string> removed_node_names_;  // the latest at the back
  std::uint32_t list_version_ = 0;
  AdminOverrides admin_overrides_;
  std::shared_ptr<const FleetView> fleet_view_;
  Micros overlay_expires_at_ = Micros::max();
  std::map<EndpointId, LastContact> last_contact_;
};

}  // namespace lemonroute
