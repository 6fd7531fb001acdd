#include "expect/world.h"

#include <algorithm>
#include <memory>
#include <string>
#include <utility>
#include <vector>

#include "expect/play/choices.h"
#include "expect/play/node_list.h"
#include "expect/play/scripted_nodes.h"
#include "expect/play/shared.h"

namespace lemonroute::expect {
namespace {

constexpr std::size_t most_events = 5000000;      // of one case; more are taken for a case without an end
constexpr Micros lead = std::chrono::seconds(1);  // from the first list to the first step

// The zones of the configuration, and after them those that only nodes of the case name.
std::vector<std::string> zones(const Case& one, std::vector<std::string> zones) {
  for (const auto& node : one.nodes)
    if (std::find(zones.begin(), zones.end(), node.zone) == zones.end())
      zones.push_back(node.zone);
  return zones;
}

class World {
 public:
  World(const Case& one, const Setup& setup, const Options& options);
  ~World() { router_.set_choice_observer({}); }
  World(const World&) = delete;
  World& operator=(const World&) = delete;

  Run play();

 private:
  void schedule_all();
  void run_events();
  void finish();

  // One for each kind of step.
  void on(const Step& step, const step::Past& what) { ask(step, what.ask, true); }
  void on(const Step& step, const step::Now& what) { ask(step, what.ask, false); }
  void on(const Step& step, const step::List& what);
  void on(const Step& step, const step::Ban& what);
  void on(const Step& step, const step::Script& what);
  void on(const Step& step, const step::Restart& what);
  void on(const Step& step, const step::Sighup& what);
  void on(const Step& step, const step::Leave& what);

  void ask(const Step& step, const Ask& ask, bool past);
  ClientRequest client_request(const PlayedRequest& request) const;
  Micros budget(const Ask& ask) const;
  std::vector<std::string> holders(const PlayedRequest& request) const;
  void check_past(const PlayedRequest& request);
  void impossible(const Step& step, const std::string& why);

