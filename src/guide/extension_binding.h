/// \file
/// Connects a peers extension to the serving loop. An extension implements neither FleetView nor
/// NodeObserver: the adapters here call those functions of the extension and of its snapshot that have the
/// expected name and arguments, and supply defaults for those that are missing.
#pragma once

#include <functional>
#include <memory>
#include <utility>
#include <vector>

#include "core/fleet_view.h"
#include "peers/extension.h"

namespace lemonroute::guide {

/// An extension with its connections to the serving loop. Its functions are called on the peers' thread.
struct ExtensionBinding {
  /// The extension, which the binding owns.
  std::unique_ptr<peers::Extension> extension;
  /// Passes node events to the extension, which must outlive it; null: the extension gets no node events.
  std::unique_ptr<NodeObserver> observer;
  /// Returns the extension's newest view: a different pointer whenever the view has changed, or null where
  /// there is none yet. An empty function: the extension has no view.
  std::function<std::shared_ptr<const FleetView>()> fleet_view;
};

/// Adapts a snapshot to FleetView. The snapshot may have any of overlay(node),
/// cache_locations(session_key, shared_prefix_key) and cache_lost_at(node).
template <class Snapshot>
class SnapshotFleetView final : public FleetView {
 public:
  /// Shares ownership of the snapshot, which must not be null.
  explicit SnapshotFleetView(std::shared_ptr<const Snapshot> snapshot) : snapshot_(std::move(snapshot)) {}
  /// Returns the overlay that the snapshot has for the node; an empty one if the function is missing.
  NodeOverlay overlay(const Node& node) const override {
    if constexpr (requires(const Snapshot& s) { s.overlay(node); })
      return snapshot_->overlay(node);
    else
      return {};
  }
  /// Returns the locations that the snapshot has for the keys; none if the function is missing.
  std::vector<CacheLocation> cache_locations(Key session_key, Key shared_prefix_key) const override {
    if constexpr (requires(const Snapshot& s) { s.cache_locations(session_key, shared_prefix_key); })
      return snapshot_->cache_locations(session_key, shared_prefix_key);
    else
      return {};
  }
  /// Returns the time of the node's last cache loss in the snapshot; 0 if the function is missing.
  Micros cache_lost_at(const Node& node) const override {
    if constexpr (requires(const Snapshot& s) { s.cache_lost_at(node); })
      return snapshot_->cache_lost_at(node);
    else
      return {};
  }

 private:
  std::shared_ptr<const Snapshot> snapshot_;
};

/// Passes node events to an extension, which may have any of the functions of NodeObserver.
template <class Extension>
class ExtensionObserver final : public NodeObserver {
 public:
  /// Keeps the reference; the extension must outlive the observer.
  explicit ExtensionObserver(Extension& extension) : extension_(extension) {}
  /// Passes the caching of a prompt's prefix to the extension.
  void on_prefix_cached(const Node& node, Key session_key, Key shared_prefix_key, double tokens,
                        double shared_tokens, Micros now) override {
    if constexpr (requires(Extension & e) {
                    e.on_prefix_cached(node, session_key, shared_prefix_key, tokens, shared_tokens, now);
                  })
      extension_.on_prefix_cached(node, session_key, shared_prefix_key, tokens, shared_tokens, now);
  }
  /// Passes the cached tokens that a node has counted to the extension.
  void on_cache_hit(const Node& node, Key session_key, Key shared_prefix_key, double tokens,
                    Micros now) override {
    if constexpr (requires(Extension & e) {
                    e.on_cache_hit(node, session_key, shared_prefix_key, tokens, now);
                  })
      extension_.on_cache_hit(node, session_key, shared_prefix_key, tokens, now);
  }
  /// Passes the loss of a node's cache to the extension.
  void on_cache_lost(const Node& node, Micros now) override {
    if constexpr (requires(Extension & e) { e.on_cache_lost(node, now); })
      extension_.on_cache_lost(node, now);
  }
  /// Passes a new endpoint list to the extension.
  void on_endpoints(const std::vector<Node>& nodes, Micros now) override {
    if constexpr (requires(Extension & e) { e.on_endpoints(nodes, now); })
      extension_.on_endpoints(nodes, now);
  }
  /// Passes a report of demand to the extension.
  void on_demand(const Demand& demand, Micros now) override {
    if constexpr (requires(Extension & e) { e.on_demand(demand, now); })
      extension_.on_demand(demand, now);
  }

 private:
  Extension& extension_;
};

/// Binds an extension.
/// \param extension the extension; the binding owns it.
/// \param newest_snapshot called with the extension, returns its newest snapshot: a
/// std::shared_ptr<const Snapshot> that may be null.
template <class Extension, class NewestSnapshot>
ExtensionBinding bind_extension(std::unique_ptr<Extension> extension, NewestSnapshot newest_snapshot) {
  using Pointer = std::invoke_result_t<NewestSnapshot, const Extension&>;
  using Snapshot = std::remove_const_t<typename Pointer::element_type>;
  ExtensionBinding binding;
  binding.observer = std::make_unique<ExtensionObserver<Extension>>(*extension);
  binding.fleet_view = [&bound = *extension, newest_snapshot, last_snapshot = Pointer{},
                        view = std::shared_ptr<const FleetView>{}]() mutable {
    if (auto snapshot = newest_snapshot(bound); snapshot != last_snapshot) {
      last_snapshot = snapshot;
      view = snapshot ? std::make_shared<const SnapshotFleetView<Snapshot>>(std::move(snapshot)) : nullptr;
    }
    return view;
  };
  binding.extension = std::move(extension);
  return binding;
}

}  // namespace lemonroute::guide
