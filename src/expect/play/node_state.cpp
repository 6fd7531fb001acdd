#include "expect/play/node_state.h"

#include <algorithm>

namespace lemonroute::expect {
namespace {

double find_or_zero(const std::map<std::string, double>& texts, const std::string& key) {
  const auto found = texts.find(key);
  return found == texts.end() ? 0.0 : found->second;
}

}  // namespace

double NodeState::kept(const Ask& ask, const std::string& session) const {
  const double own = find_or_zero(sessions, session);
  const double shared = ask.opening.empty() ? 0.0 : std::min(ask.shared, find_or_zero(openings, ask.opening));
  return std::min(ask.tokens, std::max(own, shared));
}

void NodeState::keep(const Ask& ask, const std::string& session) {
  double& own = sessions[session];
  own = std::max(own, ask.tokens);
  if (ask.opening.empty())
    return;
  double& shared = openings[ask.opening];
  shared = std::max(shared, ask.shared);
}

bool NodeState::troubled(Trouble how, Micros now) const {
  return std::any_of(spells.begin(), spells.end(),
                     [&](const Spell& spell) { return spell.how == how && now < spell.until; });
}

double NodeState::slowed(Micros now) const {
  for (const auto& spell : spells)
    if (spell.how == Trouble::slow && now < spell.until)
      return spell.factor;
  return 1;
}

}  // namespace lemonroute::expect
