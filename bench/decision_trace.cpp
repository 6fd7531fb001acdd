/// A characterisation trace of the decision module: seeded event sequences are put to the Scheduler, and a
/// digest over all that it answers is printed for each seed. Two builds that print the same decided the same,
/// so a refactoring compares the output of before with that of after:
///
///   decision_trace [--seeds FIRST COUNT] [--events N] [--verbose SEED]
///   decision_trace | diff bench/decision_trace.expected -
///
/// A line is `SEED DIGEST EVENTS ACTIONS`; the last line counts events, calls, outcomes and actions by type.
/// The digest is 64-bit FNV-1a over integers and the bit patterns of floating-point numbers, with the index
/// of an action's type in place of a name. Of texts for people only what a rewording leaves is taken: of a
/// log line its digits, of a reason in `left_out` whether there is one.
///
/// Digests hold for one machine, compiler and build type (Release): another libm or another contraction of
/// floating-point operations may round otherwise. So this is no CTest check.
///
/// Request ids are not used twice: a second request under an id that is known breaks the module's
/// precondition. All other ids are now and then unknown, stale or repeated.
#include <algorithm>
#include <array>
#include <cctype>
#include <cstdlib>
#include <iostream>
#include <limits>
#include <map>
#include <optional>
#include <random>
#include <string>
#include <tuple>
#include <utility>
#include <vector>

#include "digest.h"
#include "lemonroute/scheduler.h"

namespace {

using namespace lemonroute;
using namespace std::chrono_literals;

constexpr std::array event_names{"host_list", "request", "first",         "place_note",   "completed",
                                 "abandoned", "alarm",   "health_result", "peer_message", "void"};
constexpr std::array action_names{"send", "refuse", "fail",      "cancel",   "sleep", "probe",     "hang_up",
                                  "tell", "log",    "subscribe", "snapshot", "evict", "set_aside", "release"};
constexpr std::array outcomes{Outcome::ok,
                              Outcome::prefill_done,
                              Outcome::timeout,
                              Outcome::not_applicable,
                              Outcome::rejected_over_capacity,
                              Outcome::cancelled,
                              Outcome::error,
                              Outcome::reset,
                              Outcome::connect_failed};
/// Stands in the digest before a choice, as its index does before an action.
constexpr std::uint64_t choice_mark = 1000;

static_assert(event_names.size() == std::variant_size_v<Event>);
static_assert(action_names.size() == std::variant_size_v<Action>);

/// Pseudo-random numbers whose values are the same with every standard library: the engine is specified
/// exactly, the distributions of <random> are not, so integers and reals are mapped here.
class Generator {
 public:
  explicit Generator(std::uint64_t seed) : engine_(seed) {}
  /// An integer in [0, bound).
  std::uint64_t below(std::uint64_t bound) { return engine_() % bound; }
  /// Whether an event of probability 1/n occurs.
  bool one_in(std::uint64_t n) { return below(n) == 0; }
  /// A real in [least, most).
  double real(double least, double most) {
    return least + (most - least) * static_cast<double>(engine_() >> 11) * 0x1p-53;
  }
  /// A duration in [least, most], in whole microseconds.
  Micros duration(Micros least, Micros most) {
    return least +
           Micros(static_cast<Micros::rep>(below(static_cast<std::uint64_t>((most - least).count()) + 1)));
  }
  /// One element of a container.
  template <class Container>
  const auto& element(const Container& of) {
    return of[below(of.size())];
  }
  template <class Value>
  Value any(std::initializer_list<Value> of) {
    return of.begin()[below(of.size())];
  }

