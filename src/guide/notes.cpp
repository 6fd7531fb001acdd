#include "guide/notes.h"

#include <algorithm>

namespace lemonroute::guide {

bool Notes::write_urgent() {
  while (!urgent_.empty() && ring_.push(urgent_.front()))
    urgent_.pop_front();
  return urgent_.empty();
}

bool Notes::write(const Note& note) {
  if (write_urgent() && ring_.push(note))
    return true;
  dropped_.fetch_add(1, std::memory_order_relaxed);
  return false;
}

// Guards against a list or a loss that gets lost because the reader is slow: a note about a node that the
// reader does not know would mean nothing, and a loss it never hears of leaves credit for texts that are
// gone.
void Notes::urgent(Note note) {
  if (!write_urgent() || !ring_.push(note)) {
    // An older list says nothing that the newer one does not.
    if (note.kind == Note::listed)
      std::erase_if(urgent_, [](const Note& one) { return one.kind == Note::listed; });
    if (urgent_.size() < most_urgent)
      urgent_.push_back(std::move(note));
    else
      dropped_.fetch_add(1, std::memory_order_relaxed);
  }
  wake_();
}

void Notes::on_prefix_cached(const Node& node, Key session, Key shared, double tokens, double shared_tokens,
                             Micros now) {
  write({Note::kept, node.id, session, shared, tokens, shared_tokens, now, nullptr, {}});
}
void Notes::on_cache_hit(const Node& node, Key session, Key shared, double tokens, Micros now) {
  write({Note::found, node.id, session, shared, tokens, 0, now, nullptr, {}});
}
void Notes::on_cache_lost(const Node& node, Micros now) {
  urgent({Note::lost, node.id, 0, 0, 0, 0, now, nullptr, {}});
}
void Notes::on_endpoints(const std::vector<Node>& nodes, Micros now) {
  urgent({Note::listed, 0, 0, 0, 0, 0, now, std::make_shared<const std::vector<Node>>(nodes), {}});
}
void Notes::on_demand(const Demand& demand, Micros now) {
  write({Note::demand, 0, 0, 0, 0, 0, now, nullptr, demand});
}

void Notes::read(const std::vector<NodeObserver*>& to) {
  Note note;
  // A ring's worth at the most: the writer may be faster than this.
  for (std::size_t i = 0; i < room && ring_.pop(note); ++i) {
    if (note.kind == Note::listed) {
      nodes_ = note.nodes;
      by_id_.clear();
      for (const auto& node : *nodes_)
        by_id_[node.id] = &node;
    }
    const auto found = by_id_.find(note.host);
    const Node* node = found == by_id_.end() ? nullptr : found->second;
    for (NodeObserver* observer : to) {
      switch (note.kind) {
        case Note::kept:
          if (node)
            observer->on_prefix_cached(*node, note.session, note.shared, note.tokens, note.shared_tokens,
                                       note.now);
          break;
        case Note::found:
          if (node)
            observer->on_cache_hit(*node, note.session, note.shared, note.tokens, note.now);
          break;
        case Note::lost:
          if (node)
            observer->on_cache_lost(*node, note.now);
          break;
        case Note::listed:
          observer->on_endpoints(*note.nodes, note.now);
          break;
        case Note::demand:
          observer->on_demand(note.asked, note.now);
          break;
      }
    }
  }
}

}  // namespace lemonroute::guide
