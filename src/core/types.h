// What the core and the fronts, node clients and discovery say to each other. Nothing here names a protocol.
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

// The time that the Scheduler is given: it starts from the system's clock, in which nodes state when they
// started, and then goes on steadily.
class Clock {
 public:
  virtual ~Clock() = default;
  virtual Micros now() const = 0;
};

class SystemClock : public Clock {
 public:
  // Wrong by so much, for tests.
  explicit SystemClock(Micros wrong_by = {})
      : offset_(std::chrono::duration_cast<Micros>(std::chrono::system_clock::now().time_since_epoch() -
                                                   std::chrono::steady_clock::now().time_since_epoch()) +
                wrong_by) {}
  Micros now() const override {
    return offset_ + std::chrono::duration_cast<Micros>(std::chrono::steady_clock::now().time_since_epoch());
  }

 private:
  Micros offset_;
};

// What is sent to a node, the same at every attempt.
struct Prompt {
  std::string id;      // as the client gave it
  std::string target;  // where the client asked for it
  std::shared_ptr<const std::string> body;
  std::string extra_headers = {};  // further header fields for the node, each "Name: value\r\n"
};

// A client's request.
struct ClientRequest {
  Prompt prompt;
  std::string request_class;  // name of the class
  std::string tenant;
  Key session_key = 0, shared_prefix_key = 0;
  Micros time_budget{};  // how long the client waits for the first event; 0 = as long as its class allows
  double prompt_tokens = 0, shared_prefix_tokens = 0, max_output_tokens = 0;
  bool is_retry = false, is_resumed = false;
};

enum class FailureReason {
  timed_out,    // nothing came before the client's deadline
  not_retried,  // the module ended the request
  bad_request,  // a node can't use the request as the client put it
};

// A key as a number: hexadecimal digits as they are, any other text by its hash. 0 = none.
Key key_from_text(std::string_view text);
std::uint64_t hash_text(std::string_view text);  // the same in every process
// Whether nodes can be told of a request by this id: letters, digits, '-' and '_', up to 128 of them.
bool is_valid_request_id(std::string_view id);

// A connection that another process of the router can go on with: nothing of what it carried is held here.
struct TransferredConnection {
  int fd = -1;
  bool close_after_response = false;  // whether it ends with this answer
};
// A stream under way, with both its connections.
struct TransferredStream {
  std::string id, request_class, node;
  std::uint16_t attempt = 0;
  TransferredConnection client, call;
};

// What one process of the router believes of a node, for another that has just started.
struct NodeReport {
  std::string node;
  std::string load_report;  // its last report, as the node worded it
  Micros age{};             // of that report
  bool ejected = false;     // left out by choice, since attempts fail there
  double work_rate = 0;     // tokens a microsecond that are sent there, 0 = unknown
};
struct HandoverState {
  std::vector<NodeReport> nodes;
  std::vector<std::pair<Role, double>> prefill_rates;  // as in LearnedRates
};

// Where the answer to one request goes. Exactly one of finish, refuse, fail and cut ends it, and none of
// them is called after Router::gone. None of them may call the Router's gone from within.
class Client {
 public:
  virtual ~Client() = default;
  virtual bool on_data(std::string_view data) = 0;  // false: hold the rest back until Router::drained
  virtual void finish() = 0;                        // the stream is whole
  virtual void reject(Micros stay_away) = 0;        // trying again is harmless
  virtual void fail(FailureReason why) = 0;
  virtual void abort_stream() = 0;  // the stream broke after its first event
  virtual std::optional<TransferredConnection> transferable_connection() { return std::nullopt; }
  virtual void on_transferred() {}  // another process has it now; nothing more is called
};

struct Node {
  EndpointId id = 0;
  std::string name, address, zone, kind;
  Endpoint endpoint;  // as the Scheduler sees it: with what was said by hand laid over what is listed
  EndpointState listed_state = EndpointState::ready;
  Micros listed_start{};
  Micros cache_lost_at{};   // the last loss of kept text that peers told of; 0: none
  std::string load_report;  // the last report that came along, and when
  Micros load_reported_at{};
  bool ready() const { return endpoint.state == EndpointState::ready; }
};

// How an attempt ended at a node.
struct AttemptResult {
  Outcome outcome = Outcome::error;
  std::uint32_t cached_tokens = 0;  // prompt tokens found kept; for Outcome::full, 1 = there was no state
  std::string load_report;          // the report that came along, "name=value,..."
  std::string detail;               // for the log
  bool bad_request =
      false;  // the node can't use the request as it is: it has not run, and would not elsewhere
};

class AttemptHandler {
 public:
  virtual ~AttemptHandler() = default;
  virtual void on_request_written() = 0;            // the last byte of the request has gone to the kernel
  virtual void on_data(std::string_view data) = 0;  // the call may be let go of by the time it returns
  virtual void on_done(
      AttemptResult result) = 0;  // once, and never from within begin; the call is gone after it
};

// A call to a node that is under way. Letting go of it gives the call up.
class Call {
 public:
  virtual ~Call() = default;
  virtual void pause_reading(bool) {}  // backpressure of a stream
  // Nothing of the request has left, and nothing will if the call is let go of. False where that is not
  // certain.
  virtual bool not_sent() const { return false; }
  virtual std::optional<TransferredConnection> transferable_connection() { return std::nullopt; }
  virtual void on_transferred() {}
};

class NodeTransport {
 public:
  virtual ~NodeTransport() = default;
  virtual std::unique_ptr<Call> start_attempt(const Node& node, const Prompt& prompt, Micros within,
                                              AttemptHandler& attempt) = 0;
  // Asks for all that is held for the request to be let go; `done` with false if the call never arrived.
  virtual std::unique_ptr<Call> release_reservation(const Node& node, const std::string& id,
                                                    std::function<void(bool)> done) = 0;
  virtual std::unique_ptr<Call> probe(const Node& node, std::function<void(const AttemptResult&)> done) = 0;
  // Goes on with a stream that another process began; nothing if that can't be done, and the descriptor is
  // open still.
  virtual std::unique_ptr<Call> adopt_stream(const Node&, const TransferredConnection&, AttemptHandler&) {
    return nullptr;
  }
  virtual void close_idle_connections(const Node& node) = 0;  // closes the idle connections
  struct Limits {
    Micros connect_timeout{}, idle_timeout{};  // idle connections are retired after it
    std::size_t max_idle_connections = 64;     // of all nodes together
  };
  virtual void set_limits(const Limits& limits) = 0;  // from now on
};

}  // namespace lemonroute
