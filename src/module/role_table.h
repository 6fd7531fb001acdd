/// \file
/// A table with one value for each Role.
#pragma once

#include <array>
#include <cstddef>

#include "lemonroute/types.h"

namespace lemonroute::decisions {

/// All roles, in the order of iteration.
inline constexpr std::array<Role, 3> all_roles = {Role::prefill, Role::decode, Role::mixed};

/// One `Value` for each Role, value-initialized.
template <class Value>
class RoleTable {
 public:
  /// Returns the value of a role. The reference is valid as long as the table exists.
  [[nodiscard]] Value& operator[](Role role) { return values_[static_cast<std::size_t>(role)]; }
  /// The same, read-only.
  [[nodiscard]] const Value& operator[](Role role) const { return values_[static_cast<std::size_t>(role)]; }

 private:
  std::array<Value, all_roles.size()> values_{};
};

}  // namespace lemonroute::decisions
