// Runs an Agent on a UDP socket, with an event loop and a thread of its own: opens received datagrams for it
// and seals and sends its own. The serving loop never waits for this thread and goes on if it fails.
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

/// The peer protocol on the network.
class Service {
 public:
  /// Settings of a service.
  struct Options {
    /// Settings of the agent. An empty address stands for the listening address.
    peers::AgentOptions agent;
    /// Address to listen on.
    std::string listen;
    /// The previous process still listens on `listen`, in an upgrade. Then this process advertises a free
    /// port of that address and also receives on `listen` once the previous process has closed it.
    bool previous_process_listening = false;
    /// Keys of the fleet: the first one seals, any of them opens.
    std::vector<seal::Key> keys;
    /// By a peer's name: the address to which its datagrams are sent instead of its own.
    std::map<std::string, std::string> address_overrides;
  };
  /// Further work on the service's thread.
  class Delegate {
   public:
    virtual ~Delegate() = default;
    /// Called after wake(). Calls to wake() may be merged, and the call may come early.
    virtual void on_wake(Micros now) = 0;
    /// Called after each event that may have changed something.
    virtual void on_update(Micros now, const Service& service) = 0;
    /// When to call on_update() if no event comes first.
    virtual Micros next_due() const = 0;
  };

  /// All references must outlive the service. Once it is started, it uses the extensions and the delegate
  /// only on its own thread. Throws std::runtime_error if the address is in use.
  Service(Options options, const Clock& clock, const std::vector<Extension*>& extensions, Delegate& delegate);
  /// Tells other routers that this one leaves, and ends the thread.
  ~Service();
  Service(const Service&) = delete;
  Service& operator=(const Service&) = delete;

  /// Starts the thread.
  void start();
  /// Causes a call of Delegate::on_wake(). May be called from any thread; never waits.
  void wake();
  /// Whether the thread has ended because of an exception.
  bool failed() const { return failed_; }
  /// The address that this router advertises.
  const std::string& address() const { return address_; }

  // ---- on the service's thread only ----
  /// What this router knows of the others.
  const View& view() const;
  /// The agent's state and the counters of datagrams, for operators.
  nlohmann::json describe(Micros now) const;

 private:
  struct Impl;
  std::string address_;
  std::atomic<bool> ending_{false}, failed_{false};
  std::unique_ptr<Impl> impl_;
  std::thread thread_;
};

}  // namespace lemonroute::peers
