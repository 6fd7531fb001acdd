// What rides on the datagrams between routers beside membership: pools and the map of kept state. An
// extension does no I/O and reads no clock; all its calls come from one thread, with times that never go
// back. Datagrams may be lost, repeated, reordered and late, so what an extension says must bear that (a
// merge, or a question with its answer).
#pragma once

#include <nlohmann/json_fwd.hpp>
#include <string>
#include <string_view>

#include "peers/view.h"

namespace lemonroute::peers {

enum class Topic : std::uint32_t { pools = 1, tiers = 2 };

class Outbox {
 public:
  virtual ~Outbox() = default;
  static constexpr std::size_t most = 1000;  // bytes of one payload; a longer one is dropped, and counted
  // To a member by name; dropped where the view does not know it. Nothing says whether it arrives.
  virtual void send(Topic topic, std::string_view to, std::string bytes) = 0;
};

class Extension {
 public:
  virtual ~Extension() = default;
  virtual Topic topic() const = 0;
  virtual void viewed(Micros now, const View& view) = 0;  // it has changed; first call before any other
  // The sender's name is proven by the key; what it says need not be true. What can't be read is counted and
  // dropped.
  virtual void receive(Micros now, std::string_view from, std::string_view bytes, Outbox& out) = 0;
  virtual void run_due(Micros now, Outbox& out) = 0;
  virtual Micros next_due() const = 0;
  virtual nlohmann::json describe(Micros now) const = 0;  // for operators, on the management listener
};

}  // namespace lemonroute::peers
