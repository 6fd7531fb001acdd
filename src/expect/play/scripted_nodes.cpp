#include "expect/play/scripted_nodes.h"

#include <algorithm>
#include <cmath>
#include <utility>
#include <vector>

namespace lemonroute::expect {
namespace {

constexpr Micros hop = std::chrono::milliseconds(1);        // from the router to a node, and back
constexpr Micros event_interval = std::chrono::seconds(1);  // between the events of a stream

const char* word(Outcome outcome) {
  switch (outcome) {
    case Outcome::ok:
      return "served";
    case Outcome::prefill_done:
      return "read";
    case Outcome::timeout:
      return "timed out";
    case Outcome::not_applicable:
      return "moot";
    case Outcome::rejected_over_capacity:
      return "turned away";
    case Outcome::cancelled:
      return "called off";
    case Outcome::error:
      return "error";
    case Outcome::reset:
      return "reset";
    case Outcome::connect_failed:
      return "could not connect";
  }
  return "?";
}

Micros times(Micros span, double factor) {
  return Micros(std::llround(static_cast<double>(span.count()) * factor));
}

// A copy, since ending a call takes it out of the node's own set.
std::vector<ScriptedCall*> calls_of(const NodeState& node) {
  return {node.calls.begin(), node.calls.end()};
}

}  // namespace

// ---- For the router ----

std::unique_ptr<Call> ScriptedNodes::start_attempt(const Node& node, const Prompt& prompt, Micros,
                                                   AttemptHandler& attempt) {
  PlayedRequest& request = *shared_.requests.by_wire_name(prompt.id);
  NodeState& state = shared_.nodes.at(node.name);
  const Micros now = shared_.clock.at;
  request.story.attempts.push_back({node.name, now - request.story.asked, state.script->role, {}, {}});
  shared_.monitor.sent(now, request.ask.name, node.name, request.ask.tokens);
  auto call = std::make_unique<ScriptedCall>(*this, state, request, attempt);
  serve(*call);
  return call;
}

void ScriptedNodes::serve(ScriptedCall& call) {
  const auto ends = [&](Outcome outcome, const char* why) {
    later(call, hop, [this, &call, outcome, why] { end(call, outcome, why); });
  };
  const NodeState& node = call.node;
  if (troubled(node, Trouble::silent))
    return;
  if (troubled(node, Trouble::refuses))
    return ends(Outcome::connect_failed, "refused");
  if (troubled(node, Trouble::declines))
    return ends(Outcome::rejected_over_capacity, "declined");
  if (troubled(node, Trouble::errors))
    return ends(Outcome::error, "status 500");
  if (troubled(node, Trouble::resets))
    return ends(Outcome::reset, "the connection broke");
  if (node.script->role == Role::decode)
    return decode(call);
  queue_prefill(call);
}

std::unique_ptr<Call> ScriptedNodes::release_reservation(const Node& node, const std::string& id,
                                                         std::function<void(bool)> done) {
  struct Releasing : Call {
    explicit Releasing(Timers& of) : timers(of) {}
    ~Releasing() override {
      if (timer)
        timers.cancel(*timer);
    }
    Timers& timers;
    std::optional<Timers::Id> timer;
  };
  auto call = std::make_unique<Releasing>(shared_.timers);
  NodeState& state = shared_.nodes.at(node.name);
  if (troubled(state, Trouble::silent))
    return call;
  const bool refused = troubled(state, Trouble::refuses);
  const auto arrive = [this, &state, id, refused, call = call.get(), done = std::move(done)] {
    call->timer.reset();
    const PlayedRequest* request = shared_.requests.by_wire_name(id);
    if (!refused && request && !decodes(*request) && state.held.erase(request->ask.name) > 0)
      shared_.freed(state, request->ask.name);
    done(!refused);
  };
  call->timer = shared_.timers.add(shared_.clock.at + hop, arrive);
  return call;
}

// Whether a decode waits for the state: a release does not touch it then.
bool ScriptedNodes::decodes(const PlayedRequest& request) const {
  for (const auto& [name, node] : shared_.nodes) {
    if (node.script->role != Role::decode)
      continue;
    for (const ScriptedCall* call : node.calls)
      if (&call->request == &request)
        return true;
  }
  return false;
}

// ---- For the script ----

void ScriptedNodes::restart(NodeState& node) {
  node.sessions.clear();
  node.openings.clear();
  for (const auto& request : std::exchange(node.held, {}))
    shared_.freed(node, request);
  for (ScriptedCall* call : calls_of(node))
    end(*call, Outcome::reset, "the process ended");
}

void ScriptedNodes::trouble(NodeState& node, const NodeState::Spell& spell) {
  node.spells.push_back(spell);
  if (spell.how != Trouble::silent && spell.how != Trouble::resets)
    return;
  for (ScriptedCall* call : calls_of(node)) {
    if (call->timer)
      shared_.timers.cancel(*call->timer);
    call->timer.reset();
    if (spell.how == Trouble::resets)
      end(*call, Outcome::reset, "the connection broke");
  }
}

void ScriptedNodes::later(ScriptedCall& call, Micros after, std::function<void()> job) {
  if (call.timer)
    shared_.timers.cancel(*call.timer);
  call.timer = shared_.timers.add(shared_.clock.at + after, [&call, job = std::move(job)] {
    call.timer.reset();
    job();
  });
}

// ---- Prefills, one after the other ----

void ScriptedNodes::queue_prefill(ScriptedCall& call) {
  call.node.queue.push_back(&call);
  if (call.node.queue.front() == &call)
    start_prefill(call);
}

void ScriptedNodes::start_prefill(ScriptedCall& call) {
  const Ask& ask = call.request.ask;
  const double kept = call.node.kept(ask, call.request.session());
  call.kept = static_cast<std::uint32_t>(kept);
  const Micros span = ask.took.value_or(times(call.node.script->rate, std::max(1.0, ask.tokens - kept)));
  later(call, hop + times(span, slowed(call.node)), [this, &call] { end_prefill(call); });
}

void ScriptedNodes::end_prefill(ScriptedCall& call) {
  const Ask& ask = call.request.ask;
  NodeState& node = call.node;
  node.keep(ask, call.request.session());
  leave_queue(call);
  if (node.script->role == Role::mixed)
    return stream(call, Micros(0));
  node.held.insert(ask.name);
  shared_.monitor.held(shared_.clock.at, ask.name, node.script->name);
  if (troubled(node, Trouble::loses_read))
    return end(call, Outcome::reset, "the answer was lost");
  // The decode node is chosen from within the end, so a past that names one shows only that one meanwhile.
  if (call.request.past)
    list_.show_only(ask.writer, Role::decode);
  end(call, Outcome::prefill_done, {});
  list_.show_all();
}

void ScriptedNodes::leave_queue(ScriptedCall& call) {
  auto& queue = call.node.queue;
  const auto at = std::find(queue.begin(), queue.end(), &call);
  if (at == queue.end())
    return;
  const bool first = at == queue.begin();
  queue.erase(at);
  if (first && !queue.empty())
    start_prefill(*queue.front());
}

// ---- Streams, side by side ----

void ScriptedNodes::decode(ScriptedCall& call) {
  NodeState& node = call.node;
  const auto decline = [&](std::uint32_t kept, const char* why) {
    call.kept = kept;
    later(call, hop, [this, &call, why] { end(call, Outcome::rejected_over_capacity, why); });
  };
  if (node.script->slots > 0 && node.streams >= node.script->slots)
    return decline(0, "declined, no slot");
  if (!state_reachable(call.request.ask.name) || troubled(node, Trouble::forgets))
    return decline(1, "the state is gone");
  stream(call, hop + times(node.script->first, slowed(node)));
}

bool ScriptedNodes::state_reachable(const std::string& request) const {
  return std::any_of(shared_.nodes.begin(), shared_.nodes.end(), [&](const auto& one) {
    const NodeState& node = one.second;
    return node.held.count(request) > 0 && !troubled(node, Trouble::silent) &&
           !troubled(node, Trouble::refuses);
  });
}

void ScriptedNodes::stream(ScriptedCall& call, Micros after) {
  call.streams = true;
  ++call.node.streams;
  later(call, after, [this, &call] {
    free_everywhere(call.request.ask.name);
    if (!send_event(call))
      return;
    const double tokens = std::max(1.0, call.request.ask.output) - 1;
    flow(call, times(call.node.script->token, tokens * slowed(call.node)));
  });
}

void ScriptedNodes::flow(ScriptedCall& call, Micros left) {
  if (troubled(call.node, Trouble::breaks))
    return later(call, hop, [this, &call] { end(call, Outcome::reset, "the stream broke"); });
  if (troubled(call.node, Trouble::silent))
    return;
  if (left > event_interval)
    return later(call, event_interval, [this, &call, left] {
      if (send_event(call))
        flow(call, left - event_interval);
    });
  later(call, left, [this, &call] { end(call, Outcome::ok, {}); });
}

bool ScriptedNodes::send_event(ScriptedCall& call) {
  if (!call.attempt)
    return false;
  const NodeState& node = call.node;
  call.attempt->on_data("x");
  return node.calls.count(&call) > 0;
}

// ---- Ends ----

void ScriptedNodes::end(ScriptedCall& call, Outcome outcome, std::string detail) {
  if (!call.attempt || call.over)
    return;
  call.over = true;
  const Ask& ask = call.request.ask;
  const ScriptedNode& script = *call.node.script;
  Story& story = call.request.story;
  Attempted& attempted = story.attempts[call.index];
  attempted.outcome = word(outcome);
  if (!detail.empty())
    attempted.outcome += ", " + detail;
  attempted.took = shared_.clock.at - story.asked - attempted.at;
  AttemptResult result{outcome, call.kept, {}, std::move(detail), false};
  if (outcome == Outcome::ok || outcome == Outcome::prefill_done)
    result.load_report = script.role == Role::decode ? ask.writer_load : ask.reader_load;
  shared_.monitor.over(shared_.clock.at, ask.name, script.name);
  std::exchange(call.attempt, nullptr)->on_done(std::move(result));  // `call` is gone now
  choices_.assign();
}

void ScriptedNodes::let_go(ScriptedCall& call) {
  if (call.timer)
    shared_.timers.cancel(*call.timer);
  call.node.calls.erase(&call);
  if (call.streams)
    --call.node.streams;
  leave_queue(call);
  if (call.over)
    return;
  const Story& story = call.request.story;
  Attempted& attempted = call.request.story.attempts[call.index];
  attempted.outcome = "given up";
  attempted.took = shared_.clock.at - story.asked - attempted.at;
  shared_.monitor.over(shared_.clock.at, call.request.ask.name, call.node.script->name);
}

void ScriptedNodes::free_everywhere(const std::string& request) {
  for (auto& [name, node] : shared_.nodes)
    if (node.held.erase(request) > 0)
      shared_.freed(node, request);
}

}  // namespace lemonroute::expect
