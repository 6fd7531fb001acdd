// One router's end of the peer protocol: membership, and the extensions that share its datagrams. Free of
// I/O: the caller passes in times and received datagrams and sends what the agent produces. Both the service
// on sockets (peers/service.h) and the simulation in the tests drive it.
#pragma once

#include <functional>
#include <memory>
#include <nlohmann/json_fwd.hpp>
#include <string>
#include <string_view>
#include <vector>

#include "peers/extension.h"

namespace lemonroute::peers {

/// A datagram to send.
struct Datagram {
  /// Destination address, such as "127.0.0.1:7946".
  std::string to;
  /// Plaintext; the service seals it.
  std::string bytes;
};

/// Settings of an agent.
struct AgentOptions {
  std::string name,  ///< name of this router
      site;          ///< site of this router
  /// Address to which other routers send.
  std::string address;
  /// Start of this process, Unix time in microseconds.
  std::uint64_t start = 0;
  /// Addresses of routers through which to join; any one that answers is enough.
  std::vector<std::string> seeds;
  /// Protocol period, in which one member is probed; 20 ms or more.
  Micros period = std::chrono::seconds(1);
  /// Maximum number of members; further ones are counted and left out.
  std::size_t max_members = 4096;
};

/// The peer protocol of one router. Not thread-safe; times passed in must not go back.
class Agent {
 public:
  /// Maximum size of a sealed datagram in bytes: fits into the minimum MTU of IPv6.
  static constexpr std::size_t max_datagram_bytes = 1232;

  /// `seed` determines all random choices.
  Agent(AgentOptions options, std::uint64_t seed);
  ~Agent();
  Agent(const Agent&) = delete;
  Agent& operator=(const Agent&) = delete;

  /// Adds an extension, which must outlive the agent. To be called before start().
  void add_extension(Extension& extension);
  /// Starts the protocol.
  void start(Micros now);
  /// Handles the plaintext of an authentic datagram.
  void receive(Micros now, const std::string& from, std::string_view bytes);
  /// Runs the work that is due.
  void run_due(Micros now);
  /// When run_due() must be called next.
  Micros next_due() const;
  /// Tells other routers that this one leaves, and ends the protocol.
  void leave(Micros now);
  /// Removes and returns the datagrams to send, in their order.
  std::vector<Datagram> take_datagrams();

  /// What this router knows of the others; its contents change with the next call.
  const View& view() const;
  /// The view, the counters and the state of each extension, for operators.
  nlohmann::json describe(Micros now) const;

 private:
  struct Impl;
  std::unique_ptr<Impl> impl_;
};

}  // namespace lemonroute::peers
