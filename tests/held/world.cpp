// The schedule as it is played: requests, faults, discovery and the routers' processes.
#include "held/world.h"

#include <algorithm>
#include <sstream>

#include "held/world_parts.h"

namespace lemonroute::held {
namespace {

constexpr Micros tolerance = 300ms;         // of the rule, for the way of the call
constexpr Micros settles_for = 45s;         // a router gives a release up after 30 s
constexpr Micros kill_after = 500ms;        // from the end of all waits to the end of the process
constexpr Micros usual_notice = 20ms;       // until a router hears of a change of the list
constexpr Micros lingers = 3s;              // from a node's leaving the list to the end of its process
constexpr Micros most_clock_error = 300ms;  // of a node's clock against the routers'
constexpr std::uint64_t mixing = 0x9E3779B97F4A7C15u;

}  // namespace

World::World(const Schedule& schedule, Seen& seen)
    : schedule_(schedule), seen_(seen), oracle_(schedule.settings.reservation_release_timeout + tolerance) {
  property::Drawn draw(schedule.seed * mixing);
  const auto add = [this, &draw](char letter, Role role, std::size_t number) {
    for (std::size_t i = 0; i < number; ++i) {
      auto host = std::make_unique<Host>();
      host->name = letter + std::to_string(i + 1);
      host->role = role;
      host->clock_error = draw.up_to(2 * most_clock_error) - most_clock_error;
      by_name_[host->name] = host.get();
      hosts_.push_back(std::move(host));
    }
  };
  // The spared ones come last, faults count from the first.
  add('r', Role::prefill, schedule.prefill_nodes - spared);
  add('w', Role::decode, schedule.decode_nodes - spared);
  add('R', Role::prefill, spared);
  add('W', Role::decode, spared);
  routers_.reserve(schedule.routers + schedule.steps.size());
  for (std::size_t i = 0; i < schedule.routers; ++i)
    add_router();
}

World::~World() {
  routers_.clear();
}

void World::add_router() {
  RouterState& state = routers_.emplace_back();
  state.taken_over_by = routers_.size() - 1;
  const std::uint64_t seed = schedule_.seed * mixing + routers_.size();
  state.core = std::make_unique<Router>(schedule_.settings, std::vector<std::string>{"z1", "z2"},
                                        std::vector<std::string>{"r", "w", "m"}, seed, clock_, *this);
  std::vector<Router::ListedNode> all;
  for (const auto& host : hosts_)
    if (host->phase != EndpointState::removed)
      all.push_back({host->name, "127.0.0.1:1", "z1", host->role == Role::prefill ? "r" : "w", 1, host->phase,
                     1, host->started});
  state.core->update_endpoints(EndpointListKind::full, ++state.version, all);
}

std::string World::run() {
  const Micros start = clock_.at;
  for (const Step& step : schedule_.steps)
    at(start + step.at, [this, &step] { play(step); });
  const Micros end = start + 5s + settles_for;
  while (clock_.at <= end) {
    std::optional<Micros> next = timers_.next_due();
    for (const RouterState& router : routers_)
      if (router.core && router.core->next_timer() && (!next || *router.core->next_timer() < *next))
        next = router.core->next_timer();
    if (!next)
      return "";
    clock_.at = std::max(clock_.at, *next);
    if (const auto pinned = oracle_.overdue(clock_.at)) {
      std::ostringstream text;
      text << "state of " << pinned->request << " is held at " << pinned->node << " since "
           << (pinned->since - start).count() / 1000 << " ms, allowed for "
           << (schedule_.settings.reservation_release_timeout + tolerance).count() / 1000
           << " ms, still there at " << (pinned->noticed - start).count() / 1000 << " ms";
      return text.str();
    }
    timers_.run_due(clock_.at);
    for (std::size_t i = 0; i < routers_.size(); ++i)
      if (routers_[i].core)
        routers_[i].core->run_timers();
  }
  return "";
}

void World::note(const std::string& line) {
  digest_.add(clock_.at, line);
  trace_.push_back(std::to_string((clock_.at - Micros(24h)).count() / 1000) + " ms: " + line);
}

void World::play(const Step& step) {
  if (step.kind == StepKind::request)
    return ask(step);
  note("fault: " + step.text());
  fault(step);
}

void World::ask(const Step& step) {
  std::size_t index = step.router;
  while (routers_[index].taken_over_by != index)
    index = routers_[index].taken_over_by;
  const std::string name = "q" + std::to_string(step.number);
  Asker& asker = *(askers_[name] = std::make_unique<Asker>(*this, name, index));
  const ClassSettings& kind = schedule_.settings.classes[step.kind_of_request];
  asker.tokens = step.tokens;
  ClientRequest request;
  request.prompt = {name, "/", std::make_shared<std::string>("{}")};
  request.request_class = kind.name;
  request.time_budget = step.budget > Micros(0) ? step.budget : kind.deadline;
  request.prompt_tokens = step.tokens;
  request.max_output_tokens = 100;
  note(name + " asks router " + std::to_string(index));
  (void)routers_[index].core->submit(request, asker, asker.id);
  if (step.span < Micros::max())
    at(clock_.at + step.span, [this, &asker] {
      if (!std::exchange(asker.open, false) || !routers_[asker.router].core)
        return;
      note(asker.name + "'s client goes");
      routers_[asker.router].core->client_disconnected(asker.id);
    });
}

void World::fault(const Step& step) {
  Host& host = *hosts_[step.node];
  const Micros until = clock_.at + step.span;
  const auto lasts = [until](Micros& end) { end = std::max(end, until); };
  switch (step.kind) {
    case StepKind::request:
      return;
    case StepKind::cut_both:
      lasts(host.lost_to_until);
      return lasts(host.lost_from_until);
    case StepKind::cut_to_node:
      return lasts(host.lost_to_until);
    case StepKind::cut_from_node:
      return lasts(host.lost_from_until);
    case StepKind::cut_role:
      for (std::size_t i = 0; i + 2 * spared < hosts_.size(); ++i)
        if (hosts_[i]->role == host.role) {
          lasts(hosts_[i]->lost_to_until);
          lasts(hosts_[i]->lost_from_until);
        }
      return;
    case StepKind::delay:
      return lasts(host.delayed_until);
    case StepKind::hang:
      return lasts(host.hangs_until);
    case StepKind::vanish:
      return vanish(host, step.span);
    case StepKind::restart:
      return restart(host, step.span);
    case StepKind::reset:
      return reset(host);
    case StepKind::slow_connect:
      return lasts(host.slow_until);
    case StepKind::late_list:
      return lasts(routers_[step.router].list_late_until);
    case StepKind::drain:
      return drain(host, step.span);
    case StepKind::stop_router:
      return stop_router(step.router);
  }
}

// The machine goes without a word; its connections are reset once another process answers at the address.
void World::vanish(Host& host, Micros span) {
  if (!host.machine)
    return;
  host.machine = false;
  host.alive = false;
  const auto lost = std::exchange(host.held, {});
  oracle_.node_ended(host.name);
  for (Sending* sending : host.attempts)
    if (std::exchange(sending->arrived, false))
      oracle_.ended(clock_.at, sending->asker.name);
  at(clock_.at + span, [this, &host] {
    host.machine = true;
    end_process(host);
    start_process(host);
  });
}

void World::restart(Host& host, Micros span) {
  if (!host.alive)
    return;
  end_process(host);
  at(clock_.at + span / 4, [this, &host] {
    if (host.machine && !host.alive)
      start_process(host);
  });
}

void World::end_process(Host& host) {
  host.alive = false;
  ++host.process;
  host.held.clear();
  oracle_.node_ended(host.name);
  reset(host);
}

void World::start_process(Host& host) {
  host.alive = true;
  host.started = clock_.at + host.clock_error;
  if (host.phase != EndpointState::removed)
    host.phase = EndpointState::ready;
  list(host);
}

void World::reset(Host& host) {
  if (clock_.at < host.lost_from_until)  // nobody hears of it
    return;
  for (Sending* sending : std::vector<Sending*>(host.attempts.begin(), host.attempts.end()))
    if (host.attempts.count(sending) && sending->sent && !sending->over)
      end(*sending, {Outcome::reset, 0, {}, "reset"});
}

void World::drain(Host& host, Micros span) {
  if (host.phase != EndpointState::ready)
    return;
  host.phase = EndpointState::draining;
  list(host);
  at(clock_.at + span, [this, &host] {
    host.phase = EndpointState::removed;
    list(host);
  });
  at(clock_.at + span + lingers, [this, &host] {
    if (host.alive)
      end_process(host);
  });
}

void World::stop_router(std::size_t index) {
  RouterState& state = routers_[index];
  if (state.taken_over_by != index || !state.core)
    return;
  add_router();
  routers_[index].taken_over_by = routers_.size() - 1;
  const Micros waits_end = clock_.at + 600ms;
  routers_[index].core->set_shutdown_deadline(waits_end);
  at(waits_end + kill_after, [this, index] {
    note("router " + std::to_string(index) + " ends");
    routers_[index].core.reset();
    for (const auto& [name, asker] : askers_)
      if (asker->router == index)
        oracle_.router_ended(name);
  });
}

void World::list(Host& host) {
  for (std::size_t i = 0; i < routers_.size(); ++i) {
    const Micros told = std::max(clock_.at + usual_notice, routers_[i].list_late_until);
    at(told, [this, i, name = host.name] { tell(i, name); });
  }
}

void World::tell(std::size_t index, const std::string& name) {
  const Host& host = *by_name_.at(name);
  RouterState& state = routers_[index];
  if (!state.core)
    return;
  state.core->update_endpoints(EndpointListKind::incremental, ++state.version,
                               {{host.name, "127.0.0.1:1", "z1", host.role == Role::prefill ? "r" : "w", 1,
                                 host.phase, 1, host.started}});
}

}  // namespace lemonroute::held
