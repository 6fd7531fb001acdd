// One attempt of a request at a scripted node, while a case is played.
#pragma once

#include <cstdint>
#include <optional>

#include "core/timers.h"
#include "core/types.h"
#include "expect/play/node_state.h"
#include "expect/play/request.h"

namespace lemonroute::expect {

class ScriptedNodes;

// One attempt at a node. Destroyed when the core lets go of it.
class ScriptedCall : public Call {
 public:
  ScriptedCall(ScriptedNodes& owner, NodeState& at_node, PlayedRequest& for_request, AttemptHandler& to);
  ~ScriptedCall() override;

  NodeState& node;
  PlayedRequest& request;
  AttemptHandler* attempt;  // none once it has been told of its end
  const std::size_t index;  // among the request's attempts
  std::optional<Timers::Id> timer;
  bool streams = false;  // counts among the node's streams
  bool over = false;     // its answer has come to its end
  std::uint32_t kept = 0;

 private:
  ScriptedNodes& owner_;
};

}  // namespace lemonroute::expect
