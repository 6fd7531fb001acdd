// Implementation of an agent: membership, the extensions, and the sending of their payloads.
#pragma once

#include "peers/agent.h"
#include "peers/membership/membership.h"

namespace lemonroute::peers {

/// State of an agent; the outbox of its extensions.
struct Agent::Impl : Outbox {
  Impl(AgentOptions options, std::uint64_t seed);

  void send(Topic topic, std::string_view to, std::string bytes) override;
  /// Passes a changed view to the extensions: at most ten times a period, unless `always`.
  void publish_view(bool always);
  /// Logs the notices of membership for the operator.
  void log_notices();
  /// The JSON document of Agent::describe().
  nlohmann::json describe(Micros now) const;

  AgentOptions options;
  mutable membership::Membership members;
  std::vector<Extension*> extensions;
  Micros now{}, published_at{};
  std::uint64_t published_version = 0;
  bool started = false;
};

}  // namespace lemonroute::peers
