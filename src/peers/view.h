// What one router knows of the others. It may be out of date: views of two routers may differ, and a router
// that is cut off keeps what it last received. docs/peers-design.md says how each user of a view deals with
// that.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "lemonroute/scheduler.h"

namespace lemonroute::peers {

/// State of a member as one router sees it.
enum class Standing : std::uint8_t {
  alive,
  suspected,  ///< some router got no ack from it; it may still refute the suspicion
  gone,       ///< the suspicion was not refuted in time
  left,       ///< it announced that it leaves
};

/// One member of a view.
struct Member {
  /// Unique name in the fleet, up to 64 bytes.
  std::string name;
  /// Zone in which the endpoint list has it.
  std::string site;
  /// Address at which it receives datagrams, such as "127.0.0.1:7946".
  std::string address;
  /// Start of its process, Unix time in microseconds; a greater one is a newer process.
  std::uint64_t start = 0;
  /// Grows with each suspicion that it refutes.
  std::uint64_t incarnation = 0;
  /// Its state.
  Standing standing = Standing::alive;
  /// Since when it has that standing, on this router's clock.
  Micros standing_since{};
  /// Router that first reported the standing, as far as is known.
  std::string reported_by;
  /// When this router last heard from it directly.
  std::optional<Micros> last_heard;
  /// Whether other routers reach it and this one does not.
  bool unreachable_from_here = false;
  /// Whether it is alive or suspected.
  bool is_live() const { return standing == Standing::alive || standing == Standing::suspected; }
};

/// The members that a router knows, itself included.
struct View {
  /// Differs after each change of members or standings.
  std::uint64_t version = 0;
  /// When the view was made, on this router's clock.
  Micros made_at{};
  /// The protocol period, the unit of the protocol's timeouts.
  Micros period{};
  /// Name of this router.
  std::string own_name;
  /// All members by name, this router included; gone ones stay for a bounded time.
  std::vector<Member> members;
  /// Number of remembered members without those that left.
  std::uint32_t known_count = 1;
  /// Since when this router has seen less than half of the known members live; nothing otherwise.
  std::optional<Micros> minority_since;

  /// The member of a name, or null.
  const Member* find(std::string_view name) const;
  /// This router's own entry, or null.
  const Member* self() const { return find(own_name); }
  /// Number of members that are alive or suspected, this router included.
  std::uint32_t live_count() const;
};

}  // namespace lemonroute::peers