 private:
  std::mt19937_64 engine_;
};

/// The digits of a text, which a rewording of it leaves as they are.
std::string digits(const std::string& text) {
  std::string kept;
  for (const char one : text)
    if (std::isdigit(static_cast<unsigned char>(one)))
      kept += one;
  return kept;
}

/// The fields of an action, in the order of their declaration.
auto fields(const Send& a) {
  return std::tuple(a.id, a.timeout, a.endpoint);
}
auto fields(const RejectRequest& a) {
  return std::tuple(a.id, a.retry_after);
}
auto fields(const FailRequest& a) {
  return std::tuple(a.id);
}
auto fields(const CancelAttempt& a) {
  return std::tuple(a.id, a.attempt);
}
auto fields(const StartTimer& a) {
  return std::tuple(a.timer_id, a.delay);
}
auto fields(const Probe& a) {
  return std::tuple(a.endpoint);
}
auto fields(const CloseIdleConnections& a) {
  return std::tuple(a.endpoint);
}
auto fields(const SendPeerMessage& a) {
  return std::tuple(a.to, a.payload);
}
auto fields(const Log& a) {
  return std::tuple(digits(a.line));
}
auto fields(const WatchEndpointList& a) {
  return std::tuple(a.open);
}
auto fields(const FetchEndpointList&) {
  return std::tuple();
}
auto fields(const EvictReservation& a) {
  return std::tuple(a.id);
}
auto fields(const ReserveCapacity& a) {
  return std::tuple(a.id, a.endpoint);
}
auto fields(const ReleaseReservation& a) {
  return std::tuple(a.id);
}

/// The fields of one candidate of a choice; its reason counts by its presence alone.
auto fields(const Candidate& c) {
  return std::tuple(c.endpoint, c.exclusion_reason != nullptr, c.recorded_cached_tokens,
                    c.assumed_cached_tokens, c.prefill_time_per_token, c.queued_tokens, c.load,
                    c.latency_ratio, c.failure_ratio, c.queue_wait, c.prefill_time, c.proximity, c.score);
}

/// The fields of a choice itself, with the number of its candidates.
auto fields(const Choice& c) {
  return std::tuple(c.id, c.at, c.stage, c.excluded, c.chosen, c.shed, c.estimated_wait, c.max_wait, c.load,
                    c.max_load, c.candidates.size());
}

/// Writes a value for people to read.
void print(Micros value) {
  std::cout << ' ' << value.count() << "us";
}
void print(const std::string& value) {
  std::cout << " \"" << value << '"';
}
template <class Value>
void print(const Value& value) {
  if constexpr (std::is_enum_v<Value>)
    std::cout << ' ' << static_cast<std::uint64_t>(value);
  else
    std::cout << ' ' << +value;
}

/// Writes the fields of a structure, after its name, as one line.
template <class Structure>
void print_line(const char* name, const Structure& of) {
  std::cout << "    " << name;
  std::apply([](const auto&... field) { (print(field), ...); }, fields(of));
  std::cout << '\n';
}

/// How often each type of event, call, outcome and action occurred, over all seeds.
struct Coverage {
  std::array<std::uint64_t, event_names.size()> events{};
  std::array<std::uint64_t, action_names.size()> actions{};
  std::map<std::uint16_t, std::uint64_t> outcomes;
  std::uint64_t choices = 0, candidates = 0, left_out = 0, early_refusals = 0, retunes = 0, take_overs = 0,
                learned_rates = 0, avoided = 0, avoided_hosts = 0, second_attempts = 0;
};

/// Draws the settings of a class: all effects and groups, and aims and windows from none to long ones.
ClassSettings draw_class(Generator& random, std::size_t number) {
  ClassSettings drawn;
  drawn.name = "class" + std::to_string(number);
  drawn.idempotency = random.any({Idempotency::idempotent, Idempotency::idempotent,
                                  Idempotency::idempotent_with_key, Idempotency::not_idempotent});
  drawn.retry_scope = random.any({RetryScope::all, RetryScope::zone, RetryScope::cell});
  drawn.deadline = random.duration(500ms, 12s);
  drawn.latency_objective = random.duration(50ms, 3s);
  drawn.retry_window = random.any<Micros>({0ms, 200ms, 1s, 5s});
  drawn.latency_objective_per_1000_tokens = random.any<Micros>({0ms, 20ms, 100ms, 400ms});
  drawn.inter_token_objective = random.any<Micros>({0ms, 10ms, 50ms});
  drawn.objective_slack_factor = random.any({0.0, 0.5, 2.0, -1.0});
  drawn.late_priority_weight = random.real(0, 1);
  drawn.priority_weight = random.any({0.0, 0.2, 1.0, 1.0, 5.0});
  drawn.streaming = random.one_in(2);
  return drawn;
}

/// Draws machine kinds: mostly a kind for each stage and at times mixed ones, or roles at random.
void draw_kinds(Generator& random, Settings& drawn) {
  drawn.role_by_kind = {Role::prefill, Role::decode};
  if (random.one_in(2))
    drawn.role_by_kind.push_back(Role::mixed);
  if (random.one_in(5))
    for (Role& role : drawn.role_by_kind)
      role = random.any({Role::prefill, Role::decode, Role::mixed});
  for (std::size_t kind = 0; kind < drawn.role_by_kind.size(); ++kind)
    drawn.kv_cache_tokens_by_kind.push_back(random.any({0.0, 2e4, 1.5e5, 4e5}));
  if (random.one_in(10))
    drawn.kv_cache_tokens_by_kind.pop_back();
}

/// Draws what load reports are said to contain.
void draw_reports(Generator& random, Settings& drawn) {
  drawn.report_columns = random.any<std::vector<std::string>>(
      {{"x0", "x1"}, {"x0", "x1"}, {"x1", "x2", "x0"}, {"x0"}, {"x1"}, {}});
  drawn.report_x0_is_memory = !random.one_in(3);
  drawn.report_x1_is_queued_tokens = !random.one_in(3);
  drawn.report_by_probe = random.one_in(3);
}

/// Draws the switches, each of which turns a behaviour of the module on or off.
void draw_switches(Generator& random, Settings& drawn) {
  drawn.endpoint_list_is_polled = random.one_in(2);
  drawn.decode_nodes_prefill = random.one_in(2);
  drawn.stream_resume_allowed = random.one_in(2);
  drawn.reservation_allowed = random.one_in(2);
  drawn.cancellation_allowed = !random.one_in(3);
  drawn.probing_allowed = random.one_in(2);
  drawn.hedging_allowed = random.one_in(2);
  drawn.retry_after_allowed = !random.one_in(3);
  drawn.retry_attempt_header = random.one_in(2);
}

/// Draws durations and factors, with a tick and a slow-start window that are never zero.
void draw_limits(Generator& random, Settings& drawn) {
  drawn.max_attempts = random.any<std::uint32_t>({1, 2, 2, 3, 3, 4, 4, 5, 6, 8});
  drawn.max_retry_after = random.duration(0ms, 2s);
  drawn.connect_timeout = random.duration(50ms, 1s);
  drawn.reservation_release_timeout = random.duration(100ms, 1s);
  drawn.answer_slack = random.duration(0ms, 200ms);
  drawn.poll_interval = random.duration(0ms, 2s);
  drawn.slow_start_duration = random.any<Micros>({0s, 1s, 5s, 30s});
  drawn.drain_grace = random.duration(0ms, 500ms);
  drawn.overload_window = random.any<Micros>({100ms, 500ms, 1s, 3s});
  drawn.min_batch_interval = random.any<Micros>({1ms, 2ms, 10ms});
  drawn.slow_start_initial_capacity = random.any({0.0, 0.1, 0.3, 1.0});
  drawn.overload_factor = random.any({0.5, 1.0, 3.0, 10.0});
  drawn.over_quota_priority_weight = random.any({0.0, 0.3, 1.0});
  drawn.router_count = static_cast<std::uint32_t>(1 + random.below(4));
  drawn.router_index = static_cast<std::uint32_t>(random.below(drawn.router_count));
  drawn.router_zone = static_cast<std::uint32_t>(random.below(3));
}

/// Draws all fields of the settings.
Settings draw_settings(Generator& random) {
  Settings drawn;
  for (std::size_t number = 1 + random.below(4); number > 0; --number)
    drawn.classes.push_back(draw_class(random, number));
  for (std::size_t number = random.below(4); number > 0; --number) {
    TenantSettings tenant;
    tenant.name = "tenant" + std::to_string(number);
    tenant.quota_rps = random.any({0.0, 0.5, 3.0, 50.0});
    tenant.share = random.real(0, 1);
    drawn.tenants.push_back(tenant);
  }
  draw_kinds(random, drawn);
  draw_reports(random, drawn);
  draw_switches(random, drawn);
  draw_limits(random, drawn);
  return drawn;
}

/// One seeded sequence of events that reacts to the actions: what was sent is answered, each timer fires.
class Sequence {
 public:
  Sequence(std::uint64_t seed, Coverage& coverage, bool verbose)
      : random_(seed),
        seed_(seed),
        coverage_(coverage),
        verbose_(verbose),
        settings_(draw_settings(random_)),
        scheduler_(settings_, seed) {
    explain(true);
    for (std::uint64_t count = 3 + random_.below(12); count > 0; --count)
      hosts_.push_back(draw_host());
  }

