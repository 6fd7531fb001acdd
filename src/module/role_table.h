/// \file
/// A fixed table with one value for each Role. It owns its values and has no other state.
#pragma once

#include <array>
#include <cstddef>

#include "lemonroute/types.h"

namespace lemonroute::decisions {

/// All roles, in the order in which they are visited.
inline constexpr std::array<Role, 3> all_roles = {Role::prefill, Role::decode, Role::mixed};

/// One `Value` for each Role, value-initialised.
template <class Value>
class RoleTable {
 public:
  /// Returns the value of a role. The reference is valid as long as the table.
  [[nodiscard]] Value& operator[](Role role) { return values_[static_cast<std::size_t>(role)]; }
  /// The same, to be read only.
  [[nodiscard]] const Value& operator[](Role role) const { return values_[static_cast<std::size_t>(role)]; }

 private:
  std::array<Value, all_roles.size()> values_{};
};

}  // namespace lemonroute::decisions
