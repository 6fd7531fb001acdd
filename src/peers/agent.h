// One router among its peers: membership, and the extensions on its datagrams. Free of I/O: told the time and
// what came, it says what to send. The service on sockets (peers/service.h) and the deterministic world of
// the tests drive the same.
#pragma once

#include <functional>
#include <memory>
#include <nlohmann/json_fwd.hpp>
#include <string>
#include <string_view>
#include <vector>

#include "peers/extension.h"

namespace lemonroute::peers {

struct Datagram {
  std::string to;     // an address, "127.0.0.1:7946"
  std::string bytes;  // plain; the service seals it
};

struct Options {
  std::string name, site;                   // this router's
  std::string address;                      // where others send to it
  std::uint64_t start = 0;                  // Unix time in us
  std::vector<std::string> seeds;           // addresses of routers to join by; any one is enough
  Micros period = std::chrono::seconds(1);  // one probe each; 20 ms or more
  std::size_t most_members = 4096;          // known at once; more are counted and left out
};

class Agent {
 public:
  static constexpr std::size_t most_bytes = 1232;  // of a sealed datagram: within the least MTU of IPv6

  Agent(Options options, std::uint64_t seed);
  ~Agent();
  Agent(const Agent&) = delete;
  Agent& operator=(const Agent&) = delete;

  void add(Extension& extension);  // before start; must outlive the agent
  void start(Micros now);
  void receive(Micros now, const std::string& from,
               std::string_view bytes);  // opened and proven by the service
  void run_due(Micros now);
  Micros next_due() const;
  void leave(Micros now);        // tells the others that this router ends
  std::vector<Datagram> take();  // what is to be sent, in order; empty afterwards

  const View& view() const;
  nlohmann::json describe(Micros now) const;  // the view, counters and each extension's own

 private:
  struct Parts;
  std::unique_ptr<Parts> parts_;
};

}  // namespace lemonroute::peers
