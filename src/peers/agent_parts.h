// The inside of an agent: membership, the extensions, and the way of their payloads.
#pragma once

#include "peers/agent.h"
#include "peers/membership/membership.h"

namespace lemonroute::peers {

struct Agent::Parts : Outbox {
  Parts(Options options, std::uint64_t seed);

  void send(Topic topic, std::string_view to, std::string bytes) override;
  void show(bool always);  // the view to the extensions, once a tick at most
  void say_notices();
  nlohmann::json describe(Micros now) const;

  Options options;
  mutable membership::Membership members;
  std::vector<Extension*> extensions;
  Micros now{}, shown_at{};
  std::uint64_t shown = 0;
  bool started = false;
};

}  // namespace lemonroute::peers
