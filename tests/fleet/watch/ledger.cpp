#include "watch/ledger.h"

namespace lemonroute::rig {
namespace {

constexpr std::uint32_t most_attempts = 4;  // as in every scene's settings
constexpr Micros no_deadline = std::chrono::hours(24);

}  // namespace

void Ledger::told(Micros now, const std::string& router, const std::string& device,
                  const std::string& lifecycle, Micros started) {
  const EndpointState phase = lifecycle == "active"    ? EndpointState::ready
                              : lifecycle == "leaving" ? EndpointState::draining
                                                       : EndpointState::removed;
  told_[router][device] = {phase, started};
  monitor_.listed(now, device + "@" + router, phase, started);
}

void Ledger::asked(Micros now, const std::string& request, const Asked& asked, Micros deadline) {
  requests_[request].asked = asked;
  open_.insert(request);
  monitor_.taken(now, request, deadline, most_attempts);
}

void Ledger::first(Micros now, const std::string& request) {
  monitor_.first(now, request);
}

void Ledger::answered(Micros now, const std::string& request, const std::string& how) {
  if (open_.erase(request) == 0)
    return;
  ++answers_[how];
  monitor_.answered(now, request, how);
}

void Ledger::left(Micros now, const std::string& request) {
  if (open_.erase(request) == 0)
    return;
  monitor_.left(now, request);
}

// A frozen process learns that its clients have gone when it goes on. Until it has, what it sends for them is
// watched as a request of its own, whose client is never to be answered: all rules but the first hold for it.
std::string Ledger::watched(Micros now, const std::string& request, Entry& entry) {
  if (!entry.frozen)
    return request;
  const std::string again = request + " (after a freeze)";
  if (again_.insert(again).second)
    monitor_.taken(now, again, now + no_deadline, most_attempts);
  return again;
}

void Ledger::begun(Micros now, const std::string& request, const std::string& device) {
  Entry& entry = requests_.at(request);
  monitor_.sent(now, watched(now, request, entry), node(device, entry), entry.asked.prompt.tokens,
                entry.asked.region);
}

void Ledger::over(Micros now, const std::string& request, const std::string& device) {
  Entry& entry = requests_.at(request);
  monitor_.over(now, request, node(device, entry));  // one of the two names has it out
  if (entry.frozen)
    monitor_.over(now, watched(now, request, entry), node(device, entry));
}

void Ledger::holds(Micros now, const std::string& request, const std::string& device) {
  Entry& entry = requests_.at(request);
  entry.holders.insert(device);
  if (running_(entry.asked.router, entry.asked.generation))
    monitor_.held(now, watched(now, request, entry), node(device, entry));
}

void Ledger::freed(Micros now, const std::string& request, const std::string& device) {
  Entry& entry = requests_.at(request);
  entry.holders.erase(device);
  monitor_.freed(now, request, node(device, entry));
  if (entry.frozen)
    monitor_.freed(now, watched(now, request, entry), node(device, entry));
}

void Ledger::read(const std::string& device, const Prompt& prompt, std::uint32_t cached) {
  if (!prompt.opening.empty() && cached == 0)
    read_[prompt.opening].insert(device);
}

void Ledger::away(Micros now, const std::string& router) {
  for (auto& [request, entry] : requests_) {
    if (entry.asked.router != router)
      continue;
    if (open_.count(request)) {
      left(now, request);
      entry.frozen = true;
    }
    for (const auto& device : entry.holders) {
      monitor_.freed(now, request, node(device, entry));
      if (entry.frozen)
        monitor_.freed(now, watched(now, request, entry), node(device, entry));
    }
  }
}

void Ledger::back(Micros now, const std::string& router) {
  for (const auto& [device, told] : told_[router]) {
    monitor_.listed(now, device + "@" + router, EndpointState::ready, told.started);
    monitor_.listed(now, device + "@" + router, told.phase, told.started);
  }
  for (auto& [request, entry] : requests_)
    if (entry.asked.router == router && running_(router, entry.asked.generation))
      for (const auto& device : entry.holders)
        monitor_.held(now, watched(now, request, entry), node(device, entry));
}

void Ledger::finish(Micros now) {
  for (const auto& again : again_)
    monitor_.left(now, again);
  monitor_.finish(now);
}

std::size_t Ledger::answers(const std::string& how) const {
  const auto at = answers_.find(how);
  return at == answers_.end() ? 0 : at->second;
}
std::size_t Ledger::owed() const {
  std::size_t sum = 0;
  for (const auto& [request, entry] : requests_)
    if (!entry.holders.empty() && running_(entry.asked.router, entry.asked.generation))
      sum += entry.holders.size();
  return sum;
}
std::size_t Ledger::readers_of(const std::string& opening) const {
  const auto at = read_.find(opening);
  return at == read_.end() ? 0 : at->second.size();
}

}  // namespace lemonroute::rig