  const Case& case_;
  const Options& options_;
  Settings settings_;
  Shared shared_;
  NodeList list_;
  ChoiceLog choices_;
  ScriptedNodes nodes_;
  std::shared_ptr<const std::string> body_ = std::make_shared<std::string>("{}");
  Run run_;
  Router router_;  // last: its calls know all of the above
};

World::World(const Case& one, const Setup& setup, const Options& options)
    : case_(one),
      options_(options),
      settings_(setup.platform.settings),
      shared_(options.limits.value_or(limits_of(setup.platform.settings))),
      list_(shared_.nodes, shared_.clock, shared_.monitor, router_),
      choices_(shared_.clock, router_, shared_.requests),
      nodes_(shared_, list_, choices_),
      router_(setup.platform.settings, zones(one, setup.platform.zones), setup.platform.kinds, options.seed,
              shared_.clock, nodes_) {
  for (const auto& node : one.nodes)
    shared_.nodes[node.name].script = &node;
  if (options.explain)
    router_.set_choice_observer([this](const Choice& choice) { choices_.note(choice); });
}

// ---- The course of a case ----

Run World::play() {
  schedule_all();
  run_events();
  shared_.monitor.finish(shared_.clock.at);
  finish();
  run_.breaches = shared_.monitor.breaches();
  for (auto& breach : run_.breaches)
    breach.at -= case_zero;
  return std::move(run_);
}

void World::schedule_all() {
  const Micros first_step = case_.steps.empty() ? Micros(0) : std::min(Micros(0), case_.steps.front().at);
  const Micros begin = first_step - lead;
  shared_.clock.at = case_zero + begin;
  list_.publish_all(case_.nodes);
  for (const auto& node : case_.nodes)
    if (node.started && *node.started > begin)
      shared_.timers.add(case_zero + *node.started, [this, &node] { list_.appear(node); });
  for (const auto& step : case_.steps) {
    const auto play_step = [this, &step] {
      std::visit([&](const auto& what) { on(step, what); }, step.what);
    };
    shared_.timers.add(case_zero + step.at, play_step);
  }
}

void World::run_events() {
  std::size_t events = 0;
  while (++events < most_events) {
    const auto scripted = shared_.timers.next_due(), due = router_.next_timer();
    if (!scripted && !due)
      break;
    // With nothing open and nothing scripted, the alarms that are left come to nothing.
    if (!scripted && router_.idle())
      break;
    const Micros next = std::min(scripted.value_or(Micros::max()), due.value_or(Micros::max()));
    shared_.clock.at = std::max(shared_.clock.at, next);
    shared_.monitor.advance(shared_.clock.at);
    if (scripted && *scripted <= next)
      shared_.timers.run_due(shared_.clock.at);
    else
      router_.run_timers();
  }
  if (events >= most_events)
    run_.impossible.push_back("the case has no end");
}

void World::finish() {
  choices_.assign();
  for (const auto& request : shared_.requests.all()) {
    Story& story = request->story;
    story.asked -= case_zero;
    for (const auto& [name, node] : shared_.nodes)
      story.held_at_end |= node.held.count(request->ask.name) > 0;
    if (!request->past)
      run_.requests.push_back(story);
    else if (request->taken)
      check_past(*request);
  }
}

// What is said to have been must have been, or all that follows rests on something else.
void World::check_past(const PlayedRequest& request) {
  const Attempted* prefill = request.story.last(Role::prefill);
  const Attempted* decode = request.story.last(Role::decode);
  const auto differs = [](const std::string& wanted, const Attempted* got) {
    return !wanted.empty() && (!got || got->node != wanted);
  };
  if (!differs(request.ask.reader, prefill) && !differs(request.ask.writer, decode))
    return;
  impossible(request.step,
             "the past can't have been so: it went to " + (prefill ? prefill->node : "no reader") + ", " +
                 (decode ? decode->node : "no writer") + ", and was " + word(request.story.answer));
}

void World::impossible(const Step& step, const std::string& why) {
  run_.impossible.push_back(case_.file + ":" + std::to_string(step.line) + ": " + why);
}

// ---- Steps ----

void World::on(const Step&, const step::List& what) {
  NodeState& node = shared_.nodes.at(what.node);
  if (what.started && node.started != what.started) {
    node.started = what.started;
    if (case_zero + *what.started <= shared_.clock.at)
      nodes_.restart(node);  // another process: what the old one kept is gone
  }
  node.phase = what.phase;
  node.listed = what.phase != EndpointState::removed;
  list_.publish_change(what.node);
}

void World::on(const Step& step, const step::Ban& what) {
  const auto ordered = what.out ? router_.drain_node(what.node) : router_.undrain_node(what.node);
  if (ordered != Router::OverrideResult::applied)
    return impossible(step, "'" + what.node + "' was never listed, so it can't be taken out by hand");
  if (what.out)
    shared_.monitor.banned(shared_.clock.at, what.node);
  else
    shared_.monitor.unbanned(shared_.clock.at, what.node);
}

void World::on(const Step&, const step::Script& what) {
  const Micros until = what.span > Micros(0) ? shared_.clock.at + what.span : Micros::max();
  for (const auto& name : what.nodes)
    nodes_.trouble(shared_.nodes.at(name), {until, what.how, what.factor});
}

void World::on(const Step&, const step::Restart& what) {
  nodes_.restart(shared_.nodes.at(what.node));
}

void World::on(const Step&, const step::Sighup& what) {
  const auto& platform = case_.reloads.at(what.file);
  settings_ = platform.settings;
  if (!options_.limits)
    shared_.monitor.limit(limits_of(settings_));
  router_.update_settings(platform.settings, zones(case_, platform.zones), platform.kinds);
}

void World::on(const Step& step, const step::Leave& what) {
  PlayedRequest* request = shared_.requests.open(what.request);
  if (!request)
    return impossible(step, "'" + what.request + "' is answered by then, its client can't leave any more");
  request->open = false;
  request->story.left = shared_.clock.at - request->story.asked;
  shared_.monitor.left(shared_.clock.at, what.request);
  router_.client_disconnected(request->id);
}

// ---- Requests ----

void World::ask(const Step& step, const Ask& ask, bool past) {
  PlayedRequest& request = shared_.requests.add(
      std::make_unique<PlayedRequest>(ask, step, past, options_.seed, shared_.clock, shared_.monitor));
  request.story.holders = holders(request);
  const Micros now = shared_.clock.at;
  shared_.monitor.taken(now, ask.name, now + budget(ask), shared_.monitor.limits().most_attempts);
  // The prefill node is chosen from within take, so a past that names one shows only that one meanwhile.
  if (past)
    list_.show_only(ask.reader, Role::prefill);
  const auto taken = router_.submit(client_request(request), request, request.id);
  if (past)
    list_.show_all();
  if (taken != Router::SubmitResult::accepted) {
    impossible(step, "class '" + ask.cls + "' is not known at that moment");
    shared_.monitor.left(now, ask.name);
    request.open = false;
    return;
  }
  request.taken = true;
  shared_.requests.numbered(request);
  choices_.assign();
}

ClientRequest World::client_request(const PlayedRequest& request) const {
  const Ask& ask = request.ask;
  ClientRequest made;
  made.prompt = {request.wire_name, "/v1/chat/completions", body_};
  made.request_class = ask.cls;
  made.tenant = ask.tenant;
  made.session_key = key_from_text("session " + request.session());
  made.shared_prefix_key = ask.opening.empty() ? 0 : key_from_text("opening " + ask.opening);
  made.time_budget = ask.budget;
  made.prompt_tokens = ask.tokens;
  made.shared_prefix_tokens = ask.shared;
  made.max_output_tokens = ask.output;
  made.is_retry = ask.repeat;
  made.is_resumed = ask.resumed;
  return made;
}

Micros World::budget(const Ask& ask) const {
  if (ask.budget > Micros(0))
    return ask.budget;
  const auto& classes = settings_.classes;
  const auto found =
      std::find_if(classes.begin(), classes.end(), [&](const auto& one) { return one.name == ask.cls; });
  return found == classes.end() ? Micros(0) : found->deadline;
}

// The nodes that keep most of the prompt, of those that prefill.
std::vector<std::string> World::holders(const PlayedRequest& request) const {
  double most = 1;
  std::vector<std::string> names;
  for (const auto& [name, node] : shared_.nodes) {
    if (node.script->role == Role::decode)
      continue;
    const double kept = node.kept(request.ask, request.session());
    if (kept > most)
      names.clear();
    if (kept >= most)
      names.push_back(name);
    most = std::max(most, kept);
  }
  return names;
}

}  // namespace

Run play(const Case& one, const Setup& setup, const Options& options) {
  return World(one, setup, options).play();
}

}  // namespace lemonroute::expect
