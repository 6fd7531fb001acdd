// The rule on held state (rule 5) as the nodes see it: told of what arrives at a running node and of what
// ends there, never of what a router believes. While no attempt that has arrived is out, a state is taken or
// released within the settings' time, counted from the last end of such an attempt.
#pragma once

#include <map>
#include <optional>
#include <string>

#include "lemonroute/scheduler.h"

namespace lemonroute::held {

// A state that was held for too long.
struct Pinned {
  std::string request, node;
  Micros since{}, noticed{};
};

class HeldOracle {
 public:
  explicit HeldOracle(Micros allowed) : allowed_(allowed) {}
  void granted(Micros now, const std::string& request, const std::string& node);
  void arrived(const std::string& request) { ++requests_[request].out; }
  void ended(Micros now, const std::string& request);  // of an attempt that had arrived
  // Taken by an attempt, or released by a call: everything that is held for the request.
  void freed(const std::string& request) { requests_[request].since.clear(); }
  void node_ended(const std::string& node);  // and with it all that it held
  void router_ended(const std::string& request) {
    requests_.erase(request);
  }  // what it left is no more its own
  bool holds(const std::string& request) const;
  std::optional<Pinned> overdue(Micros now) const;

 private:
  struct Request {
    std::map<std::string, Micros> since;  // by node, from the grant on
    int out = 0;                          // attempts that have arrived and not ended
    Micros last_end{};
  };
  Micros allowed_;
  std::map<std::string, Request> requests_;
};

}  // namespace lemonroute::held
