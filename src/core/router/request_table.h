/// \file
/// The open requests of one router. Used on the serving thread only. Times are on the core's clock.
#pragma once

#include <cstddef>
#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

#include "core/router/request_state.h"

namespace lemonroute {

/// Settings that are fixed for a request when it is accepted; later settings do not change them.
struct FixedRequestSettings {
  std::string request_class;              ///< name of the class
  std::uint32_t max_attempts = 1;         ///< the limit of attempts of the request
  std::shared_ptr<RequestCounts> counts;  ///< counters of the class
};

/// Owns the open requests: those that are not answered, and those whose attempt is still in progress. Finds
/// them by the router's id, and sets their deadlines.
class RequestTable {
 public:
  /// The open requests by the router's id.
  using Requests = std::unordered_map<RequestId, std::unique_ptr<RequestState>>;

  /// Returns the request, or null if it is not open.
  [[nodiscard]] RequestState* find(RequestId id);
  /// Returns the request, or null if it is not open.
  [[nodiscard]] const RequestState* find(RequestId id) const;
  /// Returns all open requests.
  [[nodiscard]] const Requests& all() const { return requests_; }
  /// Returns whether no request is open.
  [[nodiscard]] bool empty() const { return requests_.empty(); }
  /// Returns the number of requests whose client has not received the end of its answer.
  [[nodiscard]] std::size_t waiting_clients() const { return waiting_clients_; }

  /// Adds a request. ClientIds ensures that no other has its client id. The table owns the request until
  /// erase; `client` must live until close_client.
  RequestState& add(const Prompt& prompt, Client& client, FixedRequestSettings fixed_settings);
  /// Sets the request's deadline to `deadline` or to the shutdown deadline, whichever is earlier.
  void set_deadline(RequestState& request, Micros deadline);
  /// Limits the deadlines of all open and later requests to `at`.
  void set_shutdown_deadline(Micros at);
  /// Detaches the client from its request, which is answered or whose client has disconnected. Call it once
  /// per request.
  void close_client(RequestState& request);
  /// Destroys the request and its attempt.
  void erase(RequestId id);

  /// Records that an event or an action has affected this request, so that it may have finished.
  void mark_for_cleanup(RequestId id) { cleanup_candidates_.push_back(id); }
  /// Returns the requests that were marked since the last call, in that order and possibly with duplicates.
  [[nodiscard]] std::vector<RequestId> take_cleanup_candidates();

 private:
  Requests requests_;
  std::vector<RequestId> cleanup_candidates_;
  std::size_t waiting_clients_ = 0;
  std::optional<Micros> shutdown_deadline_;
};

}  // namespace lemonroute
