// Extensions exchange data of their own on the datagrams between routers, beside membership: the pools, and
// the map of KV cache locations. An extension does no I/O and reads no clock. All its calls come from one
// thread, with times that never go back. Datagrams may be lost, duplicated, reordered and delayed, so an
// extension's messages must tolerate that, for example as a merge or as a request with its reply.
#pragma once

#include <nlohmann/json_fwd.hpp>
#include <string>
#include <string_view>

#include "peers/view.h"

namespace lemonroute::peers {

/// Selects the extension that receives a payload; the numbers are on the wire.
enum class Topic : std::uint32_t { pools = 1, tiers = 2 };

/// Sends payloads of extensions.
class Outbox {
 public:
  virtual ~Outbox() = default;
  /// Maximum size of a payload in bytes; a longer one is dropped and counted.
  static constexpr std::size_t max_payload_bytes = 1000;
  /// Sends a payload to a member by its name. Dropped if the view does not have that member; arrival is not
  /// reported.
  virtual void send(Topic topic, std::string_view to, std::string bytes) = 0;
};

/// A protocol on top of membership.
class Extension {
 public:
  virtual ~Extension() = default;
  /// The topic of its payloads.
  virtual Topic topic() const = 0;
  /// The view has changed. The first of these calls precedes all other calls.
  virtual void on_view_change(Micros now, const View& view) = 0;
  /// Handles a payload. The sender holds the fleet's key, but the contents may be false. An unreadable
  /// payload must be counted and dropped.
  virtual void receive(Micros now, std::string_view from, std::string_view bytes, Outbox& out) = 0;
  /// Runs the work that is due.
  virtual void run_due(Micros now, Outbox& out) = 0;
  /// When run_due() must be called next.
  virtual Micros next_due() const = 0;
  /// Its state, for operators on the management listener.
  virtual nlohmann::json describe(Micros now) const = 0;
};

}  // namespace lemonroute::peers