  /// Plays so many events.
  void run(std::uint64_t events) {
    if (!random_.one_in(20))
      handle(full_list(EndpointListKind::full));
    while (events_ < events)
      step();
  }

  /// Prints the line of this seed.
  void print_digest() const {
    std::cout << seed_ << ' ' << digest_ << ' ' << events_ << ' ' << actions_ << '\n';
  }

 private:
  /// An attempt that is out, as the nodes would know it.
  struct OpenAttempt {
    RequestId id;
    EndpointId host;
    std::uint16_t number;
    Micros sent;
    bool started = false, cancelled = false;
  };
  /// A timer that the module asked for.
  struct Timer {
    Micros due;
    std::uint32_t cookie;
  };

  // ---- What the module answers ----
  /// Hears of each choice from now on, or of none.
  void explain(bool on) {
    if (on)
      scheduler_.set_choice_observer([this](const Choice& choice) { hear(choice); });
    else
      scheduler_.set_choice_observer({});
  }

  /// Adds the fields of a structure to the digest.
  template <class Structure>
  void add(const Structure& of) {
    std::apply([this](const auto&... field) { (digest_.add(field), ...); }, fields(of));
  }

  /// Takes a choice with its candidates into the digest.
  void hear(const Choice& choice) {
    digest_.add(choice_mark);
    add(choice);
    if (verbose_)
      print_line("choice", choice);
    for (const Candidate& candidate : choice.candidates) {
      add(candidate);
      ++coverage_.candidates;
      coverage_.left_out += candidate.exclusion_reason != nullptr;
      if (verbose_)
        print_line("  candidate", candidate);
    }
    ++coverage_.choices;
    coverage_.early_refusals += choice.shed;
  }

