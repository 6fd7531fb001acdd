// A claim about one router, as it is sent between routers, and its validity.
#pragma once

#include <cstdint>
#include <string>
#include <string_view>
#include <tuple>

#include "peers/view.h"

namespace lemonroute::peers::membership {

/// What a router claims about a member.
struct Fact {
  std::string name,         ///< the member's name
      site,                 ///< its site
      address;              ///< the address at which it receives datagrams ("127.0.0.1:7946")
  std::uint64_t start = 0,  ///< start of the member's process, Unix time in microseconds
      incarnation = 0;      ///< the member's incarnation
  /// The claimed standing.
  Standing standing = Standing::alive;
  /// Name of the router that first reported this standing; may be empty.
  std::string reported_by;
  /// Whether the member is alive or suspected.
  bool is_live() const { return standing == Standing::alive || standing == Standing::suspected; }
};

/// Identity and order of the process that a fact is about. The later start is the newer process; the greater
/// address breaks ties, so that all routers agree on the newer one.
inline auto process_id(const Fact& fact) {
  return std::tie(fact.start, fact.address);
}

/// Whether the name has 1 to 64 printable ASCII characters other than space, quote and backslash.
bool valid_name(std::string_view name);
/// Whether the address has the form host:port or [host]:port.
bool valid_address(std::string_view address);
/// Whether every field but the standing is within its bounds.
bool valid(const Fact& fact);

}  // namespace lemonroute::peers::membership
