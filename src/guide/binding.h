// An extension with what it gives the serving loop and wants to hear from it. Extensions know neither
// FleetView nor NodeObserver: what their snapshot answers and what they hear is taken up by name.
#pragma once

#include <functional>
#include <memory>
#include <utility>
#include <vector>

#include "core/fleet_view.h"
#include "peers/extension.h"

namespace lemonroute::guide {

struct Binding {
  std::unique_ptr<peers::Extension> extension;
  std::unique_ptr<NodeObserver> observer;  // writes to the extension; null: it hears nothing
  std::function<std::shared_ptr<const FleetView>()>
      guide;  // its newest; another pointer where it has changed
};

// The FleetView of a snapshot that has any of overlay(node), cache_locations(session, shared),
// cache_lost_at(node).
template <class Snapshot>
class Says final : public FleetView {
 public:
  explicit Says(std::shared_ptr<const Snapshot> of) : of_(std::move(of)) {}
  NodeOverlay overlay(const Node& node) const override {
    if constexpr (requires(const Snapshot& s) { s.overlay(node); })
      return of_->overlay(node);
    else
      return {};
  }
  std::vector<CacheLocation> cache_locations(Key session, Key shared) const override {
    if constexpr (requires(const Snapshot& s) { s.cache_locations(session, shared); })
      return of_->cache_locations(session, shared);
    else
      return {};
  }
  Micros cache_lost_at(const Node& node) const override {
    if constexpr (requires(const Snapshot& s) { s.cache_lost_at(node); })
      return of_->cache_lost_at(node);
    else
      return {};
  }

 private:
  std::shared_ptr<const Snapshot> of_;
};

// The NodeObserver for an extension that has any of its functions.
template <class Extension>
class Hears final : public NodeObserver {
 public:
  explicit Hears(Extension& extension) : extension_(extension) {}
  void on_prefix_cached(const Node& node, Key session, Key shared, double tokens, double shared_tokens,
                        Micros now) override {
    if constexpr (requires(Extension & r) {
                    r.on_prefix_cached(node, session, shared, tokens, shared_tokens, now);
                  })
      extension_.on_prefix_cached(node, session, shared, tokens, shared_tokens, now);
  }
  void on_cache_hit(const Node& node, Key session, Key shared, double tokens, Micros now) override {
    if constexpr (requires(Extension & r) { r.on_cache_hit(node, session, shared, tokens, now); })
      extension_.on_cache_hit(node, session, shared, tokens, now);
  }
  void on_cache_lost(const Node& node, Micros now) override {
    if constexpr (requires(Extension & r) { r.on_cache_lost(node, now); })
      extension_.on_cache_lost(node, now);
  }
  void on_endpoints(const std::vector<Node>& nodes, Micros now) override {
    if constexpr (requires(Extension & r) { r.on_endpoints(nodes, now); })
      extension_.on_endpoints(nodes, now);
  }
  void on_demand(const Demand& demand, Micros now) override {
    if constexpr (requires(Extension & r) { r.on_demand(demand, now); })
      extension_.on_demand(demand, now);
  }

 private:
  Extension& extension_;
};

// `newest`: the snapshot of an extension, a std::shared_ptr<const Snapshot> that may be null.
template <class Extension, class Newest>
Binding binding_of(std::unique_ptr<Extension> extension, Newest newest) {
  using Pointer = std::invoke_result_t<Newest, const Extension&>;
  using Snapshot = std::remove_const_t<typename Pointer::element_type>;
  Binding binding;
  binding.observer = std::make_unique<Hears<Extension>>(*extension);
  binding.guide = [&at = *extension, newest, last = Pointer{},
                   said = std::shared_ptr<const FleetView>{}]() mutable {
    if (auto now = newest(at); now != last) {
      last = now;
      said = now ? std::make_shared<const Says<Snapshot>>(std::move(now)) : nullptr;
    }
    return said;
  };
  binding.extension = std::move(extension);
  return binding;
}

}  // namespace lemonroute::guide