  /// Puts an event to the module, and takes the actions into the digest and into account.
  void handle(const Event& event) {
    ++events_;
    ++coverage_.events[event.index()];
    if (verbose_)
      std::cout << "  " << now_.count() << "us " << event_names[event.index()] << '\n';
    std::vector<Action> actions;
    scheduler_.handle(now_, event, actions);
    digest_.add(actions.size());
    for (const Action& action : actions) {
      ++actions_;
      ++coverage_.actions[action.index()];
      digest_.add(action.index());
      std::visit([this](const auto& one) { add(one); }, action);
      if (verbose_)
        std::visit([&](const auto& one) { print_line(action_names[action.index()], one); }, action);
      std::visit([this](const auto& one) { react(one); }, action);
    }
  }

  /// What follows of an action: a send opens an attempt, a sleep starts a timer, a cancel is heeded later.
  void react(const Send& send) {
    const auto number = attempts_of_[send.id]++;
    coverage_.second_attempts += number > 0;
    open_.push_back({send.id, send.endpoint, number, now_});
  }
  void react(const StartTimer& sleep) { timers_.push_back({now_ + sleep.delay, sleep.timer_id}); }
  void react(const CancelAttempt& cancel) {
    for (OpenAttempt& attempt : open_)
      if (attempt.id == cancel.id && attempt.number == cancel.attempt)
        attempt.cancelled = true;
  }
  template <class Other>
  void react(const Other&) {}

