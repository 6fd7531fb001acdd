// What one router knows of the others: a fact with an age, not a truth. Views of two routers may differ, and
// one that is cut off keeps what it last heard; docs/peers-design.md says what each user of a view does then.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "lemonroute/scheduler.h"

namespace lemonroute::peers {

enum class Standing : std::uint8_t {
  alive,
  suspected,  // missed by somebody, not yet given up: it may refute that
  gone,       // given up
  left,       // said itself that it ends
};

struct Member {
  std::string name;         // unique in the fleet, up to 64 bytes
  std::string site;         // zone of the list in which it stands
  std::string address;      // where it takes datagrams, "127.0.0.1:7946"
  std::uint64_t start = 0;  // Unix time in us at which its process started; a newer one is another process
  std::uint64_t incarnation = 0;  // grows each time that it refutes a suspicion
  Standing standing = Standing::alive;
  Micros since{};                      // of that standing, on this router's clock
  std::string by;                      // who noticed it first, as far as was told
  std::optional<Micros> heard;         // the last word that came here from itself
  bool unreachable_from_here = false;  // others hear it, this router does not
  bool there() const { return standing == Standing::alive || standing == Standing::suspected; }
};

struct View {
  std::uint64_t version = 0;  // another one with each change of members or standings
  Micros at{};                // when it was so, on this router's clock
  Micros period{};            // the protocol's period, in which expectations are counted
  std::string me;
  std::vector<Member> members;           // by name, this router among them; the gone stay for a bounded time
  std::uint32_t known = 1;               // of whom it has known and who did not leave of their own accord
  std::optional<Micros> minority_since;  // sees less than half of those known, since then

  const Member* find(std::string_view name) const;
  const Member* self() const { return find(me); }
  std::uint32_t there() const;  // alive or suspected, this one too
};

}  // namespace lemonroute::peers
