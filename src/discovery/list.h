// Lists of nodes as discovery words them.
#pragma once

#include <nlohmann/json_fwd.hpp>
#include <stdexcept>
#include <string_view>
#include <vector>

#include "core/router.h"

namespace lemonroute::discovery {

struct ListError : std::runtime_error {
  using std::runtime_error::runtime_error;
};

struct NodeList {
  std::uint32_t version = 0;
  bool whole = false;
  std::vector<Router::ListedNode> nodes;
};

// Both throw ListError, naming what is wrong; a list is taken whole or not at all.
NodeList parse_list(const nlohmann::json& json);
NodeList parse_list_text(std::string_view text);

}  // namespace lemonroute::discovery
