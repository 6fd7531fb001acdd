#include "peers/agent.h"

#include <algorithm>
#include <nlohmann/json.hpp>

#include "base/log.h"
#include "peers/agent_parts.h"

namespace lemonroute::peers {

Agent::Parts::Parts(Options given, std::uint64_t seed) : options(given), members(std::move(given), seed) {}

void Agent::Parts::send(Topic topic, std::string_view to, std::string bytes) {
  members.payload(topic, to, std::move(bytes));
}

void Agent::Parts::show(bool always) {
  if (members.version() == shown || (!always && now - shown_at < options.period / 10))
    return;
  shown = members.version();
  shown_at = now;
  for (Extension* extension : extensions)
    extension->viewed(now, members.view(now));
}

void Agent::Parts::say_notices() {
  for (const auto& line : members.take_notices())
    logging::warn() << "peers: " << line;
}

Agent::Agent(Options options, std::uint64_t seed)
    : parts_(std::make_unique<Parts>(std::move(options), seed)) {}
Agent::~Agent() = default;

void Agent::add(Extension& extension) {
  parts_->extensions.push_back(&extension);
}

void Agent::start(Micros now) {
  auto& parts = *parts_;
  parts.now = now;
  parts.started = true;
  parts.members.start(now);
  parts.show(true);
}

void Agent::receive(Micros now, const std::string&, std::string_view bytes) {
  auto& parts = *parts_;
  if (!parts.started)
    return;
  parts.now = std::max(parts.now, now);
  auto& counters = parts.members.counters();
  ++counters.received;
  wire::Packet packet;
  switch (wire::decode(bytes, packet, counters.facts_left_out)) {
    case wire::Fault::none:
      break;
    case wire::Fault::unreadable:
      ++counters.unreadable;
      return;
    case wire::Fault::version:
      ++counters.unknown_version;
      return;
    case wire::Fault::field:
      ++counters.bad_field;
      return;
  }
  const bool member = parts.members.receive(parts.now, packet);
  parts.show(false);
  parts.say_notices();
  if (const auto* payload = std::get_if<wire::Payload>(&packet.body); payload && member)
    for (Extension* extension : parts.extensions)
      if (static_cast<std::uint32_t>(extension->topic()) == payload->topic)
        extension->receive(parts.now, packet.sender.name, payload->content, parts);
}

void Agent::run_due(Micros now) {
  auto& parts = *parts_;
  if (!parts.started)
    return;
  parts.now = std::max(parts.now, now);
  parts.members.run_due(parts.now);
  parts.show(false);
  parts.say_notices();
  for (Extension* extension : parts.extensions)
    if (extension->next_due() <= parts.now)
      extension->run_due(parts.now, parts);
}

Micros Agent::next_due() const {
  Micros due = parts_->members.next_due();
  for (const Extension* extension : parts_->extensions)
    due = std::min(due, extension->next_due());
  return due;
}

void Agent::leave(Micros now) {
  parts_->now = std::max(parts_->now, now);
  parts_->members.leave(parts_->now);
  parts_->show(true);
}

std::vector<Datagram> Agent::take() {
  return parts_->members.take();
}

const View& Agent::view() const {
  return parts_->members.view(parts_->now);
}

nlohmann::json Agent::describe(Micros now) const {
  return parts_->describe(now);
}

}  // namespace lemonroute::peers
