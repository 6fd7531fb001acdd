// Implementation of an agent: membership, the extensions, and the sending of their payloads.
#pragma once

#include "peers/agent.h"
#include "peers/membership/membership.h"

namespace lemonroute::peers {

/// State of an agent; the outbox of its extensions.
struct Agent::Impl : Outbox {
  /// Takes the settings of the agent and the seed of its random choices.
  Impl(AgentOptions options, std::uint64_t seed);

  void send(Topic topic, std::string_view to, std::string bytes) override;
  /// Passes a changed view to the extensions: at most ten times a period, unless `always`.
  void publish_view(bool always);
  /// Logs the notices of membership for the operator.
  void log_notices();
  /// The JSON document of Agent::describe().
  nlohmann::json describe(Micros now) const;

  AgentOptions options;                    ///< settings of the agent
  mutable membership::Membership members;  ///< the members and what is known of them
  std::vector<Extension*> extensions;      ///< not owned
  Micros now{},                            ///< latest time passed in
      published_at{};                      ///< when the extensions last got a view
  std::uint64_t published_version = 0;     ///< version of the members in that view
  bool started = false;                    ///< whether the agent was started
};

}  // namespace lemonroute::peers
