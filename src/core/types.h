/// \file
/// The interfaces between the core and the fronts, which serve clients, the node transport, and discovery.
/// They do not depend on a protocol. Everything is used on the serving thread only, and no function of an
/// interface may block. All times are on the core's clock.
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

/// The core's clock. It never goes backwards.
class Clock {
 public:
  virtual ~Clock() = default;
  /// Returns the time since the Unix epoch.
  virtual Micros now() const = 0;
};

/// A Clock that is set from the system clock at construction, since nodes report the start of their processes
/// in system time, and then advances with the steady clock, whatever adjustments the system clock gets.
class SystemClock : public Clock {
 public:
  /// \param skew how far this clock is ahead of the system clock; nonzero only in tests.
  explicit SystemClock(Micros skew = {})
      : offset_(std::chrono::duration_cast<Micros>(std::chrono::system_clock::now().time_since_epoch() -
                                                   std::chrono::steady_clock::now().time_since_epoch()) +
                skew) {}
  Micros now() const override {
    return offset_ + std::chrono::duration_cast<Micros>(std::chrono::steady_clock::now().time_since_epoch());
  }

 private:
  Micros offset_;
};

/// The content that is sent to a node. Every attempt of a request sends the same.
struct Prompt {
  std::string id;                           ///< the id that the client gave the request
  std::string target;                       ///< the request target (path) of the client's request
  std::shared_ptr<const std::string> body;  ///< the body, shared with the attempts
  std::string extra_headers = {};           ///< more header fields for the node, each "Name: value\r\n"
};

/// A request as received from a client.
struct ClientRequest {
  Prompt prompt;              ///< the content that is sent to nodes
  std::string request_class;  ///< name of the class
  std::string tenant;         ///< name of the tenant
  Key session_key = 0;        ///< key of the session; 0: none
  Key shared_prefix_key = 0;  ///< key of the prefix that the prompt shares with others; 0: none
  Micros time_budget{};       ///< how long the client waits for the first event; 0: the deadline of its class
  double prompt_tokens = 0;   ///< length of the prompt, in tokens
  double shared_prefix_tokens = 0;  ///< length of the shared prefix, in tokens
  double max_output_tokens = 0;     ///< maximum length of the answer, in tokens
  bool is_retry = false;            ///< the client has sent the request before
  bool is_resumed = false;          ///< the client resumes an interrupted stream
};

/// Why a request has failed.
enum class FailureReason {
  timed_out,    ///< no event arrived before the request's deadline
  not_retried,  ///< the Scheduler decided to make no further attempt
  bad_request,  ///< a node reported that the client's request is invalid
};

/// Returns the key for a text: its value if it is a hexadecimal number, 0 if it is empty, else its hash.
Key key_from_text(std::string_view text);
/// Returns a hash of the text that is the same in every process and on every machine.
std::uint64_t hash_text(std::string_view text);
/// Returns whether nodes accept the text as the id of a request: 1 to 128 letters, digits, '-' and '_'.
bool is_valid_request_id(std::string_view id);

/// A connection that another process of this router can continue to use.
struct TransferredConnection {
  int fd = -1;                        ///< the socket; this struct does not own it
  bool close_after_response = false;  ///< the connection closes once the current answer is complete
};
/// An active stream that another process of this router can continue.
struct TransferredStream {
  std::string id;                ///< the id that the client gave the request
  std::string request_class;     ///< name of the class that the request was accepted with
  std::string node;              ///< name of the node that sends the stream
  std::uint16_t attempt = 0;     ///< number of the attempt within its request, from 0
  Micros idle_for{};             ///< time since data of the stream arrived last
  TransferredConnection client;  ///< the connection to the client
  TransferredConnection call;    ///< the connection to the node
};

