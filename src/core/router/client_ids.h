/// \file
/// The ids that clients gave their requests and that no other request may use. Used on the serving thread
/// only.
#pragma once

#include <string>
#include <unordered_set>

#include "core/router/router_context.h"
#include "core/types.h"

namespace lemonroute {

/// Ensures that one request at a time has a client id, over all processes of this router: nodes identify a
/// request by it, so two open requests with one id would lead to attempts that nodes cannot distinguish.
class ClientIds {
 public:
  /// `context` must outlive this object.
  explicit ClientIds(const RouterContext& context) : context_(context) {}

  /// Sets the locks that exclude the other processes; null, which is also the default, if there are none.
  /// They must outlive this object or be replaced. Call it while no id is claimed.
  void set_locks(RequestIdLocks* locks) { locks_ = locks; }
  /// Claims the id for a request that was just received. Returns false if this or another process uses it.
  [[nodiscard]] bool claim(const std::string& id);
  /// Claims the id of a stream that another process transfers, which may still have the id locked. Returns
  /// false if a request of this process uses the id.
  [[nodiscard]] bool claim_transferred(const std::string& id);
  /// Releases an id that was claimed.
  void release(const std::string& id);
  /// Releases an id that was claimed once the node has had time to detect that the call of the request's last
  /// attempt was closed at `closed_at`. An attempt of another request with this id could otherwise reach a
  /// node first.
  void release_after_close(const std::string& id, Micros closed_at);

 private:
  const RouterContext& context_;
  std::unordered_set<std::string> claimed_;
  RequestIdLocks* locks_ = nullptr;
};

}  // namespace lemonroute
