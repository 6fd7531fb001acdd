#include "expect/world.h"

#include <algorithm>
#include <cmath>
#include <set>

#include "base/log.h"

namespace lemonroute::expect {
namespace {

using std::chrono::hours;
using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr Micros zero = hours(24 * 365);  // the case's zero on the router's clock
constexpr Micros hop = milliseconds(1);   // from the router to a node, and back
constexpr Micros beat = seconds(1);       // between the events of a stream
constexpr std::size_t most_events = 5000000;

class Stopped : public Clock {
 public:
  Micros at{};
  Micros now() const override { return at; }
};

const char* word(Outcome outcome) {
  switch (outcome) {
    case Outcome::ok:
      return "served";
    case Outcome::read:
      return "read";
    case Outcome::timeout:
      return "timed out";
    case Outcome::moot:
      return "moot";
    case Outcome::full:
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

}  // namespace

// ---- The world
// ----------------------------------------------------------------------------------------------

class World : Nodes {
 public:
  World(const Case& one, const Setup& setup, const Options& options)
      : case_(one),
        options_(options),
        monitor_(options.limits.value_or(limits_of(setup.platform.settings))),
        settings_(setup.platform.settings),
        core_(setup.platform.settings, zones(one, setup.platform.zones), setup.platform.kinds, options.seed,
              clock_, *this) {
    for (const auto& node : one.nodes)
      nodes_[node.name].script = &node;
    if (options.explain)
      core_.explain([this](const Choice& choice) { told(choice); });
  }
  ~World() override { core_.explain({}); }

  Run play() {
    Micros begin = case_.steps.empty() ? Micros(0) : std::min(Micros(0), case_.steps.front().at);
    clock_.at = zero + begin - seconds(1);
    list_all();
    for (const auto& node : case_.nodes)
      if (node.started && *node.started > begin - seconds(1))
        timers_.add(zero + *node.started, [this, &node] { appear(node); });
    for (const auto& step : case_.steps)
      timers_.add(zero + step.at,
                  [this, &step] { std::visit([&](const auto& what) { on(step, what); }, step.what); });
    go();
    monitor_.finish(clock_.at);
    finish();
    run_.breaches = monitor_.breaches();
    for (auto& breach : run_.breaches)
      breach.at -= zero;
    return std::move(run_);
  }

 private:
  struct Asked;
  struct ScriptCall;
  struct Place {
    const ScriptedNode* script = nullptr;
    Phase phase = Phase::ready;
    std::optional<Micros> started;  // as listed; on the case's clock
    bool listed = false;
    std::map<std::string, double> sessions, openings;  // texts kept
    std::set<std::string> held;
    std::deque<ScriptCall*> queue;  // reads, the first one under way
    std::set<ScriptCall*> calls;
    std::int64_t streams = 0;
    struct Spell {
      Micros until;
      Trouble how;
      double factor;
    };
    std::vector<Spell> spells;
  };

  // One attempt at a node. Destroyed when the core lets go of it.
  struct ScriptCall : Call {
    ScriptCall(World& of, Place& at, Asked& for_, lemonroute::Attempt& to)
        : world(of), place(at), asked(for_), attempt(&to), index(for_.story.attempts.size() - 1) {
      place.calls.insert(this);
    }
    ~ScriptCall() override { world.let_go(*this); }
    World& world;
    Place& place;
    Asked& asked;
    lemonroute::Attempt* attempt;
    std::size_t index;
    std::optional<Timers::Id> timer;
    Micros reading{};  // left to read, once it is first in the queue
    bool streams = false, over = false;
    std::uint32_t kept = 0;
  };

  struct Asked : Client {
    World* world = nullptr;
    const Ask* ask = nullptr;
    Story story;
    bool past = false, open = true;
    RequestId id = 0;
    std::string wire_name;  // differs from seed to seed
    Micros deadline{};
    bool event(std::string_view) override {
      if (!story.first) {
        story.first = world->clock_.at - story.asked;
        world->monitor_.first(world->clock_.at, ask->name);
      }
      return true;
    }
    void finish() override { end(Answer::served); }
    void refuse(Micros away) override {
      story.retry_after = away;
      end(Answer::refused);
    }
    void fail(Failure) override { end(Answer::failed); }
    void cut() override { end(Answer::cut); }
    void end(Answer answer) {
      story.answer = answer;
      story.answered = world->clock_.at - story.asked;
      open = false;
      world->monitor_.answered(world->clock_.at, ask->name, expect::word(answer));
    }
  };

  static std::vector<std::string> zones(const Case& one, std::vector<std::string> zones) {
    for (const auto& node : one.nodes)
      if (std::find(zones.begin(), zones.end(), node.zone) == zones.end())
        zones.push_back(node.zone);
    return zones;
  }

  void go() {
    std::size_t events = 0;
    while (++events < most_events) {
      const auto ours = timers_.next(), theirs = core_.next_due();
      if (!ours && !theirs)
        break;
      const Micros next = std::min(ours.value_or(Micros::max()), theirs.value_or(Micros::max()));
      // With nothing open and nothing scripted, the alarms that are left come to nothing.
      if (!ours && core_.idle())
        break;
      clock_.at = std::max(clock_.at, next);
      monitor_.advance(clock_.at);
      if (ours && *ours <= next)
        timers_.run(clock_.at);
      else
        core_.run_due();
    }
    if (events >= most_events)
      run_.impossible.push_back("the case has no end");
  }

  // ---- the list ----
  Router::Listed entry(const std::string& name, Phase phase) const {
    const Place& place = nodes_.at(name);
    const auto& s = *place.script;
    return {name,   "127.0.0.1:1", s.zone,   s.kind,
            s.cell, phase,         s.weight, place.started ? zero + *place.started : Micros(0)};
  }
  void tell(const std::string& name) {
    const Place& place = nodes_.at(name);
    monitor_.listed(clock_.at, name, place.phase, place.started ? zero + *place.started : Micros(0),
                    place.script->capacity);
  }
  void list_all() {
    std::vector<Router::Listed> all;
    for (const auto& node : case_.nodes) {
      Place& place = nodes_[node.name];
      if (node.started && zero + *node.started > clock_.at)
        continue;  // it does not run yet
      place.phase = node.phase;
      place.started = node.started;
      place.listed = true;
      tell(node.name);
      all.push_back(entry(node.name, node.phase));
    }
    core_.update(ListKind::full, ++version_, all);
  }
  void appear(const ScriptedNode& node) {
    Place& place = nodes_[node.name];
    place.phase = node.phase;
    place.started = node.started;
    place.listed = true;
    change(node.name);
  }
  void change(const std::string& name) {
    tell(name);
    core_.update(ListKind::delta, ++version_, {entry(name, nodes_.at(name).phase)});
  }

  // ---- steps ----
  void on(const Step& step, const step::List& what) {
    Place& place = nodes_.at(what.node);
    if (what.started && place.started != what.started) {
      place.started = what.started;
      if (zero + *what.started <= clock_.at)
        forget(place);  // another process: what the old one kept is gone
    }
    place.phase = what.phase;
    place.listed = what.phase != Phase::gone;
    static_cast<void>(step);
    change(what.node);
  }
  void on(const Step& step, const step::Ban& what) {
    const auto said = what.out ? core_.take_out(what.node) : core_.put_back(what.node);
    if (said != Router::Ordered::done)
      return impossible(step, "'" + what.node + "' was never listed, so it can't be taken out by hand");
    if (what.out)
      monitor_.banned(clock_.at, what.node);
    else
      monitor_.unbanned(clock_.at, what.node);
  }
  void on(const Step&, const step::Script& what) {
    const Micros until = what.span > Micros(0) ? clock_.at + what.span : Micros::max();
    for (const auto& name : what.nodes) {
      Place& place = nodes_.at(name);
      place.spells.push_back({until, what.how, what.factor});
      // What is under way there feels it as well.
      if (what.how == Trouble::silent || what.how == Trouble::resets)
        for (ScriptCall* call : std::vector<ScriptCall*>(place.calls.begin(), place.calls.end())) {
          if (call->timer)
            timers_.drop(*call->timer);
          call->timer.reset();
          if (what.how == Trouble::resets)
            over(*call, Outcome::reset, "the connection broke");
        }
    }
  }
  void on(const Step&, const step::Restart& what) { forget(nodes_.at(what.node)); }
  void on(const Step&, const step::Sighup& what) {
    const auto& platform = case_.reloads.at(what.file);
    settings_ = platform.settings;
    if (!options_.limits)
      monitor_.limit(limits_of(settings_));
    core_.retune(platform.settings, zones(case_, platform.zones), platform.kinds);
  }
  void on(const Step& step, const step::Leave& what) {
    for (auto& one : requests_)
      if (one->ask->name == what.request && one->open) {
        one->open = false;
        one->story.left = clock_.at - one->story.asked;
        monitor_.left(clock_.at, what.request);
        core_.gone(one->id);
        return;
      }
    impossible(step, "'" + what.request + "' is answered by then, its client can't leave any more");
  }
  void on(const Step& step, const step::Now& what) { ask(step, what.ask, false); }
  void on(const Step& step, const step::Past& what) { ask(step, what.ask, true); }
  void impossible(const Step& step, const std::string& why) {
    run_.impossible.push_back(case_.file + ":" + std::to_string(step.line) + ": " + why);
  }

  void ask(const Step& step, const Ask& ask, bool past) {
    auto owned = std::make_unique<Asked>();
    Asked& one = *owned;
    one.world = this;
    one.ask = &ask;
    one.past = past;
    one.story.name = ask.name;
    one.story.asked = clock_.at;
    one.wire_name = ask.name + "-" + std::to_string(options_.seed);
    by_wire_[one.wire_name] = &one;
    requests_.push_back(std::move(owned));

    ClientRequest client_request;
    client_request.prompt = {one.wire_name, "/v1/chat/completions", body_};
    client_request.kind = ask.cls;
    client_request.tenant = ask.tenant;
    client_request.session = key_of("session " + (ask.session.empty() ? one.wire_name : ask.session));
    client_request.shared = ask.opening.empty() ? 0 : key_of("opening " + ask.opening);
    client_request.budget = ask.budget;
    client_request.prompt_tokens = ask.tokens;
    client_request.shared_tokens = ask.shared;
    client_request.max_output = ask.output;
    client_request.repeat = ask.repeat;
    client_request.resumed = ask.resumed;
    const auto& classes = settings_.classes;
    const auto cls = std::find_if(classes.begin(), classes.end(), [&](auto& c) { return c.name == ask.cls; });
    const Micros budget = ask.budget > Micros(0) ? ask.budget
                          : cls == classes.end() ? Micros(0)
                                                 : cls->deadline;
    one.deadline = clock_.at + budget;
    one.story.holders = holders(ask, one.wire_name);
    monitor_.taken(clock_.at, ask.name, one.deadline, monitor_.limits().most_attempts);
    if (past)
      only(ask.reader, Role::read);
    const auto taken = core_.take(client_request, one, one.id);
    if (past)
      only("", Role::read);
    if (taken != Router::Taken::yes) {
      impossible(step, "class '" + ask.cls + "' is not known at that moment");
      monitor_.left(clock_.at, ask.name);
      one.open = false;
      return;
    }
    names_[one.id] = &one;
    flush_told();
    if (past)
      steps_of_past_[&one] = &step;
  }

  // The list of one moment: of a stage's nodes only `name` is ready. With "" the list is as it was.
  void only(const std::string& name, Role stage) {
    if (name.empty() && hidden_.empty())
      return;
    std::vector<Router::Listed> changes;
    if (name.empty()) {
      for (const auto& one : hidden_)
        changes.push_back(entry(one, nodes_.at(one).phase));
      hidden_.clear();
    } else {
      for (const auto& [other, place] : nodes_)
        if (other != name && place.listed && place.phase == Phase::ready &&
            (place.script->role == stage || place.script->role == Role::both)) {
          hidden_.push_back(other);
          changes.push_back(entry(other, Phase::draining));
        }
    }
    if (!changes.empty())
      core_.update(ListKind::delta, ++version_, changes);
  }

  // ---- nodes ----
  static double kept(const Place& place, const Ask& ask, const std::string& wire_name) {
    const auto of = [](const auto& texts, const std::string& key) {
      const auto found = texts.find(key);
      return found == texts.end() ? 0.0 : found->second;
    };
    return std::min(
        ask.tokens,
        std::max(of(place.sessions, ask.session.empty() ? wire_name : ask.session),
                 ask.opening.empty() ? 0.0 : std::min(ask.shared, of(place.openings, ask.opening))));
  }
  std::vector<std::string> holders(const Ask& ask, const std::string& wire_name) const {
    double most = 1;
    std::vector<std::string> names;
    for (const auto& [name, place] : nodes_) {
      if (place.script->role == Role::write)
        continue;
      const double has = kept(place, ask, wire_name);
      if (has > most)
        names.clear();
      if (has >= most)
        names.push_back(name);
      most = std::max(most, has);
    }
    return names;
  }
  void forget(Place& place) {
    place.sessions.clear();
    place.openings.clear();
    for (const auto& request : std::exchange(place.held, {}))
      freed(place, request);
    for (ScriptCall* call : std::vector<ScriptCall*>(place.calls.begin(), place.calls.end()))
      over(*call, Outcome::reset, "the process ended");
  }
  bool troubled(Place& place, Trouble how, double* factor = nullptr) const {
    for (const auto& spell : place.spells)
      if (spell.how == how && clock_.at < spell.until) {
        if (factor)
          *factor = spell.factor;
        return true;
      }
    return false;
  }
  double slowed(Place& place) const {
    double factor = 1;
    troubled(place, Trouble::slow, &factor);
    return factor;
  }
  static Micros times(Micros span, double factor) {
    return Micros(std::llround(static_cast<double>(span.count()) * factor));
  }
  void later(ScriptCall& call, Micros after, std::function<void()> job) {
    if (call.timer)
      timers_.drop(*call.timer);
    call.timer = timers_.add(clock_.at + after, [&call, job = std::move(job)] {
      call.timer.reset();
      job();
    });
  }

  std::unique_ptr<Call> begin(const Node& node, const Prompt& prompt, Micros,
                              lemonroute::Attempt& attempt) override {
    Asked& asked = *by_wire_.at(prompt.id);
    Place& place = nodes_.at(node.name);
    asked.story.attempts.push_back({node.name, clock_.at - asked.story.asked, place.script->role, {}, {}});
    monitor_.sent(clock_.at, asked.ask->name, node.name, asked.ask->tokens);
    auto call = std::make_unique<ScriptCall>(*this, place, asked, attempt);
    ScriptCall& c = *call;
    if (troubled(place, Trouble::silent))
      return call;
    const auto ends = [&](Outcome outcome, const char* why) {
      later(c, hop, [this, &c, outcome, why] { over(c, outcome, why); });
    };
    if (troubled(place, Trouble::refuses))
      ends(Outcome::connect_failed, "refused");
    else if (troubled(place, Trouble::declines))
      ends(Outcome::full, "declined");
    else if (troubled(place, Trouble::errors))
      ends(Outcome::error, "status 500");
    else if (troubled(place, Trouble::resets))
      ends(Outcome::reset, "the connection broke");
    else if (place.script->role == Role::write)
      write(c);
    else
      read(c);
    return call;
  }

  // Reads go one after the other.
  void read(ScriptCall& call) {
    call.place.queue.push_back(&call);
    if (call.place.queue.front() == &call)
      start_read(call);
  }
  void start_read(ScriptCall& call) {
    const Ask& ask = *call.asked.ask;
    const double has = kept(call.place, ask, call.asked.wire_name);
    call.kept = static_cast<std::uint32_t>(has);
    Micros span = ask.took.value_or(times(call.place.script->rate, std::max(1.0, ask.tokens - has)));
    later(call, hop + times(span, slowed(call.place)), [this, &call] { end_read(call); });
  }
  void end_read(ScriptCall& call) {
    const Ask& ask = *call.asked.ask;
    Place& place = call.place;
    auto& session = place.sessions[ask.session.empty() ? call.asked.wire_name : ask.session];
    session = std::max(session, ask.tokens);
    if (!ask.opening.empty()) {
      auto& opening = place.openings[ask.opening];
      opening = std::max(opening, ask.shared);
    }
    next_read(call);
    if (place.script->role == Role::both)
      return stream(call, Micros(0));
    place.held.insert(ask.name);
    monitor_.held(clock_.at, ask.name, place.script->name);
    if (troubled(place, Trouble::loses_read))
      return over(call, Outcome::reset, "the answer was lost");
    if (call.asked.past)
      only(ask.writer, Role::write);
    over(call, Outcome::read, {});
    only("", Role::write);
  }
  void next_read(ScriptCall& call) {
    auto& queue = call.place.queue;
    const auto at = std::find(queue.begin(), queue.end(), &call);
    if (at == queue.end())
      return;
    const bool first = at == queue.begin();
    queue.erase(at);
    if (first && !queue.empty())
      start_read(*queue.front());
  }

  void write(ScriptCall& call) {
    Place& place = call.place;
    const auto decline = [&](std::uint32_t note, const char* why) {
      call.kept = note;
      later(call, hop, [this, &call, why] { over(call, Outcome::full, why); });
    };
    if (place.script->slots > 0 && place.streams >= place.script->slots)
      return decline(0, "declined, no slot");
    const bool there = std::any_of(nodes_.begin(), nodes_.end(), [&](auto& one) {
      return one.second.held.count(call.asked.ask->name) > 0 && !troubled(one.second, Trouble::silent) &&
             !troubled(one.second, Trouble::refuses);
    });
    if (!there || troubled(place, Trouble::forgets))
      return decline(1, "the state is gone");
    stream(call, hop + times(place.script->first, slowed(place)));
  }
  void stream(ScriptCall& call, Micros after) {
    call.streams = true;
    ++call.place.streams;
    later(call, after, [this, &call] {
      free_everywhere(call.asked.ask->name);
      if (!event(call))
        return;
      const double tokens = std::max(1.0, call.asked.ask->output) - 1;
      flow(call, times(call.place.script->token, tokens * slowed(call.place)));
    });
  }
  // Whoever is told of an event may let go of the call there and then.
  bool event(ScriptCall& call) {
    Place& place = call.place;
    if (!call.attempt)
      return false;
    call.attempt->event("x");
    return place.calls.count(&call) > 0;
  }
  void flow(ScriptCall& call, Micros left) {
    if (troubled(call.place, Trouble::breaks))
      return later(call, hop, [this, &call] { over(call, Outcome::reset, "the stream broke"); });
    if (troubled(call.place, Trouble::silent))
      return;
    if (left > beat)
      return later(call, beat, [this, &call, left] {
        if (event(call))
          flow(call, left - beat);
      });
    later(call, left, [this, &call] { over(call, Outcome::ok, {}); });
  }

  // The answer to an attempt has come to its end, well or not.
  void over(ScriptCall& call, Outcome outcome, std::string detail) {
    if (!call.attempt || call.over)
      return;
    call.over = true;
    const Ask& ask = *call.asked.ask;
    Asked& asked = call.asked;
    auto& attempted = asked.story.attempts[call.index];
    attempted.outcome = word(outcome);
    if (!detail.empty())
      attempted.outcome += ", " + detail;
    attempted.took = clock_.at - asked.story.asked - attempted.at;
    const bool writer = call.place.script->role == Role::write;
    Result result{outcome, call.kept, {}, std::move(detail), false};
    if (outcome == Outcome::ok || outcome == Outcome::read)
      result.load = writer ? ask.writer_load : ask.reader_load;
    monitor_.over(clock_.at, ask.name, call.place.script->name);
    lemonroute::Attempt* attempt = std::exchange(call.attempt, nullptr);
    attempt->done(std::move(result));  // `call` is gone now
    flush_told();
  }
  // The core has let go of it.
  void let_go(ScriptCall& call) {
    if (call.timer)
      timers_.drop(*call.timer);
    call.place.calls.erase(&call);
    if (call.streams)
      --call.place.streams;
    next_read(call);
    if (call.over)
      return;
    auto& attempted = call.asked.story.attempts[call.index];
    attempted.outcome = "given up";
    attempted.took = clock_.at - call.asked.story.asked - attempted.at;
    monitor_.over(clock_.at, call.asked.ask->name, call.place.script->name);
  }

  void freed(Place& place, const std::string& request) {
    monitor_.freed(clock_.at, request, place.script->name);
    for (auto& one : requests_)
      if (one->ask->name == request)
        one->story.freed = clock_.at - one->story.asked;
  }
  void free_everywhere(const std::string& request) {
    for (auto& [name, place] : nodes_)
      if (place.held.erase(request))
        freed(place, request);
  }

  std::unique_ptr<Call> release(const Node& node, const std::string& id,
                                std::function<void(bool)> done) override {
    struct Releasing : Call {
      explicit Releasing(World& of) : world(of) {}
      ~Releasing() override {
        if (timer)
          world.timers_.drop(*timer);
      }
      World& world;
      std::optional<Timers::Id> timer;
    };
    auto call = std::make_unique<Releasing>(*this);
    Place& place = nodes_.at(node.name);
    if (troubled(place, Trouble::silent))
      return call;
    const bool refused = troubled(place, Trouble::refuses);
    call->timer =
        timers_.add(clock_.at + hop, [this, &place, id, refused, call = call.get(), done = std::move(done)] {
          call->timer.reset();
          const auto asked = by_wire_.find(id);
          if (!refused && asked != by_wire_.end() && place.held.erase(asked->second->ask->name))
            freed(place, asked->second->ask->name);
          done(!refused);
        });
    return call;
  }
  std::unique_ptr<Call> probe(const Node&, std::function<void(const Result&)>) override { return nullptr; }
  void hang_up(const Node&) override {}
  void limit(const Limits&) override {}

  // ---- explanations ----
  void told(const Choice& choice) {
    Told one{clock_.at - zero, choice, {}};
    for (const auto& candidate : choice.candidates)
      one.names[candidate.host] = core_.name_of(candidate.host);
    pending_.push_back(std::move(one));
  }
  // A request's number is known once the core has taken it, its first choice is told before that.
  void flush_told() {
    std::vector<Told> rest;
    for (auto& one : pending_) {
      const auto found = names_.find(one.choice.id);
      if (found != names_.end())
        found->second->story.choices.push_back(std::move(one));
      else
        rest.push_back(std::move(one));
    }
    pending_ = std::move(rest);
  }

  void finish() {
    flush_told();
    for (auto& one : requests_) {
      one->story.asked -= zero;
      for (const auto& [name, place] : nodes_)
        one->story.held_at_end |= place.held.count(one->ask->name) > 0;
      if (!one->past) {
        run_.requests.push_back(one->story);
        continue;
      }
      // What is said to have been must have been, or all that follows rests on something else.
      const auto step = steps_of_past_.find(one.get());
      if (step == steps_of_past_.end())
        continue;
      const auto* read = one->story.last(Role::read);
      const auto* written = one->story.last(Role::write);
      const auto differs = [](const std::string& wanted, const Attempted* got) {
        return !wanted.empty() && (!got || got->node != wanted);
      };
      if (differs(one->ask->reader, read) || differs(one->ask->writer, written))
        impossible(*step->second, "the past can't have been so: it went to " +
                                      (read ? read->node : "no reader") + ", " +
                                      (written ? written->node : "no writer") + ", and was " +
                                      expect::word(one->story.answer));
    }
  }

  const Case& case_;
  const Options& options_;
  rules::Monitor monitor_;
  Stopped clock_;
  Timers timers_;
  Settings settings_;
  std::uint32_t version_ = 0;
  std::map<std::string, Place> nodes_;
  std::vector<std::unique_ptr<Asked>> requests_;
  std::map<std::string, Asked*> by_wire_;
  std::map<RequestId, Asked*> names_;
  std::map<const Asked*, const Step*> steps_of_past_;
  std::vector<std::string> hidden_;
  std::vector<Told> pending_;
  std::shared_ptr<const std::string> body_ = std::make_shared<std::string>("{}");
  Run run_;
  Router core_;  // last: its calls know all of the above
};

// ---- What came of it
// ----------------------------------------------------------------------------------------

const Attempted* Story::last(Role stage) const {
  for (auto it = attempts.rbegin(); it != attempts.rend(); ++it)
    if (it->role == stage || it->role == Role::both)
      return &*it;
  return nullptr;
}

const Story* Run::find(const std::string& name) const {
  for (const auto& one : requests)
    if (one.name == name)
      return &one;
  return nullptr;
}

std::string Run::decisions() const {
  std::string all;
  for (const auto& one : requests) {
    all += one.name + ":";
    for (const auto& attempt : one.attempts)
      all += " " + attempt.node + "@" + span_text(attempt.at) + " (" + attempt.outcome + ")";
    all += std::string(" ") + word(one.answer) + "@" + span_text(one.answered);
    if (one.retry_after)
      all += " retry-after " + span_text(*one.retry_after);
    all += "\n";
  }
  return all;
}

rules::Limits limits_of(const Settings& settings) {
  rules::Limits limits;
  limits.drain_grace = std::min<Micros>(milliseconds(500), std::max(settings.drain_grace, Micros(0)));
  if (settings.release_within > Micros(0))
    limits.held = settings.release_within;
  limits.cold_for = settings.cold_for;
  limits.cold_window = settings.fall_window;
  limits.cold_from = settings.cold_from;
  limits.cold_multiple = settings.fall_multiple;
  limits.siblings = settings.siblings;
  limits.most_attempts = std::min(limits.most_attempts, settings.max_attempts);
  return limits;
}

Run play(const Case& one, const Setup& setup, const Options& options) {
  return World(one, setup, options).play();
}

}  // namespace lemonroute::expect