/// What one process of this router has learned about a node, for a process that has just started.
struct NodeHandoverState {
  std::string node;         ///< the node's name
  std::string load_report;  ///< the node's last load report, as the node sent it; empty: none, or too old
  Micros age{};             ///< time since the load report arrived
  bool ejected = false;     ///< the Scheduler sends the node no requests, because attempts failed there
  double work_rate = 0;     ///< prompt tokens per microsecond that are sent to the node; 0: unknown
};
/// What one process of this router has learned about all nodes, for a process that has just started.
struct HandoverState {
  std::vector<NodeHandoverState> nodes;  ///< the ready nodes about which anything is known
  std::vector<std::pair<Role, double>> prefill_times_per_token;  ///< as in LearnedRates
};

/// Locks on the ids of open requests that exclude the other processes of this router. No function blocks.
class RequestIdLocks {
 public:
  virtual ~RequestIdLocks() = default;
  /// Locks the id of a request that was just received. Returns false if another process has locked it.
  [[nodiscard]] virtual bool lock(const std::string& id) = 0;
  /// Locks the id of a stream that another process transfers and has locked itself.
  virtual void lock_transferred(const std::string& id) = 0;
  /// Releases this process's lock on the id.
  virtual void unlock(const std::string& id) = 0;
};

/// The client of one request. A front implements it and owns it. Exactly one of finish, reject, fail and
/// abort_stream ends the answer. After that call, after on_transferred, and after
/// Router::client_disconnected, the core calls no function any more. No function may call
/// Router::client_disconnected before it returns.
class Client {
 public:
  virtual ~Client() = default;
  /// Returns whether the client has closed its connection, also if the front has not been notified of that
  /// yet, for example because much that the client sent before is still unread.
  virtual bool has_disconnected() const { return false; }
  /// Reports that the core has closed the request, because has_disconnected() returned true.
  virtual void on_disconnected() {}
  /// Passes on one event of the answer's stream. Returns false if the client is slow; no more data is then
  /// read from the node until Router::resume_stream is called.
  virtual bool on_data(std::string_view data) = 0;
  /// Ends the answer, which is complete.
  virtual void finish() = 0;
  /// Rejects the request. It has had no effect, and the client may retry it after `retry_after`; 0: at any
  /// time.
  virtual void reject(Micros retry_after) = 0;
  /// Reports that the request has failed before its first event.
  virtual void fail(FailureReason why) = 0;
  /// Reports that the stream was interrupted after its first event.
  virtual void abort_stream() = 0;
  /// Returns the connection for another process, or nothing if it cannot be transferred at present.
  virtual std::optional<TransferredConnection> transferable_connection() { return std::nullopt; }
  /// Reports that another process continues to use the connection.
  virtual void on_transferred() {}
};

/// Where a node is, as far as the endpoint list states it.
struct NodeLocation {
  std::string zone;                   ///< name of the zone; empty: unknown
  std::uint16_t cell = unknown_cell;  ///< number of the cell
  /// Returns whether both locations are known to belong to one group of nodes, whose members detect each
  /// other's repeats of a request.
  [[nodiscard]] bool in_same_group(const NodeLocation& other, RetryScope scope) const {
    switch (scope) {
      case RetryScope::all:
        return true;
      case RetryScope::zone:
        return !zone.empty() && zone == other.zone;
      case RetryScope::cell:
        return cell != unknown_cell && cell == other.cell;
    }
    return false;
  }
};

/// The core's record of a node.
struct Node {
  EndpointId id = 0;    ///< the number of the node within this router
  std::string name;     ///< the name in the endpoint list
  std::string address;  ///< the address for the node transport
  std::string zone;     ///< name of the zone
  std::string kind;     ///< name of the machine kind
  /// The entry that the Scheduler gets: the endpoint list's entry with the overrides and the fleet view
  /// applied.
  Endpoint endpoint;
  EndpointState listed_state = EndpointState::ready;  ///< the state in the endpoint list
  Micros listed_start{};      ///< the start of the node's process according to the endpoint list; 0: long ago
  Micros cache_lost_at{};     ///< the last loss of its KV cache that other routers have reported; 0: none
  std::string load_report;    ///< the last load report, as the node sent it; empty: none
  Micros load_reported_at{};  ///< when that report arrived
  /// Returns the node's zone and cell.
  NodeLocation location() const { return {zone, endpoint.cell}; }
  /// Returns whether the node may receive new attempts.
  bool ready() const { return endpoint.state == EndpointState::ready; }
};