  // ---- What is drawn ----
  /// One step: time passes, then a timer that is due fires, or something else happens.
  void step() {
    now_ += random_.one_in(60) ? random_.duration(0ms, 4s) : random_.duration(0ms, 25ms);
    if (fire_timer())
      return;
    const auto drawn = random_.below(100);
    if (drawn < 30)
      return ask();
    if (drawn < 45)
      return begin_answer();
    if (drawn < 80)
      return complete();
    if (drawn < 87)
      return handle(draw_list());
    if (drawn < 95)
      return rarer_event();
    call();
  }

  /// Fires a timer that is due; a few are lost or late. Whether one fired.
  bool fire_timer() {
    const auto due =
        std::find_if(timers_.begin(), timers_.end(), [this](auto& one) { return one.due <= now_; });
    if (due == timers_.end() || random_.one_in(25))
      return false;
    const auto cookie = due->cookie;
    timers_.erase(due);
    if (random_.one_in(40))
      return false;
    handle(TimerFired{cookie});
    return true;
  }

  /// A request: of a known session or a new one, with shared beginnings, hints and flags.
  void ask() {
    Request request;
    request.id = next_id_++;
    request.class_index =
        static_cast<std::uint16_t>(random_.below(settings_.classes.size() + random_.one_in(20)));
    request.tenant_index = static_cast<std::uint16_t>(random_.below(settings_.tenants.size() + 1));
    request.session_key = random_.below(12);
    request.shared_prefix_key = random_.below(4);
    request.time_budget = random_.one_in(30) ? Micros(0) : random_.duration(300ms, 10s);
    request.expected_latency = random_.duration(0ms, 2s);
    request.prompt_tokens = static_cast<float>(random_.real(20, random_.any({500.0, 4000.0, 30000.0})));
    if (random_.one_in(150))
      request.prompt_tokens = random_.any({-5.0F, 0.0F, std::numeric_limits<float>::quiet_NaN()});
    request.shared_prefix_tokens = request.prompt_tokens * static_cast<float>(random_.real(0, 1.1));
    request.max_output_tokens = static_cast<float>(random_.real(0, 2000));
    for (const std::uint8_t flag : {1, 2, 16})
      if (random_.one_in(flag == 1 ? 2 : 10))
        request.flags = static_cast<std::uint8_t>(request.flags | flag);
    for (auto count = random_.below(3); count > 0; --count) {
      CacheHint hint;
      hint.endpoint = any_host();
      hint.tokens = random_.real(0, 5000);
      hint.confidence = random_.real(0, 1);
      request.cache_hints.push_back(hint);
    }
    asked_.push_back(request.id);
    handle(request);
  }

  /// A first token of an open attempt; now and then a repeated, unknown or stale one.
  void begin_answer() {
    if (open_.empty() || random_.one_in(30))
      return handle(FirstTokenReceived{any_request(), any_host(), any_attempt(), random_.duration(0ms, 2s)});
    OpenAttempt& attempt = open_[random_.below(open_.size())];
    if (role_at(attempt.host) == Role::prefill && !random_.one_in(30))
      return complete();
    attempt.started = true;
    handle(FirstTokenReceived{attempt.id, attempt.host, attempt.number, since(attempt.sent)});
  }

