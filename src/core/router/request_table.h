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

/// What a request keeps from the moment it is accepted, whatever the settings become.
struct AcceptedTerms {
  std::string request_class;              ///< name of the class
  std::uint32_t max_attempts = 1;         ///< the limit of attempts
  std::shared_ptr<RequestCounts> counts;  ///< of the class
};

/// Owns the requests that are open: not answered, or answered with an attempt still under way. Finds them by
/// the router's id and by the client's, and keeps their deadlines.
class RequestTable {
 public:
  /// The open requests by their ids.
  using Requests = std::unordered_map<RequestId, std::unique_ptr<RequestState>>;

  /// Returns the request, or null if it is not open.
  [[nodiscard]] RequestState* find(RequestId id);
  /// Returns the request, or null if it is not open.
  [[nodiscard]] const RequestState* find(RequestId id) const;
  /// Returns whether a request with this id of the client's is open.
  [[nodiscard]] bool has_client_id(const std::string& client_id) const;
  /// Returns all open requests.
  [[nodiscard]] const Requests& all() const { return requests_; }
  /// Returns whether no request is open.
  [[nodiscard]] bool empty() const { return requests_.empty(); }
  /// Returns the number of requests whose client waits for the end of its answer.
  [[nodiscard]] std::size_t waiting_clients() const { return waiting_clients_; }

  /// Adds a request whose client id is not open. The table owns it until erase; `client` must live until
  /// close_client.
  RequestState& add(const Prompt& prompt, Client& client, AcceptedTerms terms);
  /// Sets the deadline, or the shutdown deadline if that is earlier.
  void set_deadline(RequestState& request, Micros deadline);
  /// From now on no deadline is later than `at`, neither of an open request nor of a later one.
  void set_shutdown_deadline(Micros at);
  /// The client hears nothing more: its request is answered, or it has disconnected. Call it once a request.
  void close_client(RequestState& request);
  /// Destroys the request and its attempt.
  void erase(RequestId id);

  /// Notes that an event or an action has concerned this request, so that it may have finished.
  void mark_touched(RequestId id) { touched_.push_back(id); }
  /// Returns the requests that were marked since the last call, in that order, some of them repeatedly.
  [[nodiscard]] std::vector<RequestId> take_touched();

 private:
  Requests requests_;
  std::unordered_map<std::string, RequestId> requests_by_client_id_;
  std::vector<RequestId> touched_;
  std::size_t waiting_clients_ = 0;
  std::optional<Micros> shutdown_deadline_;
};

}  // namespace lemonroute
