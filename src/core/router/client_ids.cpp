#include "core/router/client_ids.h"

namespace lemonroute {

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

void ClientIds::release(const std::string& id) {
  if (claimed_.erase(id) && locks_)
    locks_->unlock(id);
}

}  // namespace lemonroute
