// An Agent on a UDP socket, on a loop and a thread of its own: datagrams are opened and handed to it, what it
// says is sealed and sent. Nothing that happens here makes the serving loop wait; should this thread fail,
// serving goes on.
#pragma once

#include <atomic>
#include <functional>
#include <map>
#include <memory>
#include <nlohmann/json_fwd.hpp>
#include <string>
#include <thread>
#include <vector>

#include "core/types.h"
#include "peers/agent.h"
#include "peers/seal/key.h"

namespace lemonroute::peers {

class Service {
 public:
  struct Options {
    peers::Options agent;  // its address empty: where it listens
    std::string listen;
    // An upgrade: the process before this one still listens there. Then any free port of that address is
    // advertised, and what comes to the address itself is taken too once it is free.
    bool beside_another = false;
    std::vector<seal::Key> keys;  // the first one seals, each one opens
    std::map<std::string, std::string>
        via;  // a peer's name: where its datagrams go instead of its own address
  };
  // What else is done on the thread of the peers.
  class Desk {
   public:
    virtual ~Desk() = default;
    virtual void woken(Micros now) = 0;  // after wake(); may be early, and once for many
    virtual void round(Micros now, const Service& service) = 0;  // after whatever may have changed something
    virtual Micros next_due() const = 0;  // when it wants a round, if nothing else happens
  };

  // All of them outlive the service; the extensions and the desk are met on its thread only once it is
  // started. Throws if the address is taken.
  Service(Options options, const Clock& clock, const std::vector<Extension*>& extensions, Desk& desk);
  ~Service();  // tells the others that this router ends, and ends the thread
  Service(const Service&) = delete;
  Service& operator=(const Service&) = delete;

  void start();
  void wake();  // from any thread; never waits
  bool failed() const { return failed_; }
  const std::string& address() const { return address_; }

  // ---- for the desk, on its thread ----
  const View& view() const;
  nlohmann::json describe(Micros now) const;  // the agent's, with what was refused here

 private:
  struct Parts;
  std::string address_;
  std::atomic<bool> ending_{false}, failed_{false};
  std::unique_ptr<Parts> parts_;
  std::thread thread_;
};

}  // namespace lemonroute::peers
