#include "peers/agent.h"

#include <algorithm>
#include <nlohmann/json.hpp>

#include "base/log.h"
#include "peers/agent_impl.h"

namespace lemonroute::peers {

Agent::Impl::Impl(AgentOptions agent_options, std::uint64_t seed)
    : options(agent_options), members(std::move(agent_options), seed) {}

void Agent::Impl::send(Topic topic, std::string_view to, std::string bytes) {
  members.send_payload(topic, to, std::move(bytes));
}

void Agent::Impl::publish_view(bool always) {
  if (members.version() == published_version || (!always && now - published_at < options.period / 10))
    return;
  published_version = members.version();
  published_at = now;
  for (Extension* extension : extensions)
    extension->on_view_change(now, members.view(now));
}

void Agent::Impl::log_notices() {
  for (const auto& notice : members.take_notices())
    logging::warn() << "peers: " << notice;
}

Agent::Agent(AgentOptions options, std::uint64_t seed)
    : impl_(std::make_unique<Impl>(std::move(options), seed)) {}
Agent::~Agent() = default;

void Agent::add_extension(Extension& extension) {
  impl_->extensions.push_back(&extension);
}

void Agent::start(Micros now) {
  auto& impl = *impl_;
  impl.now = now;
  impl.started = true;
  impl.members.start(now);
  impl.publish_view(true);
}

void Agent::receive(Micros now, const std::string&, std::string_view bytes) {
  auto& impl = *impl_;
  if (!impl.started)
    return;
  impl.now = std::max(impl.now, now);
  auto& counters = impl.members.counters();
  ++counters.received;
  wire::Packet packet;
  switch (wire::decode(bytes, packet, counters.facts_left_out)) {
    case wire::DecodeError::none:
      break;
    case wire::DecodeError::unreadable:
      ++counters.unreadable;
      return;
    case wire::DecodeError::unknown_version:
      ++counters.unknown_version;
      return;
    case wire::DecodeError::bad_field:
      ++counters.bad_field;
      return;
  }
  const bool from_member = impl.members.receive(impl.now, packet);
  impl.publish_view(false);
  impl.log_notices();
  if (const auto* payload = std::get_if<wire::Payload>(&packet.body); payload && from_member)
    for (Extension* extension : impl.extensions)
      if (static_cast<std::uint32_t>(extension->topic()) == payload->topic)
        extension->receive(impl.now, packet.sender.name, payload->content, impl);
}

void Agent::run_due(Micros now) {
  auto& impl = *impl_;
  if (!impl.started)
    return;
  impl.now = std::max(impl.now, now);
  impl.members.run_due(impl.now);
  impl.publish_view(false);
  impl.log_notices();
  for (Extension* extension : impl.extensions)
    if (extension->next_due() <= impl.now)
      extension->run_due(impl.now, impl);
}

Micros Agent::next_due() const {
  Micros due = impl_->members.next_due();
  for (const Extension* extension : impl_->extensions)
    due = std::min(due, extension->next_due());
  return due;
}

void Agent::leave(Micros now) {
  impl_->now = std::max(impl_->now, now);
  impl_->members.leave(impl_->now);
  impl_->publish_view(true);
}

std::vector<Datagram> Agent::take_datagrams() {
  return impl_->members.take_datagrams();
}

const View& Agent::view() const {
  return impl_->members.view(impl_->now);
}

nlohmann::json Agent::describe(Micros now) const {
  return impl_->describe(now);
}

}  // namespace lemonroute::peers
