// An extension with what it gives the serving loop and wants to hear from it. Extensions know neither Guide
// nor NodeObserver: what their snapshot answers and what they hear is taken up by name.
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

// The Guide of a snapshot that has any of lay(node), kept(session, shared), lost(node).
template <class Snapshot>
class Says final : public FleetView {
 public:
  explicit Says(std::shared_ptr<const Snapshot> of) : of_(std::move(of)) {}
  NodeOverlay overlay(const Node& node) const override {
    if constexpr (requires(const Snapshot& s) { s.lay(node); })
      return of_->lay(node);
    else
      return {};
  }
  std::vector<CacheLocation> cache_locations(Key session, Key shared) const override {
    if constexpr (requires(const Snapshot& s) { s.kept(session, shared); })
      return of_->kept(session, shared);
    else
      return {};
  }
  Micros cache_lost_at(const Node& node) const override {
    if constexpr (requires(const Snapshot& s) { s.lost(node); })
      return of_->lost(node);
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
    if constexpr (requires(Extension & r) { r.kept(node, session, shared, tokens, shared_tokens, now); })
      extension_.kept(node, session, shared, tokens, shared_tokens, now);
  }
  void on_cache_hit(const Node& node, Key session, Key shared, double tokens, Micros now) override {
    if constexpr (requires(Extension & r) { r.found(node, session, shared, tokens, now); })
      extension_.found(node, session, shared, tokens, now);
  }
  void on_cache_lost(const Node& node, Micros now) override {
    if constexpr (requires(Extension & r) { r.lost(node, now); })
      extension_.lost(node, now);
  }
  void on_endpoints(const std::vector<Node>& nodes, Micros now) override {
    if constexpr (requires(Extension & r) { r.listed(nodes, now); })
      extension_.listed(nodes, now);
  }
  void on_demand(const Demand& demand, Micros now) override {
    if constexpr (requires(Extension & r) { r.demand(demand, now); })
      extension_.demand(demand, now);
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
