// What is settled before the first client is taken.
#pragma once

#include <csignal>
#include <memory>

#include "config/platform.h"
#include "discovery/watch.h"

namespace lemonroute::cli {

// From here on until it is let go of, orders by signal wait: before their handlers are there they would end
// the program.
class SignalsHeld {
 public:
  SignalsHeld();
  ~SignalsHeld();
  SignalsHeld(const SignalsHeld&) = delete;
  SignalsHeld& operator=(const SignalsHeld&) = delete;

 private:
  sigset_t before_;
};

// Returns once `address` can be listened on, or after a while in which it can't. Guards a start that overlaps
// the end of the process before, which goes on listening for what is still on its way.
void wait_for_address(const std::string& address);

// The list that the router serves from. What the agent has counts as told from the first moment of a process,
// so `known` alone would have it send to nodes that have long been draining: no client is taken before the
// first list has come, or half a second has passed without one. None where the nodes are fixed.
std::unique_ptr<discovery::Watch> first_list(net::Loop& loop, const config::Platform& platform,
                                             Router& router);

discovery::Lists lists_of(const Settings& settings);
void say_unused(const config::Platform& platform);  // one line of the log

}  // namespace lemonroute::cli
