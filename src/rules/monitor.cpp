#include "rules/monitor.h"

#include <algorithm>
#include <cmath>
#include <iomanip>
#include <sstream>
#include <utility>

namespace lemonroute::rules {
namespace {

std::string ms(Micros span) {
  std::ostringstream text;
  text << std::fixed << std::setprecision(span.count() % 1000 ? 1 : 0)
       << static_cast<double>(span.count()) / 1000 << " ms";
  return text.str();
}

}  // namespace

const char* title(Rule rule) {
  switch (rule) {
    case Rule::answer:
      return "one answer in time";
    case Rule::attempts:
      return "one attempt at a time, and not too many";
    case Rule::drain:
      return "nothing new to a node that drains, is gone or out by hand";
    case Rule::cold:
      return "a cold node is not pushed over";
    case Rule::held:
      return "held state is used or freed";
    case Rule::pool:
      return "one region at a time sends to a pool";
  }
  return "?";
}

std::string Breach::text(Micros zero) const {
  std::ostringstream line;
  line << "rule " << static_cast<int>(rule) << " (" << title(rule) << ") at " << ms(at - zero);
  if (!request.empty())
    line << ", request " << request;
  if (!node.empty())
    line << ", node " << node;
  line << ": " << what;
  return line.str();
}

void Monitor::breach(Rule rule, Micros at, const std::string& request, const std::string& node,
                     std::string what) {
  breaches_.push_back({rule, at, request, node, std::move(what)});
}

// ---- Nodes ------------------------------------------------------------------------------------------------

void Monitor::listed(Micros now, const std::string& name, EndpointState phase, Micros started,
                     double capacity) {
  now = move(now);
  Node& node = nodes_[name];
  if (node.started != started)
    node.sent.clear();  // what an earlier process was sent weighs nothing on this one
  node.phase = phase;
  node.started = started;
  node.capacity = capacity;
  if (phase == EndpointState::ready)
    node.off.reset();
  else if (!node.off)
    node.off = now;
}

void Monitor::placed(const std::string& name, const std::string& zone, std::uint16_t cell, bool serves) {
  Node& node = nodes_[name];
  node.zone = zone;
  node.cell = cell;
  node.serves = serves;
}

void Monitor::banned(Micros now, const std::string& name) {
  now = move(now);
  if (auto& since = nodes_[name].banned; !since)
    since = now;
}

void Monitor::unbanned(Micros now, const std::string& name) {
  move(now);
  nodes_[name].banned.reset();
}

// ---- Requests ---------------------------------------------------------------------------------------------

void Monitor::taken(Micros now, const std::string& request, Micros deadline, std::uint32_t most_attempts,
                    Terms terms) {
  move(now);
  Watched& one = requests_[request] = {};
  one.terms = terms;
  one.deadline = deadline;
  one.most_attempts = most_attempts;
  live_.insert(request);
}

void Monitor::sent(Micros now, const std::string& request, const std::string& name, double tokens,
                   const std::string& region) {
  now = move(now);
  turns_.sent({now, request, name, region});
  const auto found = requests_.find(request);
  if (found == requests_.end())
    return breach(Rule::attempts, now, request, name,
                  "an attempt was sent for a request that was never taken");
  Watched& one = found->second;
  if (one.answers > 0 || (one.left && now - one.left_at > limits_.told_late) || one.started)
    breach(Rule::attempts, now, request, name,
           one.started ? "an attempt was sent after the first event" : "an attempt was sent after the end");
  if (!one.out.empty() && !limits_.second_copies)
    breach(Rule::attempts, now, request, name,
           "a second attempt was sent while one is out at " + *one.out.begin());
  repeated(now, request, name, one);
  one.last_sent = now;
  one.out.insert(name);
  if (++one.attempts > one.most_attempts)
    breach(Rule::attempts, now, request, name,
           "attempt " + std::to_string(one.attempts) + " of at most " + std::to_string(one.most_attempts));
  Node& node = nodes_[name];
  for (const auto& [since, why] :
       {std::pair{node.off, "it drains or is gone"}, std::pair{node.banned, "it was taken out by hand"}})
    if (since && now - *since > limits_.drain_grace)
      breach(Rule::drain, now, request, name,
             std::string("new work ") + ms(now - *since) + " after " + why + ", " + ms(limits_.drain_grace) +
                 " are allowed");
  cold(now, request, name, node, tokens);
}

void Monitor::repeated(Micros now, const std::string& request, const std::string& name, const Watched& one) {
  const Node& node = nodes_[name];
  if (!one.ran || !node.serves || one.terms.effect == Idempotency::idempotent)
    return;
  const std::string after = " after an attempt at " + one.ran->node + " that may have run";
  if (one.terms.effect == Idempotency::not_idempotent)
    return breach(Rule::attempts, now, request, name, "sent again" + after);
  if (now - one.ran->sent >= one.terms.window)
    breach(Rule::attempts, now, request, name,
           "sent again " + ms(now - one.ran->sent) + after + ", its window is " + ms(one.terms.window));
  // A zone or cell that the list does not state is that of no other node.
  const bool same_zone = !node.zone.empty() && one.ran->zone == node.zone;
  const bool same_cell = node.cell != unknown_cell && one.ran->cell == node.cell;
  const bool same = one.terms.group == RetryScope::all || one.ran->node == name ||
                    (one.terms.group == RetryScope::zone ? same_zone : same_cell);
  if (!same)
    breach(Rule::attempts, now, request, name, "sent again outside the group" + after);
}

// The budget of any window: multiple x capacity at the start x window, in this router's part of it. One
// request alone in a window passes whatever its size, or a cold node could never warm up.
void Monitor::cold(Micros now, const std::string& request, const std::string& name, Node& node,
                   double tokens) {
  while (!node.sent.empty() && now - node.sent.front().first >= limits_.cold_window)
    node.sent.pop_front();
  const bool is_cold = node.started > Micros(0) && now - node.started < limits_.cold_for;
  node.sent.emplace_back(now, tokens);
  if (!is_cold || node.capacity <= 0 || node.sent.size() < 2)
    return;
  double sum = 0;
  for (const auto& [at, amount] : node.sent)
    sum += amount;
  const double seconds = static_cast<double>(limits_.cold_window.count()) / 1e6;
  const double budget =
      limits_.cold_multiple * limits_.cold_from * node.capacity * seconds / limits_.siblings;
  if (sum <= budget)
    return;
  std::ostringstream what;
  what << std::fixed << std::setprecision(0) << sum << " tokens within " << ms(limits_.cold_window) << ", "
       << ms(now - node.started) << " after its start; its budget is " << budget;
  breach(Rule::cold, now, request, name, what.str());
}

void Monitor::over(Micros now, const std::string& request, const std::string& node, bool ran) {
  now = move(now);
  const auto found = requests_.find(request);
  if (found == requests_.end())
    return;
  Watched& one = found->second;
  if (const Node& at = nodes_[node]; ran && at.serves && !one.ran)
    one.ran = Ran{one.last_sent, node, at.zone, at.cell};
  auto& out = one.out;
  if (const auto at = out.find(node); at != out.end())
    out.erase(at);
  if (out.empty())
    for (auto& [holder, since] : found->second.holders)
      since = now;
}

void Monitor::first(Micros now, const std::string& request) {
  now = move(now);
  const auto found = requests_.find(request);
  if (found == requests_.end())
    return;
  if (now > found->second.deadline + limits_.answer_slack && !std::exchange(found->second.late, true))
    breach(Rule::answer, now, request, "",
           "the first event came " + ms(now - found->second.deadline) + " after the client gave up");
  found->second.started = true;
}

void Monitor::answered(Micros now, const std::string& request, const std::string& how) {
  now = move(now);
  const auto found = requests_.find(request);
  if (found == requests_.end())
    return breach(Rule::answer, now, request, "", "an answer to a request never taken");
  Watched& one = found->second;
  if (one.left)
    return breach(Rule::answer, now, request, "", "an answer (" + how + ") to a client that has gone");
  if (++one.answers > 1)
    breach(Rule::answer, now, request, "", "answer " + std::to_string(one.answers) + " (" + how + ")");
  if (!one.started && now > one.deadline + limits_.answer_slack && !std::exchange(one.late, true))
    breach(Rule::answer, now, request, "",
           "the answer (" + how + ") came " + ms(now - one.deadline) + " after the client gave up");
}

void Monitor::refused(Micros now, const std::string& request) {
  if (const auto found = requests_.find(request); found != requests_.end() && found->second.ran) {
    const Terms& terms = found->second.terms;
    if (terms.effect == Idempotency::not_idempotent ||
        (terms.effect == Idempotency::idempotent_with_key && terms.group != RetryScope::all))
      breach(Rule::attempts, std::max(now, now_), request, found->second.ran->node,
             "refused after it may have run there");
  }
  answered(now, request, "refused");
}

void Monitor::left(Micros now, const std::string& request) {
  now = move(now);
  const auto found = requests_.find(request);
  if (found == requests_.end() || std::exchange(found->second.left, true))
    return;
  found->second.left_at = now;
}

// ---- Held state -------------------------------------------------------------------------------------------

void Monitor::held(Micros now, const std::string& request, const std::string& node) {
  now = move(now);
  requests_[request].holders[node] = now;
  live_.insert(request);
}

void Monitor::freed(Micros now, const std::string& request, const std::string& node) {
  now = move(now);
  if (const auto found = requests_.find(request); found != requests_.end())
    found->second.holders.erase(node);
}

void Monitor::judge_turns(Micros up_to) {
  turns_.judge(up_to, [this](const Turns::Turn& turn, const std::string& what) {
    breach(Rule::pool, turn.at, turn.request, turn.node, what);
  });
}

void Monitor::advance(Micros now) {
  now = move(now);
  judge_turns(now - limits_.published);
  for (auto it = live_.begin(); it != live_.end();) {
    const std::string& name = *it;
    Watched& one = requests_.at(name);
    if (!one.started && !one.left && one.answers == 0 && now > one.deadline + limits_.answer_slack &&
        !std::exchange(one.late, true))
      breach(Rule::answer, now, name, "", "no answer when the client gave up");
    for (const auto& [holder, since] : one.holders)
      if (one.out.empty() && now - since > limits_.held && one.told_held.insert(holder).second)
        breach(Rule::held, now, name, holder,
               "its state is held for " + ms(now - since) + " with no attempt out, " + ms(limits_.held) +
                   " are allowed");
    const bool settled = one.holders.empty() && (one.started || one.left || one.answers > 0);
    it = settled ? live_.erase(it) : std::next(it);
  }
}

void Monitor::finish(Micros now) {
  advance(now);
  judge_turns(now_);
  for (auto& [name, one] : requests_) {
    if (one.answers == 0 && !one.left && !std::exchange(one.late, true))
      breach(Rule::answer, now_, name, "", "it was never answered");
    if (!one.out.empty())
      breach(Rule::attempts, now_, name, *one.out.begin(), "an attempt is still out at the end");
    for (const auto& [holder, since] : one.holders)
      if (one.told_held.insert(holder).second)
        breach(Rule::held, now_, name, holder, "its state is still held at the end");
  }
}

std::size_t Monitor::open() const {
  return static_cast<std::size_t>(std::count_if(requests_.begin(), requests_.end(), [](const auto& one) {
    return one.second.answers == 0 && !one.second.left;
  }));
}

}  // namespace lemonroute::rules