  /// The end of an open attempt; now and then a repeated, unknown or stale one.
  void complete() {
    AttemptCompleted end;
    if (open_.empty() || random_.one_in(30)) {
      end.id = any_request(), end.endpoint = any_host(), end.attempt = any_attempt();
      end.outcome = random_.element(outcomes);
      end.elapsed = random_.duration(0ms, 2s);
      end.request_finished = random_.one_in(2);
    } else {
      const auto at = random_.below(std::min<std::size_t>(open_.size(), 6));
      const OpenAttempt attempt = open_[at];
      if (!random_.one_in(60))  // else it is reported twice
        open_.erase(open_.begin() + static_cast<std::ptrdiff_t>(at));
      end.id = attempt.id, end.endpoint = attempt.host, end.attempt = attempt.number;
      end.outcome = draw_outcome(attempt);
      end.elapsed = since(attempt.sent);
      end.request_finished = end.outcome == Outcome::ok ? !random_.one_in(40) : random_.one_in(25);
    }
    end.cached_tokens =
        static_cast<std::uint32_t>(random_.one_in(3) ? random_.below(2) : random_.below(6000));
    end.load_report = draw_report();
    ++coverage_.outcomes[static_cast<std::uint16_t>(end.outcome)];
    handle(end);
  }

  /// What an attempt ends with: mostly what its node's role says, else any outcome.
  Outcome draw_outcome(const OpenAttempt& attempt) {
    if (attempt.cancelled && !random_.one_in(4))
      return Outcome::cancelled;
    if (random_.one_in(attempt.host % 5 == 1 ? 2 : 7))  // some hosts fail often
      return random_.element(outcomes);
    return role_at(attempt.host) == Role::prefill ? Outcome::prefill_done : Outcome::ok;
  }

  /// Events that are seldom: clients that leave, probe results, forged timers, and those without effect.
  void rarer_event() {
    switch (random_.below(7)) {
      case 0:
      case 1:
        return handle(ClientDisconnected{any_request()});
      case 2:
        return handle(TimerFired{static_cast<std::uint32_t>(random_.below(200))});
      case 3:
        return handle(ReservationUpdate{any_request(), any_host(),
                                        static_cast<std::uint8_t>(random_.below(3)),
                                        static_cast<float>(random_.below(100)), any_attempt()});
      case 4: {
        PeerMessage message;
        message.from = static_cast<std::uint16_t>(random_.below(4));
        message.payload.assign(random_.below(20), 'x');
        return handle(message);
      }
      case 5:
        return handle(CacheInvalidated{any_host()});
      default:
        HealthResult result;
        result.endpoint = any_host();
        result.outcome = random_.one_in(2) ? Outcome::ok : random_.element(outcomes);
        result.elapsed = random_.duration(0ms, 500ms);
        result.load_report = draw_report();
        return handle(result);
    }
  }

  /// A call other than `handle`.
  void call() {
    switch (random_.below(12)) {
      case 0:
        return retune();
      case 1:
        if (random_.one_in(6))
          take_over();
        return;
      case 2:
        return explain(!random_.one_in(4));
      case 3:
      case 4:
        digest_rates();
        return;
      default:
        return digest_avoided();
    }
  }

  /// New settings, wholly or in a few fields.
  void retune() {
    ++coverage_.retunes;
    if (random_.one_in(3)) {
      settings_ = draw_settings(random_);
    } else {
      settings_.max_attempts = static_cast<std::uint32_t>(1 + random_.below(6));
      settings_.classes.push_back(draw_class(random_, random_.below(4)));
      draw_switches(random_, settings_);
    }
    scheduler_.update_settings(settings_);
  }

  /// Another dispatcher goes on with what this one has learned; what is out stays unknown to it.
  void take_over() {
    ++coverage_.take_overs;
    const LearnedRates rates = digest_rates();
    scheduler_ = Scheduler(settings_, seed_);
    explain(true);
    handle(full_list(random_.any({EndpointListKind::full, EndpointListKind::from_cache})));
    scheduler_.adopt_learned_rates(now_, rates);
  }

