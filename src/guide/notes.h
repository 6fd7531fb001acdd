// What the serving loop tells the thread of the peers of nodes, through a bounded ring: a NodeObserver that
// writes it, and its reader, who repeats it to the observers there.
#pragma once

#include <atomic>
#include <boost/lockfree/spsc_queue.hpp>
#include <deque>
#include <functional>
#include <memory>
#include <unordered_map>
#include <vector>

#include "core/fleet_view.h"

namespace lemonroute::guide {

struct Note {
  enum Kind : std::uint8_t { kept, found, lost, listed, demand } kind = kept;
  EndpointId host = 0;
  Key session = 0, shared = 0;
  double tokens = 0, shared_tokens = 0;
  Micros now{};
  std::shared_ptr<const std::vector<Node>> nodes;
  NodeObserver::Demand asked;
};

class Notes final : public NodeObserver {
 public:
  static constexpr std::size_t room = 4096, most_urgent = 1024;

  // `wake` is called after what the others should know at once; the reader looks at the rest when it comes
  // by.
  explicit Notes(std::function<void()> wake) : wake_(std::move(wake)), ring_(room) {}

  // ---- on the serving loop ----
  void on_prefix_cached(const Node& node, Key session, Key shared, double tokens, double shared_tokens,
                        Micros now) override;
  void on_cache_hit(const Node& node, Key session, Key shared, double tokens, Micros now) override;
  void on_cache_lost(const Node& node, Micros now) override;
  void on_endpoints(const std::vector<Node>& nodes, Micros now) override;
  void on_demand(const Demand& demand, Micros now) override;

  // ---- on the thread of the peers ----
  void read(const std::vector<NodeObserver*>& to);
  std::uint64_t dropped() const { return dropped_; }

 private:
  bool write(const Note& note);
  bool write_urgent();
  void urgent(Note note);

  std::function<void()> wake_;
  boost::lockfree::spsc_queue<Note> ring_;
  std::deque<Note> urgent_;  // lists and losses that found the ring full; in order, before anything newer
  std::atomic<std::uint64_t> dropped_{0};
  // The reader's: of whom the notes speak.
  std::shared_ptr<const std::vector<Node>> nodes_;
  std::unordered_map<EndpointId, const Node*> by_id_;
};

}  // namespace lemonroute::guide
