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
  std::string fields = {};  // further header fields for the node, each "Name: value\r\n"
  // Asked in the moment in which an attempt is written: false if its client has gone and nobody has seen it
  // yet. Nothing is written then, and the front tells of it soon.
  std::function<bool()> wanted = {};
};

// A client's request.
struct ClientRequest {
  Prompt prompt;
  std::string kind;  // name of the class
  std::string tenant;
  Key session = 0, shared = 0;
  Micros budget{};   // how long the client waits for the first event; 0 = as long as its class allows
  Micros arrival{};  // of that time, what had passed when the last byte of the request came
  double prompt_tokens = 0, shared_tokens = 0, max_output = 0;
  bool repeat = false, resumed = false;
};

enum class Failure {
  timed_out,  // nothing came before the client's deadline
  gave_up,    // the module ended the request
  unfit,      // a node can't use the request as the client put it
};

// A key as a number: hexadecimal digits as they are, any other text by its hash. 0 = none.
Key key_of(std::string_view text);
std::uint64_t hash_of(std::string_view text);  // the same in every process
// Whether nodes can be told of a request by this id: letters, digits, '-' and '_', up to 128 of them.
bool valid_id(std::string_view id);

// A connection that another process of the router can go on with: nothing of what it carried is held here.
struct PassedConnection {
  int fd = -1;
  bool closes = false;  // whether it ends with this answer
};
// A stream under way, with both its connections.
struct PassedStream {
  std::string id, kind, node;
  std::uint16_t attempt = 0;
  PassedConnection client, call;
};

// What one process of the router believes of a node, for another that has just started.
struct NodeReport {
  std::string node;
  std::string load;      // its last report, as the node worded it
  Micros age{};          // of that report
  bool avoided = false;  // left out by choice, since attempts fail there
  double sent = 0;       // tokens a microsecond that are sent there, 0 = unknown
};
struct HandoverState {
  std::vector<NodeReport> nodes;
  std::vector<std::pair<Role, double>> read_rates;  // as in LearnedRates
};

// Where the answer to one request goes. Exactly one of finish, refuse, fail and cut ends it, and none of
// them is called after Router::gone. None of them may call the Router's gone from within.
class Client {
 public:
  virtual ~Client() = default;
  virtual bool event(std::string_view data) = 0;  // false: hold the rest back until Router::drained
  virtual void finish() = 0;                      // the stream is whole
  virtual void refuse(Micros stay_away) = 0;      // trying again is harmless
  virtual void fail(Failure why) = 0;
  virtual void cut() = 0;  // the stream broke after its first event
  virtual std::optional<PassedConnection> passable() { return std::nullopt; }
  virtual void passed() {}  // another process has it now; nothing more is called
};

struct Node {
  HostId id = 0;
  std::string name, address, zone, kind;
  ListEntry entry;  // as the Scheduler sees it: with what was said by hand laid over what is listed
  Phase listed = Phase::ready;
  Micros listed_start{};
  Micros lost{};     // the last loss of kept text that peers told of; 0: none
  std::string load;  // the last report that came along, and when
  Micros load_at{};
  bool ready() const { return entry.phase == Phase::ready; }
};

// How an attempt ended at a node.
struct Result {
  Outcome outcome = Outcome::error;
  std::uint32_t kept = 0;  // prompt tokens found kept; for Outcome::full, 1 = there was no state
  std::string load;        // the report that came along, "name=value,..."
  std::string detail;      // for the log
  bool unfit = false;      // the node can't use the request as it is: it has not run, and would not elsewhere
};

class Attempt {
 public:
  virtual ~Attempt() = default;
  virtual void written() = 0;                     // the last byte of the request has gone to the kernel
  virtual void event(std::string_view data) = 0;  // the call may be let go of by the time it returns
  virtual void done(Result result) = 0;  // once, and never from within begin; the call is gone after it
};

// A call to a node that is under way. Letting go of it gives the call up.
class Call {
 public:
  virtual ~Call() = default;
  virtual void hold_back(bool) {}  // backpressure of a stream
  // Nothing of the request has left, and nothing will if the call is let go of. False where that is not
  // certain.
  virtual bool unsent() const { return false; }
  virtual std::optional<PassedConnection> passable() { return std::nullopt; }
  virtual void passed() {}
};

class Nodes {
 public:
  virtual ~Nodes() = default;
  virtual std::unique_ptr<Call> begin(const Node& node, const Prompt& prompt, Micros within,
                                      Attempt& attempt) = 0;
  // Asks for all that is held for the request to be let go; `done` with false if the call never arrived.
  virtual std::unique_ptr<Call> release(const Node& node, const std::string& id,
                                        std::function<void(bool)> done) = 0;
  virtual std::unique_ptr<Call> probe(const Node& node, std::function<void(const Result&)> done) = 0;
  // Goes on with a stream that another process began; nothing if that can't be done, and the descriptor is
  // open still.
  virtual std::unique_ptr<Call> adopt(const Node&, const PassedConnection&, Attempt&) { return nullptr; }
  virtual void hang_up(const Node& node) = 0;  // closes the idle connections
  struct Limits {
    Micros connect_timeout{}, idle{};  // idle connections are retired after it
    std::size_t idle_most = 64;        // of all nodes together
  };
  virtual void limit(const Limits& limits) = 0;  // from now on
};

}  // namespace lemonroute
