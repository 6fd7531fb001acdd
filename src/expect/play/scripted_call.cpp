#include "expect/play/scripted_call.h"

#include "expect/play/scripted_nodes.h"

namespace lemonroute::expect {

ScriptedCall::ScriptedCall(ScriptedNodes& owner, NodeState& at_node, PlayedRequest& for_request,
                           AttemptHandler& to)
    : node(at_node),
      request(for_request),
      attempt(&to),
      index(for_request.story.attempts.size() - 1),
      owner_(owner) {
  node.calls.insert(this);
}

ScriptedCall::~ScriptedCall() {
  owner_.let_go(*this);
}

}  // namespace lemonroute::expect
