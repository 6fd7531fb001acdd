// What is said of one router, and which of two sayings overrides the other.
#pragma once

#include <cstdint>
#include <string>
#include <string_view>
#include <tuple>

#include "peers/view.h"

namespace lemonroute::peers::membership {

struct Fact {
  std::string name, site, address;
  std::uint64_t start = 0, incarnation = 0;
  Standing standing = Standing::alive;
  std::string by;
  bool there() const { return standing == Standing::alive || standing == Standing::suspected; }
};

// The process that a fact is about. The newer start wins; between equal ones the greater address, so that any
// two routers name the same winner.
inline auto process(const Fact& fact) {
  return std::tie(fact.start, fact.address);
}

bool valid_name(std::string_view name);        // 1 to 64 printable characters, no blank, quote or backslash
bool valid_address(std::string_view address);  // host:port or [host]:port
bool valid(const Fact& fact);                  // every field is within its bounds

}  // namespace lemonroute::peers::membership
