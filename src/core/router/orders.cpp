#include <algorithm>

#include "base/log.h"
#include "core/router/parts.h"

namespace lemonroute {

void Router::retune(Settings settings, std::vector<std::string> zones, std::vector<std::string> kinds) {
  settings_ = std::move(settings);
  zones_ = std::move(zones);
  kinds_ = std::move(kinds);
  counts_.keep(settings_.classes);
  scheduler_.retune(live_settings());
  // The entries of the list tell zones and kinds by their places in the lists of names, which may be others
  // now.
  HostList list{ListKind::full, version_, {}};
  for (auto& [id, node] : known_) {
    place(node);
    list.hosts.push_back(node.entry);
  }
  put(std::move(list));
  tell_listed();
}

Router::Ordered Router::take_out(const std::string& node) {
  return order(node, true);
}
Router::Ordered Router::put_back(const std::string& node) {
  return order(node, false);
}

Router::Ordered Router::order(const std::string& node, bool out) {
  const bool listed =
      std::any_of(known_.begin(), known_.end(), [&](auto& one) { return one.second.name == node; });
  if (!listed && !bans_.out(node) && std::find(left_.begin(), left_.end(), node) == left_.end())
    return Ordered::never_listed;
  if (!bans_.change(node, out, clock_.now()))
    return Ordered::not_stored;
  logging::info() << "node " << node << (out ? " is out by hand" : " may serve again");
  lay_again();
  return Ordered::done;
}

void Router::keep_bans(std::string path, LockFile& lock) {
  bans_.keep_in(std::move(path), lock);
  lay_again();
}

void Router::refresh_bans() {
  if (!bans_.refresh())
    return;
  logging::info() << "nodes were taken out or put back at the other process of this router";
  lay_again();
}

Figures Router::figures() const {
  Figures figures{counts_.all(), sends_, open_, known_.size(), 0};
  const auto avoided = scheduler_.avoided(clock_.now());
  for (const auto& [id, node] : known_)
    if (bans_.out(node.name) || std::find(avoided.begin(), avoided.end(), id) != avoided.end())
      ++figures.unhealthy;
  return figures;
}

}  // namespace lemonroute
