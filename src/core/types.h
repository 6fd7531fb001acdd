/// \file
/// The interfaces between the core and its neighbours: fronts, which serve clients, the node transport, and
/// discovery. Nothing here depends on a protocol. Everything is used on the serving thread only, and no
/// function of an interface may block. All times are on the core's clock.
#pragma once

#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "lemonroute/scheduler.h"

namespace lemonroute {

/// The core's clock. It never goes back.
class Clock {
 public:
  virtual ~Clock() = default;
  /// Returns the time since the Unix epoch.
  virtual Micros now() const = 0;
};

/// A Clock that is set by the system's clock when it is made, since nodes state the start of their processes
/// in that one, and goes on at the rate of the steady clock, whatever becomes of the system's.
class SystemClock : public Clock {
 public:
  /// \param error how far the clock is ahead of the system's; other than 0 in tests only.
  explicit SystemClock(Micros error = {})
      : offset_(std::chrono::duration_cast<Micros>(std::chrono::system_clock::now().time_since_epoch() -
                                                   std::chrono::steady_clock::now().time_since_epoch()) +
                error) {}
  Micros now() const override {
    return offset_ + std::chrono::duration_cast<Micros>(std::chrono::steady_clock::now().time_since_epoch());
  }

 private:
  Micros offset_;
};

/// What is sent to a node. It is the same at every attempt of a request.
struct Prompt {
  std::string id;                           ///< the client's id of the request
  std::string target;                       ///< the path of the client's request
  std::shared_ptr<const std::string> body;  ///< shared with the attempts
  std::string extra_headers = {};           ///< further header fields for the node, each "Name: value\r\n"
};

/// A request as a client has made it.
struct ClientRequest {
  Prompt prompt;              ///< what is sent to nodes
  std::string request_class;  ///< name of the class
  std::string tenant;         ///< name of the tenant
  Key session_key = 0;        ///< key of the session; 0: none
  Key shared_prefix_key = 0;  ///< key of the prefix that the prompt shares with others; 0: none
  Micros time_budget{};       ///< how long the client waits for the first event; 0: the class's deadline
  double prompt_tokens = 0;   ///< length of the prompt
  double shared_prefix_tokens = 0;  ///< length of the shared prefix
  double max_output_tokens = 0;     ///< most tokens that the answer may have
  bool is_retry = false;            ///< the client has sent the request before
  bool is_resumed = false;          ///< the client resumes a stream that broke off
};

/// Why a request has failed.
enum class FailureReason {
  timed_out,    ///< no event has arrived before the client's deadline
  not_retried,  ///< the Scheduler has ended the request
  bad_request,  ///< a node cannot use the request as the client made it
};

/// Returns the key of a text: the number that it writes in hexadecimal digits, or else its hash. 0 for "".
Key key_from_text(std::string_view text);
/// Returns a hash of the text that is the same in every process and on every machine.
std::uint64_t hash_text(std::string_view text);
/// Returns whether nodes accept the text as the id of a request: 1 to 128 letters, digits, '-' and '_'.
bool is_valid_request_id(std::string_view id);

/// A connection on which another process of this router can go on.
struct TransferredConnection {
  int fd = -1;                        ///< the socket; who holds this struct does not own it
  bool close_after_response = false;  ///< the connection closes once the answer under way is complete
};
/// A stream under way that another process of this router can go on with.
struct TransferredStream {
  std::string id;                ///< the client's id of the request
  std::string request_class;     ///< name of the class that the request was accepted with
  std::string node;              ///< name of the node that sends the stream
  std::uint16_t attempt = 0;     ///< number of the attempt within its request, from 0
  TransferredConnection client;  ///< the connection to the client
  TransferredConnection call;    ///< the connection to the node
};

/// What one process of this router has learned of a node, for a process that has just started.
struct NodeReport {
  std::string node;         ///< the node's name
  std::string load_report;  ///< the node's last load report in the node's words; empty: none, or too old
  Micros age{};             ///< time since the load report
  bool ejected = false;     ///< the node gets no requests, since attempts failed there
  double work_rate = 0;     ///< prompt tokens per microsecond that are sent to the node; 0: unknown
};
/// What one process of this router has learned of all nodes, for a process that has just started.
struct HandoverState {
  std::vector<NodeReport> nodes;                       ///< the ready nodes of which there is anything to tell
  std::vector<std::pair<Role, double>> prefill_rates;  ///< as in LearnedRates
};

/// The client of one request. A front implements it and owns it. Exactly one of finish, reject, fail and
/// abort_stream ends the answer; after that one, after on_transferred, and after Router::client_disconnected,
/// the core calls nothing more. No function may call Router::client_disconnected before it returns.
class Client {
 public:
  virtual ~Client() = default;
  /// One event of the answer's stream has arrived. Returns false if the client is slow: the node's data is
  /// then left unread until Router::resume_stream.
  virtual bool on_data(std::string_view data) = 0;
  /// The answer is complete.
  virtual void finish() = 0;
  /// The request has no effect and may be sent again, after `retry_after`; 0: at any time.
  virtual void reject(Micros retry_after) = 0;
  /// The request has failed before its first event.
  virtual void fail(FailureReason why) = 0;
  /// The stream broke off after its first event.
  virtual void abort_stream() = 0;
  /// Returns the connection for another process; nothing if that process could not go on with it at present.
  virtual std::optional<TransferredConnection> transferable_connection() { return std::nullopt; }
  /// Another process goes on with the connection.
  virtual void on_transferred() {}
};

/// A node as the core knows it.
struct Node {
  EndpointId id = 0;    ///< the number of the node within this router
  std::string name;     ///< the name in the endpoint list
  std::string address;  ///< the address for the node transport
  std::string zone;     ///< name of the zone
  std::string kind;     ///< name of the machine kind
  /// The node as the Scheduler sees it: the endpoint list with overrides and fleet view laid over it.
  Endpoint endpoint;
  EndpointState listed_state = EndpointState::ready;  ///< the state in the endpoint list
  Micros listed_start{};      ///< the start of the node's process in the endpoint list; 0: long ago
  Micros cache_lost_at{};     ///< the last loss of its KV cache that other routers have told of; 0: none
  std::string load_report;    ///< the last load report, in the node's words; empty: none
  Micros load_reported_at{};  ///< when that report arrived
  /// Returns whether the node gets new attempts.
  bool ready() const { return endpoint.state == EndpointState::ready; }
};

/// How an attempt has ended at a node, or a health check.
struct AttemptResult {
  Outcome outcome = Outcome::error;  ///< what the Scheduler is told
  /// Prompt tokens that the node found in its cache. With Outcome::rejected_over_capacity, 1 means that the
  /// node has found no KV cache to decode from.
  std::uint32_t cached_tokens = 0;
  std::string load_report;   ///< the load report that came with the answer, in the node's words
  std::string detail;        ///< for the log
  bool bad_request = false;  ///< the request has not run, and would not run at any other node either
};

/// Hears of one attempt. The core implements it; it outlives the attempt's Call.
class AttemptHandler {
 public:
  virtual ~AttemptHandler() = default;
  /// The kernel has accepted the last byte of the request.
  virtual void on_request_written() = 0;
  /// One event of the answer's stream has arrived. The Call may be destroyed before this returns.
  virtual void on_data(std::string_view data) = 0;
  /// The attempt has ended. Comes once at most, never before start_attempt or adopt_stream has returned. The
  /// Call is destroyed before this returns.
  virtual void on_done(AttemptResult result) = 0;
};

/// A call to a node that is under way. Destroying it closes the call; its handler hears nothing more.
class Call {
 public:
  virtual ~Call() = default;
  /// Stops or resumes the reading of the answer, for a client that is slow.
  virtual void pause_reading(bool /*paused*/) {}
  /// Returns whether it is certain that nothing of the request was sent, and that nothing will be once the
  /// call is destroyed.
  virtual bool not_sent() const { return false; }
  /// Returns the connection for another process; nothing if that process could not go on with it at present.
  virtual std::optional<TransferredConnection> transferable_connection() { return std::nullopt; }
  /// Another process goes on with the connection; the call is destroyed without closing the stream.
  virtual void on_transferred() {}
};

/// Makes calls to nodes over one protocol. Errors arrive as results of the calls; nothing is thrown.
class NodeTransport {
 public:
  virtual ~NodeTransport() = default;
  /// Starts an attempt. Never returns null.
  /// \param node is copied as far as it is needed.
  /// \param prompt what is sent.
  /// \param time_budget how long the node may take to its first event; the node is told of it.
  /// \param attempt hears of the call and outlives it.
  virtual std::unique_ptr<Call> start_attempt(const Node& node, const Prompt& prompt, Micros time_budget,
                                              AttemptHandler& attempt) = 0;
  /// Asks the node to release whatever is reserved for the request of this client id. Never returns
  /// null. `done` hears whether the call has arrived; it comes once at most.
  virtual std::unique_ptr<Call> release_reservation(const Node& node, const std::string& id,
                                                    std::function<void(bool)> done) = 0;
  /// Makes a health check. Never returns null. `done` comes once at most.
  virtual std::unique_ptr<Call> probe(const Node& node, std::function<void(const AttemptResult&)> done) = 0;
  /// Goes on with a stream that another process has begun. Returns null if that is impossible; the socket is
  /// then still open and the caller's.
  virtual std::unique_ptr<Call> adopt_stream(const Node& /*node*/,
                                             const TransferredConnection& /*connection*/,
                                             AttemptHandler& /*attempt*/) {
    return nullptr;
  }
  /// Closes the connections to the node that no call uses.
  virtual void close_idle_connections(const Node& node) = 0;
  /// Limits of the connections to nodes.
  struct Limits {
    Micros connect_timeout{};               ///< how long it may take to open a connection
    Micros idle_timeout{};                  ///< after so long without a call, a connection is closed
    std::size_t max_idle_connections = 64;  ///< idle connections to all nodes together
  };
  /// Replaces the limits, from now on.
  virtual void set_limits(const Limits& limits) = 0;
};

}  // namespace lemonroute
