// The nodes of a played case as the router calls them: prefills one after the other, streams side by side,
// and instead of them whatever trouble the script has put on a node.
#pragma once

#include <functional>
#include <memory>
#include <string>

#include "core/types.h"
#include "expect/play/choices.h"
#include "expect/play/node_list.h"
#include "expect/play/scripted_call.h"
#include "expect/play/shared.h"

namespace lemonroute::expect {

class ScriptedNodes : public NodeTransport {
 public:
  ScriptedNodes(Shared& shared, NodeList& list, ChoiceLog& choices)
      : shared_(shared), list_(list), choices_(choices) {}

  // ---- for the router ----
  std::unique_ptr<Call> start_attempt(const Node& node, const Prompt& prompt, Micros within,
                                      AttemptHandler& attempt) override;
  std::unique_ptr<Call> release_reservation(const Node& node, const std::string& id,
                                            std::function<void(bool)> done) override;
  std::unique_ptr<Call> probe(const Node&, std::function<void(const AttemptResult&)>) override {
    return nullptr;
  }
  void close_idle_connections(const Node&) override {}
  void set_limits(const Limits&) override {}

  // ---- for the script ----
  // The node's process ends and starts anew: what it kept and held is gone, attempts at it are reset.
  void restart(NodeState& node);
  // From now on; what is under way there feels it as well.
  void trouble(NodeState& node, const NodeState::Spell& spell);

 private:
  friend class ScriptedCall;

  bool troubled(const NodeState& node, Trouble how) const { return node.troubled(how, shared_.clock.at); }
  double slowed(const NodeState& node) const { return node.slowed(shared_.clock.at); }
  void later(ScriptedCall& call, Micros after, std::function<void()> job);
  // Puts the attempt at the node to work, or to the trouble that the node is in.
  void serve(ScriptedCall& call);

  void queue_prefill(ScriptedCall& call);
  void start_prefill(ScriptedCall& call);
  void end_prefill(ScriptedCall& call);
  void leave_queue(ScriptedCall& call);

  void decode(ScriptedCall& call);
  bool state_reachable(const std::string& request) const;
  bool decodes(const PlayedRequest& request) const;
  void stream(ScriptedCall& call, Micros after);
  void flow(ScriptedCall& call, Micros left);
  // False if the call is gone: whoever is told of an event may let go of the call there and then.
  bool send_event(ScriptedCall& call);

  // The answer to an attempt has come to its end, well or not. The call is gone after it.
  void end(ScriptedCall& call, Outcome outcome, std::string detail);
  void let_go(ScriptedCall& call);
  void free_everywhere(const std::string& request);

  Shared& shared_;
  NodeList& list_;
  ChoiceLog& choices_;
};

}  // namespace lemonroute::expect