  /// Takes the learned rates into the digest.
  LearnedRates digest_rates() {
    ++coverage_.learned_rates;
    LearnedRates rates = scheduler_.learned_rates(now_);
    digest_.add(rates.prefill_times_per_token.size());
    for (const auto& [role, rate] : rates.prefill_times_per_token)
      digest_.add(role), digest_.add(rate);
    digest_.add(rates.work_rates.size());
    for (const auto& [host, rate] : rates.work_rates)
      digest_.add(host), digest_.add(rate);
    return rates;
  }

  /// Takes the hosts that are left out by choice into the digest.
  void digest_avoided() {
    ++coverage_.avoided;
    const auto avoided = scheduler_.ejected_endpoints(now_);
    coverage_.avoided_hosts += avoided.size();
    digest_.add(avoided.size());
    for (const EndpointId host : avoided)
      digest_.add(host);
  }

  // ---- The fleet ----
  /// A new host, or another process at the place of a host that is known.
  Endpoint draw_host() {
    Endpoint entry;
    entry.id = next_host_++;
    entry.zone = static_cast<std::uint8_t>(random_.below(3));
    entry.cell = static_cast<std::uint16_t>(random_.below(4));
    entry.kind = static_cast<std::uint8_t>(random_.below(settings_.role_by_kind.size() + random_.one_in(15)));
    entry.weight = static_cast<float>(random_.real(0.5, 2));
    entry.started_at = random_.one_in(3) ? now_ - random_.duration(0ms, 6s) : Micros(0);
    return entry;
  }

  /// All hosts, as a list of that kind.
  EndpointListUpdate full_list(EndpointListKind kind) { return {kind, ++version_, hosts_}; }

  /// A list of any kind after a change: hosts come, drain, go, restart, and come back.
  EndpointListUpdate draw_list() {
    const auto kind = random_.any({EndpointListKind::incremental, EndpointListKind::incremental,
                                   EndpointListKind::incremental, EndpointListKind::full,
                                   EndpointListKind::from_cache, EndpointListKind::fetch_failed});
    if (kind == EndpointListKind::fetch_failed)
      return {kind, version_, {}};
    EndpointListUpdate delta{kind, ++version_, {}};
    for (auto count = 1 + random_.below(2); count > 0; --count) {
      Endpoint& entry = hosts_[random_.below(hosts_.size())];
      const auto change = random_.below(6);
      if (change == 0 && hosts_.size() < 24) {
        delta.endpoints.push_back(hosts_.emplace_back(draw_host()));
        continue;
      }
      if (change == 1)
        entry.state = random_.any({EndpointState::removed, EndpointState::draining});
      else if (change == 2)
        entry.started_at = now_;
      else
        entry.state = EndpointState::ready;
      delta.endpoints.push_back(entry);
    }
    return kind == EndpointListKind::incremental ? delta : EndpointListUpdate{kind, version_, hosts_};
  }

  /// A load report: as many values as columns, at times fewer, now and then one that is no number.
  std::vector<float> draw_report() {
    std::vector<float> values;
    if (random_.one_in(3))
      return values;
    for (const std::string& column : settings_.report_columns)
      values.push_back(static_cast<float>(column == "x0" ? random_.real(0, 0.9) : random_.real(0, 10)));
    if (!values.empty() && random_.one_in(20))
      values.back() = random_.any({std::numeric_limits<float>::infinity(), -1.0F, 1e9F});
    if (!values.empty() && random_.one_in(20))
      values.pop_back();
    return values;
  }

  /// The role of a host by the settings of now.
  Role role_at(EndpointId host) const {
    for (const Endpoint& entry : hosts_)
      if (entry.id == host && entry.kind < settings_.role_by_kind.size())
        return settings_.role_by_kind[entry.kind];
    return Role::mixed;
  }

