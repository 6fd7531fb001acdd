#include "play/player.h"

#include <csignal>
#include <iomanip>
#include <ostream>
#include <sstream>

namespace lemonroute::rig {
namespace {

using std::chrono::milliseconds;

constexpr Micros beat_each = milliseconds(10);
constexpr Micros ask_each = milliseconds(100);  // or the period, where that is longer
constexpr double usual_bound = 150;             // periods, before they are stretched
constexpr Micros drain_limit = std::chrono::seconds(60);

rules::Limits limits() {
  rules::Limits limits;
  // Edges are told by stand-ins that run on a machine with much else to do; the rules' own figures are held
  // to in tests whose clock is their own. What is looked for here are breaches by faults, not by a few ms.
  limits.drain_grace = milliseconds(500) + milliseconds(500);
  limits.held = std::chrono::seconds(3);
  limits.told_late = std::chrono::seconds(1);
  limits.answer_slack = std::chrono::seconds(2);
  return limits;
}

}  // namespace

Player::Player(const Scene& scene, const Options& options, std::ostream& out)
    : scene_(scene),
      options_(options),
      out_(out),
      ledger_(limits(),
              [this](auto& router, unsigned generation) { return fleet_.running(router, generation); }),
      fleet_(loop_, clock_, scene, options, ledger_, cells_),
      clients_(loop_, clock_, ledger_, options.seed.value_or(scene.seed),
               [this](auto& router) -> std::optional<Clients::Door> {
                 const auto& one = fleet_.member(router);
                 if (!one.process->runs() || one.ends)
                   return std::nullopt;
                 return Clients::Door{one.places.serve, one.region, one.process->generation()};
               }),
      asker_(loop_),
      beat_(loop_, [this] { beat(); }) {
  cells_.prompt = [this](auto& request) { return ledger_.prompt(request); };
  cells_.begun = [this](auto& request, auto& device) { ledger_.begun(clock_.now(), request, device); };
  cells_.over = [this](auto& request, auto& device) { ledger_.over(clock_.now(), request, device); };
  cells_.holds = [this](auto& request, auto& device) { ledger_.holds(clock_.now(), request, device); };
  cells_.freed = [this](auto& request, auto& device) { ledger_.freed(clock_.now(), request, device); };
  cells_.read = [this](auto& device, auto& prompt, auto cached) { ledger_.read(device, prompt, cached); };
  for (const auto& one : scene.routers)
    known_[one.name];
  beaten_ = clock_.now();
  beat_.start(beat_each);
}

std::string Player::stamp() const {
  std::ostringstream text;
  text << std::fixed << std::setprecision(2) << std::setw(7)
       << static_cast<double>((clock_.now() - begun_).count()) / 1e6 << " s  ";
  return text.str();
}

bool Player::play() {
  const Step* at = nullptr;
  try {
    for (const auto& one : scene_.steps) {
      at = &one;
      if (options_.talks)
        out_ << stamp() << scene_.path << ":" << one.line << ": " << one.text << std::endl;
      step(one);
    }
    at = nullptr;
    end();
    if (const auto why = broken(); !why.empty())
      throw Failure{why};
    return true;
  } catch (const Failure& failure) {
    out_ << stamp() << "FAIL " << scene_.path;
    if (at)
      out_ << ":" << at->line << ": " << at->text;
    else
      out_ << ", at its end";
    out_ << ": " << failure.why << "\n";
    tell_all();
    return false;
  }
}

void Player::step(const Step& step) {
  step_at_ = clock_.now();
  for (auto& [name, one] : known_)
    one.fresh = false;
  switch (step.verb) {
    case Verb::start:
    case Verb::kill:
    case Verb::stop:
    case Verb::go_on:
    case Verb::term:
      return routers(step);
    case Verb::restart:
      if (scene_.router(step.names.front()))
        return routers(step);
      return fleet_.device(step);
    case Verb::crash:
    case Verb::drain:
    case Verb::list:
    case Verb::flush:
      return fleet_.device(step);
    case Verb::cut:
    case Verb::slow:
    case Verb::lose:
    case Verb::repeat:
    case Verb::reorder:
    case Verb::corrupt:
    case Verb::heal:
      return fleet_.link(step);
    case Verb::load:
      return clients_.load(step);
    case Verb::ask:
      return clients_.ask(step);
    case Verb::flood:
      flood_ = step;
      return;
    case Verb::wait:
      return wait(step.periods);
    case Verb::expect:
      return expect(step);
    case Verb::hold:
      return hold(step);
  }
}

void Player::routers(const Step& step) {
  for (const auto& name : step.names) {
    auto& one = fleet_.member(name);
    const auto away = [&](auto act) {
      act();
      clients_.dropped(name);
      asker_.forget(one.places.management);
      known_[name] = {};
    };
    if (step.verb == Verb::kill || step.verb == Verb::restart)
      away([&] { fleet_.kill(name); });
    if (step.verb == Verb::start || step.verb == Verb::restart)
      fleet_.start(name, step.state_lost);
    if (step.verb == Verb::stop)
      away([&] { fleet_.stop(name); });
    if (step.verb == Verb::go_on)
      fleet_.go_on(name);
    if (step.verb == Verb::term)
      fleet_.term(name);
  }
}

// ---- Waiting
// ------------------------------------------------------------------------------------------------

// A rig that is kept from running counts no periods meanwhile: nor would the processes have got far.
void Player::beat() {
  const Micros now = clock_.now(), gone = now - beaten_;
  beaten_ = now;
  periods_ +=
      static_cast<double>(std::min(gone, 5 * beat_each).count()) / static_cast<double>(scene_.period.count());
  clients_.run_due();
  fleet_.flood(flood_, std::min(gone, 5 * beat_each));
  ledger_.advance(now);
  if (now - asked_ >= std::max(ask_each, scene_.period)) {
    asked_ = now;
    ask_all();
  }
  beat_.start(beat_each);
}

void Player::ask_all() {
  for (auto& [name, member] : fleet_.members()) {
    known_[name].running = member.process->runs();
    if (!member.process->runs() || asker_.busy(member.places.management))
      continue;
    const auto ask = [this, &member = member, name = name, at = clock_.now(),
                      generation = member.process->generation()](const char* target, auto take) {
      asker_.ask(member.places.management, target,
                 [this, name, at, generation, take](int status, const std::string& body) {
                   if (!fleet_.running(name, generation))
                     return;
                   Known& one = known_[name];
                   take(one, status, body);
                   one.fresh = one.fresh || (status > 0 && at >= step_at_);
                 });
    };
    if (asks_ready_ || !options_.peers)
      ask("/ready", [](Known& one, int status, const std::string&) { one.ready = status == 200; });
    else
      ask("/fleet", [](Known& one, int status, const std::string& body) {
        one.fleet = status == 200 ? nlohmann::json::parse(body, nullptr, false) : nlohmann::json();
      });
  }
}

void Player::look() {
  for (auto& [name, member] : fleet_.members()) {
    const auto before = member.process->state();
    if (before != Process::State::running || member.process->look() != Process::State::ended)
      continue;
    known_[name] = {};
    known_[name].ended_well = member.process->code() == 0;
    ledger_.away(clock_.now(), name);
    clients_.dropped(name);
    const int code = member.process->code();
    if (!member.ends || code != 0)
      throw Failure{name + (code < 0 ? " was ended by signal " + std::to_string(-code)
                                     : " ended with " + std::to_string(code))};
  }
}

void Player::until(double periods, const std::function<std::string()>& lacking) {
  for (const double end = periods_ + periods;;) {
    loop_.run_once();
    look();
    const auto what = lacking();
    if (what.empty())
      return;
    if (periods_ >= end)
      throw Failure{what};
  }
}

void Player::wait(double periods) {
  for (const double end = periods_ + periods; periods_ < end;) {
    loop_.run_once();
    look();
  }
}

std::string Player::lacking(const Fact& fact) {
  switch (fact.kind) {
    case FactKind::rules:
      return broken();
    case FactKind::answers:
    case FactKind::reads: {
      const auto is =
          fact.kind == FactKind::reads ? ledger_.readers_of(fact.what) : ledger_.answers(fact.what);
      return compares(is, fact.compare, std::stoull(fact.to)) ? "" : "there are " + std::to_string(is);
    }
    default:
      return missing(fact, known_);
  }
}

void Player::expect(const Step& step) {
  if (step.fact.kind == FactKind::rules) {
    if (const auto why = broken(); !why.empty())
      throw Failure{why};
    return;
  }
  asks_ready_ = step.fact.kind == FactKind::ready;
  until((step.periods ? step.periods : usual_bound) * options_.patience, [&] { return lacking(step.fact); });
  asks_ready_ = false;
}

// Whatever has been heard of since the step began must be so, and must have been heard of at its end.
void Player::hold(const Step& step) {
  asks_ready_ = step.fact.kind == FactKind::ready;
  const double end = periods_ + step.periods;
  bool heard = false;
  while (periods_ < end || !heard) {
    loop_.run_once();
    look();
    heard = true;
    for (const auto& name : step.fact.at)
      heard = heard && (known_[name].fresh || !known_[name].running);
    if (!heard && periods_ < end + usual_bound * options_.patience)
      continue;
    if (const auto why = lacking(step.fact); !why.empty())
      throw Failure{why};
  }
  asks_ready_ = false;
}

// ---- The end
// ------------------------------------------------------------------------------------------------

void Player::end() {
  const double bound = static_cast<double>(drain_limit.count()) / static_cast<double>(scene_.period.count());
  flood_ = {};
  clients_.load({});
  until(bound, [this] {
    return ledger_.open() == 0 ? "" : std::to_string(ledger_.open()) + " requests are still open";
  });
  // What is still held is let go of, or is a breach.
  until(bound, [this] { return ledger_.owed() == 0 || !broken().empty() ? "" : "state is still held"; });
  for (auto& [name, member] : fleet_.members()) {
    if (member.process->state() == Process::State::stopped) {
      fleet_.go_on(name);
      known_[name] = {};
    }
    fleet_.term(name);
  }
  until(bound, [this] {
    for (auto& [name, member] : fleet_.members())
      if (member.process->runs())
        return name + " does not end";
    return std::string();
  });
  ledger_.finish(clock_.now());
}

std::string Player::broken() const {
  const auto& breaches = ledger_.breaches();
  if (breaches.empty())
    return {};
  return (breaches.size() > 1 ? std::to_string(breaches.size()) + " breaches, the first: " : "") +
         breaches.front().text(begun_);
}

void Player::tell_all() {
  for (auto& [name, member] : fleet_.members()) {
    if (member.process->state() == Process::State::none)
      continue;
    out_ << "  " << summary(name, known_[name]) << "\n" << member.process->tail(12);
    if (options_.talks && known_[name].fleet.is_object())
      out_ << "    " << known_[name].fleet.dump() << "\n";
  }
  std::size_t said = 0;
  for (const auto& breach : ledger_.breaches())
    if (said++ < 10)
      out_ << "  " << breach.text(begun_) << "\n";
  if (options_.keep)
    out_ << "  files and logs: " << fleet_.folder().string() << "\n";
  out_.flush();
}

}  // namespace lemonroute::rig
