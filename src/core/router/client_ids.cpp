#include "core/router/client_ids.h"

namespace lemonroute {

namespace {

// Within this time also a busy node has detected that a call to it was closed.
constexpr Micros close_detection_time = std::chrono::milliseconds(100);

}  // namespace

bool ClientIds::claim(const std::string& id) {
  if (claimed_.contains(id) || (locks_ && !locks_->lock(id)))
    return false;
  claimed_.insert(id);
  return true;
}

bool ClientIds::claim_transferred(const std::string& id) {
  if (!claimed_.insert(id).second)
    return false;
  if (locks_)
    locks_->lock_transferred(id);
  return true;
}

void ClientIds::release_after_close(const std::string& id, Micros closed_at) {
  const Micros release_at = closed_at + close_detection_time;
  if (context_.now() >= release_at)
    return release(id);
  context_.timers.add(release_at, [this, id] { release(id); });
}

void ClientIds::release(const std::string& id) {
  if (claimed_.erase(id) && locks_)
    locks_->unlock(id);
}

}  // namespace lemonroute