/// The result of an attempt at a node, or of a health check.
struct AttemptResult {
  Outcome outcome = Outcome::error;  ///< the outcome that is reported to the Scheduler
  /// Number of prompt tokens that the node found in its cache. With Outcome::rejected_over_capacity, 1 means
  /// that the node has found no KV cache to decode from.
  std::uint32_t cached_tokens = 0;
  std::string load_report;   ///< the load report that came with the answer, as the node sent it
  std::string detail;        ///< a description for the log
  bool bad_request = false;  ///< the request was not executed, and no other node would execute it either
};

/// Receives the events of one attempt. The core implements it; it outlives the attempt's Call.
class AttemptHandler {
 public:
  virtual ~AttemptHandler() = default;
  /// Called when the kernel has accepted the last byte of the request.
  virtual void on_request_written() = 0;
  /// Called when a part of the answer's stream has arrived that may end no event.
  virtual void on_progress() {}
  /// Called with each event of the answer's stream. The Call may be destroyed before this returns.
  virtual void on_data(std::string_view data) = 0;
  /// Called when the attempt has ended: at most once, and never before start_attempt or adopt_stream has
  /// returned. The Call is destroyed before this returns.
  virtual void on_done(AttemptResult result) = 0;
};

/// A call to a node that is in progress. Destroying it closes the call; its handler is not called any more.
class Call {
 public:
  virtual ~Call() = default;
  /// Pauses or resumes reading the answer, for flow control of a slow client.
  virtual void set_reading_paused(bool /*paused*/) {}
  /// Returns whether it is certain that no part of the request was sent, and that none will be sent once the
  /// call is destroyed.
  virtual bool not_sent() const { return false; }
  /// Returns the connection for another process, or nothing if it cannot be transferred at present.
  virtual std::optional<TransferredConnection> transferable_connection() { return std::nullopt; }
  /// Reports that another process continues to use the connection; the call is then destroyed without closing
  /// the stream.
  virtual void on_transferred() {}
};

/// Makes calls to nodes over one protocol. Errors are reported as results of the calls; no function throws.
class NodeTransport {
 public:
  virtual ~NodeTransport() = default;
  /// Starts an attempt. Never returns null.
  /// \param node the node; the transport copies what it needs.
  /// \param prompt the content to send.
  /// \param time_budget how long the node may take until its first event; it is sent to the node.
  /// \param attempt receives the events of the call and outlives it.
  virtual std::unique_ptr<Call> start_attempt(const Node& node, const Prompt& prompt, Micros time_budget,
                                              AttemptHandler& attempt) = 0;
  /// Asks the node to release everything that is reserved for the request with this client id. Never returns
  /// null. `done` is called at most once, with true if the node has received the call.
  virtual std::unique_ptr<Call> release_reservation(const Node& node, const std::string& id,
                                                    std::function<void(bool)> done) = 0;
  /// Starts a health check. Never returns null. `done` is called at most once.
  virtual std::unique_ptr<Call> probe(const Node& node, std::function<void(const AttemptResult&)> done) = 0;
  /// Continues a stream that another process has started. Returns null if that is impossible; the socket then
  /// stays open and belongs to the caller.
  virtual std::unique_ptr<Call> adopt_stream(const Node& /*node*/,
                                             const TransferredConnection& /*connection*/,
                                             AttemptHandler& /*attempt*/) {
    return nullptr;
  }
  /// Closes the idle connections to the node.
  virtual void close_idle_connections(const Node& node) = 0;
  /// Limits of the connections to nodes.
  struct Limits {
    Micros connect_timeout{};               ///< how long opening a connection may take
    Micros idle_timeout{};                  ///< how long a connection may stay open without a call
    std::size_t max_idle_connections = 64;  ///< maximum of idle connections to all nodes together
  };
  /// Replaces the limits for all later calls.
  virtual void set_limits(const Limits& limits) = 0;
};

}  // namespace lemonroute
