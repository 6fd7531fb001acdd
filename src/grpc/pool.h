// Decides over the connections to one gRPC node: which of them takes a call, when another one is opened,
// drained or given up. Free of I/O: whoever holds the sockets tells what happens, and carries out what is
// said.
#pragma once

#include <chrono>
#include <cstdint>
#include <map>
#include <optional>
#include <vector>

namespace lemonroute::grpc {

class Pool {
 public:
  using Clock = std::chrono::steady_clock;
  using Time = Clock::time_point;
  using Id = std::uint32_t;
  struct Limits {
    std::size_t connections = 4;  // most at once
    std::size_t waiting = 64;  // most calls that wait at one connection for a place of the node's; 0 or more
    double open_at = 0.75;     // share of the places taken from which another connection is opened
    std::uint32_t unheard = 16;              // places counted on before the node's SETTINGS have come
    std::chrono::milliseconds idle{20000};   // a connection without calls is retired then
    std::chrono::milliseconds back_off{50};  // after a connection that did not come up, doubled up to...
    std::chrono::milliseconds back_off_most{1000};
  };
  explicit Pool(Limits limits) : limits_(limits) {}
  void limit(Limits limits) { limits_ = limits; }

  enum class Answer {
    use,      // the connection `id`; where `also_open` is there, one more is to be opened under that number
    open,     // a new one, under the number `id`
    nowhere,  // the call has certainly not been sent, and may be tried at another node
  };
  struct Route {
    Answer answer = Answer::nowhere;
    Id id = 0;
    std::optional<Id> also_open{};
  };
  // For a new call. `may_open`: a descriptor is left for one more connection.
  Route route(Time now, bool may_open);

  // ---- what happens ----
  void up(Time now, Id id);                    // connected
  void allows(Id id, std::uint32_t streams);   // the node's SETTINGS_MAX_CONCURRENT_STREAMS, at any time
  void began(Id id);                           // a call was given to it
  void ended(Time now, Id id, bool answered);  // `answered`: the node said something to it
  void drains(Id id);                          // GOAWAY: no new calls, those it has go on
  void silent(Id id);                          // a ping is overdue: no new calls while there is doubt
  void heard(Id id);                           // and the doubt is over
  void gone(Time now, Id id);                  // closed, whatever the reason

  // Connections to be closed now: without calls for too long, or drained with the last call gone.
  std::vector<Id> retire(Time now) const;
  // The one without calls for longest, to make room for another node's.
  std::optional<std::pair<Time, Id>> idlest() const;
  std::size_t size() const { return connections_.size(); }
  bool has(Id id) const { return connections_.count(id) > 0; }
  std::size_t calls() const;
  bool empty() const { return connections_.empty(); }

 private:
  struct Connection {
    bool up = false, drains = false, silent = false, proven = false;
    std::optional<std::uint32_t> allows;
    std::uint32_t calls = 0;
    Time rests{};  // since when it has no calls
  };
  std::uint32_t places(const Connection& one) const;
  bool usable(const Connection& one) const { return !one.drains && !one.silent; }
  bool opens() const;

  Limits limits_;
  std::map<Id, Connection> connections_;
  Id next_ = 1;
  int failures_ = 0;  // connections in a row that did not come up
  Time not_before_{};
};

}  // namespace lemonroute::grpc