  /// Ids that may be unknown or stale.
  EndpointId any_host() { return random_.one_in(15) ? 9999 : random_.element(hosts_).id; }
  std::uint16_t any_attempt() { return static_cast<std::uint16_t>(random_.below(4)); }
  RequestId any_request() {
    if (asked_.empty() || random_.one_in(15))
      return 1'000'000 + random_.below(10);
    const auto back = random_.below(std::min<std::size_t>(asked_.size(), 30));
    return asked_[asked_.size() - 1 - back];
  }
  /// The time since then, at times as another clock would have it.
  Micros since(Micros then) { return random_.one_in(20) ? random_.duration(0ms, 3s) : now_ - then; }

  Generator random_;
  std::uint64_t seed_;
  Coverage& coverage_;
  bool verbose_;
  Settings settings_;
  Scheduler scheduler_;
  Digest digest_;
  Micros now_ = 24h;
  std::uint64_t events_ = 0, actions_ = 0;
  RequestId next_id_ = 1;
  EndpointId next_host_ = 1;
  std::uint32_t version_ = 0;
  std::vector<Endpoint> hosts_;
  std::vector<RequestId> asked_;
  std::map<RequestId, std::uint16_t> attempts_of_;
  std::vector<OpenAttempt> open_;
  std::vector<Timer> timers_;
};

/// Prints how often each type occurred, as one line.
void print_coverage(const Coverage& coverage) {
  std::cout << "events:";
  for (std::size_t type = 0; type < event_names.size(); ++type)
    std::cout << ' ' << event_names[type] << ' ' << coverage.events[type];
  std::cout << "; calls: retune " << coverage.retunes << " take_over " << coverage.take_overs
            << " learned_rates " << coverage.learned_rates << " avoided " << coverage.avoided
            << "; outcomes:";
  for (const auto& [outcome, count] : coverage.outcomes)
    std::cout << ' ' << outcome << ' ' << count;
  std::cout << "; actions:";
  for (std::size_t type = 0; type < action_names.size(); ++type)
    std::cout << ' ' << action_names[type] << ' ' << coverage.actions[type];
  std::cout << "; choices " << coverage.choices << " early_refusals " << coverage.early_refusals
            << " candidates " << coverage.candidates << " left_out " << coverage.left_out
            << " later_attempts " << coverage.second_attempts << " avoided_hosts " << coverage.avoided_hosts
            << '\n';
}

/// What the command line asks for.
struct Options {
  std::uint64_t first = 1, count = 400, events = 600;
  std::optional<std::uint64_t> verbose;
};

/// Reads the command line; nothing where it is not understood.
std::optional<Options> read_options(const std::vector<std::string>& words) {
  Options options;
  const auto number = [&](std::size_t at) {
    return at < words.size() ? std::strtoull(words[at].c_str(), nullptr, 10) : 0;
  };
  for (std::size_t at = 0; at < words.size(); at += 2) {
    if (at + 1 >= words.size())
      return {};
    if (words[at] == "--seeds" && at + 2 < words.size()) {
      options.first = number(at + 1);
      options.count = number(++at + 1);
    } else if (words[at] == "--events") {
      options.events = number(at + 1);
    } else if (words[at] == "--verbose") {
      options.verbose = number(at + 1);
    } else {
      return {};
    }
  }
  if (options.verbose)
    options.first = *options.verbose, options.count = 1;
  return options;
}

}  // namespace

/// Plays the sequences of all seeds asked for.
int main(int argc, char** argv) {
  const auto options = read_options({argv + 1, argv + argc});
  if (!options) {
    std::cerr << "decision_trace [--seeds FIRST COUNT] [--events N] [--verbose SEED]\n";
    return 2;
  }
  Coverage coverage;
  for (auto seed = options->first; seed < options->first + options->count; ++seed) {
    Sequence sequence(seed, coverage, options->verbose.has_value());
    sequence.run(options->events);
    sequence.print_digest();
  }
  print_coverage(coverage);
  return 0;
}
