// What one scripted node remembers while a case is played: the texts in its KV cache, the prefill state that
// it holds for requests, its queue and the troubles that the script has put on it. Makes no calls and knows
// no clock.
#pragma once

#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "expect/case.h"

namespace lemonroute::expect {

class ScriptedCall;

struct NodeState {
  // A trouble that lasts until a moment on the router's clock.
  struct Spell {
    Micros until;
    Trouble how;
    double factor;  // of trouble "slow": how many times longer everything takes
  };

  const ScriptedNode* script = nullptr;
  EndpointState phase = EndpointState::ready;
  std::optional<Micros> started;  // as listed; on the case's clock
  bool listed = false;
  std::map<std::string, double> sessions,
      openings;                     // tokens kept in the KV cache, by session and by shared prefix
  std::set<std::string> held;       // names of requests whose prefill state waits here
  std::deque<ScriptedCall*> queue;  // prefills, the first one under way
  std::set<ScriptedCall*> calls;    // all attempts that are at this node
  std::int64_t streams = 0;         // answers being streamed
  std::vector<Spell> spells;

  // Tokens of the prompt that the KV cache has. `session`: under which the request's text is kept.
  double kept(const Ask& ask, const std::string& session) const;
  void keep(const Ask& ask, const std::string& session);
  // Whether this trouble holds at `now`.
  bool troubled(Trouble how, Micros now) const;
  // How many times longer everything takes at `now`; 1 without trouble.
  double slowed(Micros now) const;
};

}  // namespace lemonroute::expect
