#include "core/conductor.h"

#include <algorithm>
#include <utility>

#include "base/log.h"
#include "core/load_report.h"

namespace lemonroute {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

// A node that stays silent in the middle of a stream is given up before the client has waited for 5 s.
constexpr Micros stream_silence = milliseconds(4500);
constexpr Micros release_again = milliseconds(60);  // between tries to have a state let go
constexpr Micros release_answer = milliseconds(250);  // a node that is reached has answered by then
constexpr Micros release_for = seconds(4);  // the node has certainly dropped it itself, or died, by then

constexpr std::size_t most_left = 1024;  // names of gone nodes that operators may still speak of

constexpr RequestId request_bits = (RequestId(1) << 52) - 1;

const char* word(Outcome outcome) {
  switch (outcome) {
    case Outcome::ok: return "served";
    case Outcome::read: return "read";
    case Outcome::timeout: return "timed out";
    case Outcome::moot: return "moot";
    case Outcome::full: return "turned away";
    case Outcome::cancelled: return "cancelled";
    case Outcome::error: return "error";
    case Outcome::reset: return "reset";
    case Outcome::connect_failed: return "could not connect";
  }
  return "?";
}

const char* word(Phase phase) {
  switch (phase) {
    case Phase::ready: return "ready";
    case Phase::draining: return "leaving";
    case Phase::gone: return "gone";
  }
  return "?";
}

}  // namespace

// One attempt of a request, on its way.
struct Conductor::Try : Attempt {
  Try(Conductor& owner, RequestId of, std::uint16_t number, const Node& at, Role role, Micros now)
      : conductor(owner), request(of), number(number), host(at.id), node(at.name), role(role), sent(now) {}
  void written() override { ++conductor.sends_; }
  void event(std::string_view data) override { conductor.event(*this, data); }
  void done(Result result) override { conductor.done(*this, std::move(result)); }

  Conductor& conductor;
  RequestId request;
  std::uint16_t number;
  HostId host;
  std::string node;
  Role role;
  Micros sent;
  bool started = false;
  std::unique_ptr<Call> call;
  Timers::Id timer;  // its time-out, and once it streams the watch for silence
};

struct Conductor::Entry {
  RequestId id = 0;
  Prompt prompt;
  Client* client = nullptr;  // null once answered or gone
  Micros deadline{};
  std::uint16_t attempts = 0;
  std::uint32_t most_attempts = 1;
  std::string kind;
  std::shared_ptr<Counts> counts;  // of the class that it was taken with
  std::unique_ptr<Try> out;  // at most one
  HostId held_at = 0;        // the node of the last read that ended well
  // A node where a read was cut. It may have ended well in that very moment and hold a state that nobody
  // told of, so it is asked to let go as soon as no attempt is out.
  std::optional<HostId> leftover;
};

struct Conductor::Released {
  RequestId request = 0;
  std::string id;
  HostId holder = 0;
  Micros until{};
  std::size_t tries = 0;
  std::unique_ptr<Call> call;
  Timers::Id timer;
};

Conductor::Conductor(Settings settings, std::vector<std::string> zones, std::vector<std::string> kinds,
                     std::uint64_t seed, const Clock& clock, Nodes& nodes)
    : settings_(std::move(settings)),
      zones_(std::move(zones)),
      kinds_(std::move(kinds)),
      clock_(clock),
      nodes_(nodes),
      scheduler_(settings_, seed) {
  counts_.keep(settings_.classes);
}
Conductor::~Conductor() = default;

// ---- The list of nodes ------------------------------------------------------------------------------------

void Conductor::update(ListKind kind, std::uint32_t version, const std::vector<Listed>& listed) {
  HostList list{kind, version, {}};
  version_ = version;
  if (kind != ListKind::delta)
    for (auto& [id, node] : known_) node.entry.phase = node.listed = Phase::gone;
  for (const auto& item : listed) {
    const HostId id = id_of(item.name);
    Node& node = known_[id];
    ids_[item.name] = id;
    node.id = id;
    node.name = item.name;
    if (!item.address.empty()) node.address = item.address;
    node.zone = item.zone;
    node.kind = item.kind;
    node.entry = {id, 0, 0, item.cell, item.phase, item.weight, item.started};
    place(node);
    node.listed = item.phase;
    node.listed_start = item.started;
    lay_over(node);
    list.hosts.push_back(node.entry);
    // The module's own lines name nodes by these numbers.
    logging::info() << "node " << item.name << " is host " << id << ", " << word(item.phase)
                    << (bans_.out(item.name) ? ", out by hand" : "");
  }
  logging::info() << "list " << version << (kind == ListKind::delta ? ": changes for " : ": whole, ")
                  << listed.size() << " nodes, " << ready_nodes() << " ready";
  // Guards the memory of a conductor that outlives its nodes many times over: a node that has gone is
  // forgotten. What is still under way there knows its name.
  std::erase_if(known_, [this](const auto& node) {
    const bool gone = node.second.entry.phase == Phase::gone;
    if (gone && std::find(left_.begin(), left_.end(), node.second.name) == left_.end())
      left_.push_back(node.second.name);
    if (gone) ids_.erase(node.second.name);
    return gone;
  });
  while (left_.size() > most_left) left_.pop_front();
  put(std::move(list));
}

void Conductor::place(Node& node) const {
  const auto index = [](const std::vector<std::string>& names, const std::string& name) {
    const auto found = std::find(names.begin(), names.end(), name);
    return static_cast<std::uint8_t>(std::min<std::ptrdiff_t>(found - names.begin(), 255));
  };
  node.entry.zone = index(zones_, node.zone);
  node.entry.kind = index(kinds_, node.kind);
}

// ---- What operators order -----------------------------------------------------------------------------------

void Conductor::retune(Settings settings, std::vector<std::string> zones, std::vector<std::string> kinds) {
  settings_ = std::move(settings);
  zones_ = std::move(zones);
  kinds_ = std::move(kinds);
  counts_.keep(settings_.classes);
  scheduler_.retune(settings_);
  // The entries of the list tell zones and kinds by their places in the lists of names, which may be others now.
  HostList list{ListKind::full, version_, {}};
  for (auto& [id, node] : known_) {
    place(node);
    list.hosts.push_back(node.entry);
  }
  put(std::move(list));
}

Conductor::Ordered Conductor::take_out(const std::string& node) { return order(node, true); }
Conductor::Ordered Conductor::put_back(const std::string& node) { return order(node, false); }

Conductor::Ordered Conductor::order(const std::string& node, bool out) {
  const bool listed = std::any_of(known_.begin(), known_.end(), [&](auto& one) { return one.second.name == node; });
  if (!listed && !bans_.out(node) && std::find(left_.begin(), left_.end(), node) == left_.end())
    return Ordered::never_listed;
  if (!bans_.change(node, out, clock_.now())) return Ordered::not_stored;
  logging::info() << "node " << node << (out ? " is out by hand" : " may serve again");
  bans_changed();
  return Ordered::done;
}

void Conductor::keep_bans(std::string path, LockFile& lock) {
  bans_.keep_in(std::move(path), lock);
  bans_changed();
}

void Conductor::refresh_bans() {
  if (!bans_.refresh()) return;
  logging::info() << "nodes were taken out or put back at the other process of this conductor";
  bans_changed();
}

// The Scheduler sees a node that drains, and one that has just started when it is put back: it may have been
// restarted meanwhile, and discovery tells of that seconds late.
bool Conductor::lay_over(Node& node) const {
  const bool out = bans_.out(node.name);
  const Phase phase = out && node.listed == Phase::ready ? Phase::draining : node.listed;
  const Micros started = std::max(node.listed_start, bans_.back(node.name).value_or(Micros(0)));
  if (node.entry.phase == phase && node.entry.started == started) return false;
  node.entry.phase = phase;
  node.entry.started = started;
  return true;
}

void Conductor::bans_changed() {
  HostList list{ListKind::delta, version_, {}};
  for (auto& [id, node] : known_)
    if (lay_over(node)) list.hosts.push_back(node.entry);
  if (!list.hosts.empty()) put(std::move(list));
}

HostId Conductor::id_of(const std::string& name) const {
  if (const auto known = ids_.find(name); known != ids_.end()) return known->second;
  auto id = static_cast<HostId>(hash_of(name));
  while (known_.count(id)) ++id;
  return id;
}

std::string Conductor::name_of(HostId id) const {
  const auto found = known_.find(id);
  return found == known_.end() ? "" : found->second.name;
}

std::size_t Conductor::ready_nodes() const {
  return static_cast<std::size_t>(
      std::count_if(known_.begin(), known_.end(), [](const auto& node) { return node.second.ready(); }));
}

Figures Conductor::figures() const {
  Figures figures{counts_.all(), sends_, open_, known_.size(), 0};
  const auto avoided = scheduler_.avoided(clock_.now());
  for (const auto& [id, node] : known_)
    if (bans_.out(node.name) || std::find(avoided.begin(), avoided.end(), id) != avoided.end()) ++figures.unhealthy;
  return figures;
}

Role Conductor::role(HostId id) const {
  const auto found = known_.find(id);
  if (found == known_.end() || found->second.entry.kind >= settings_.kind_role.size()) return Role::both;
  return settings_.kind_role[found->second.entry.kind];
}

// ---- Requests ---------------------------------------------------------------------------------------------

Conductor::Entry* Conductor::find(RequestId id) {
  const auto found = requests_.find(id);
  return found == requests_.end() ? nullptr : found->second.get();
}

Conductor::Taken Conductor::take(const Inquiry& inquiry, Client& client, RequestId& id) {
  const auto named = [](const auto& list, const std::string& name) {
    return std::find_if(list.begin(), list.end(), [&](auto& one) { return one.name == name; }) - list.begin();
  };
  const auto cls = static_cast<std::size_t>(named(settings_.classes, inquiry.kind));
  if (cls >= settings_.classes.size()) return Taken::unknown_kind;
  // Guards against a client that repeats an id while the first is open: nodes know a request by its id, and
  // two under one name would be two attempts out at once.
  if (by_name_.count(inquiry.prompt.id)) return Taken::duplicate;
  Entry& entry = enter(inquiry.prompt, client, inquiry.kind);
  id = entry.id;

  Request request;
  request.id = id;
  request.cls = static_cast<std::uint16_t>(cls);
  request.tenant = static_cast<std::uint16_t>(named(settings_.tenants, inquiry.tenant));
  request.session = inquiry.session;
  request.shared = inquiry.shared;
  request.budget = inquiry.budget > Micros(0) ? inquiry.budget : settings_.classes[cls].deadline;
  request.prompt = static_cast<float>(inquiry.prompt_tokens);
  request.shared_prefix = static_cast<float>(inquiry.shared_tokens);
  request.max_output = static_cast<float>(inquiry.max_output);
  request.flags = static_cast<std::uint8_t>((inquiry.repeat ? 2 : 0) | (inquiry.resumed ? 16 : 0));

  entry.deadline = clock_.now() + request.budget;
  put(request);
  return Taken::yes;
}

Conductor::Entry& Conductor::enter(const Prompt& prompt, Client& client, const std::string& kind) {
  RequestId id = hash_of(prompt.id) & request_bits;
  while (requests_.count(id)) id = (id + 1) & request_bits;
  by_name_[prompt.id] = id;
  auto entry = std::make_unique<Entry>();
  entry->id = id;
  entry->prompt = prompt;
  entry->client = &client;
  entry->most_attempts = settings_.max_attempts;
  entry->kind = kind;
  entry->counts = counts_.of(kind);
  ++open_;
  return *(requests_[id] = std::move(entry));
}

// ---- Streams between processes ------------------------------------------------------------------------------

// Both connections are given at once, between two events, so that each byte is read and written by one process only.
void Conductor::pass_streams(const std::function<bool(const Passing&)>& give) {
  std::vector<RequestId> streaming;
  for (const auto& [id, entry] : requests_)
    if (entry->client && entry->out && entry->out->started) streaming.push_back(id);
  for (const RequestId id : streaming) {
    Entry& entry = *find(id);
    const auto client = entry.client->passable(), call = entry.out->call->passable();
    if (!client || !call) continue;
    if (!give({entry.prompt.id, entry.kind, entry.out->node, entry.out->number, *client, *call})) return;
    logging::info() << entry.prompt.id << " goes on at the other process";
    Client& given = *entry.client;
    end(entry);
    const std::unique_ptr<Try> out = std::move(entry.out);
    timers_.drop(out->timer);
    given.passed();
    out->call->passed();
    put(Completed{id, Outcome::cancelled, true, clock_.now() - out->sent, out->host, 0, out->number, {}});
  }
}

// The module never hears of such a stream: nothing about it is left to decide.
bool Conductor::adopt(const Passing& stream, Client& client, RequestId& id) {
  if (by_name_.count(stream.id)) return false;
  Node node;
  node.name = stream.node;
  node.id = id_of(stream.node);
  if (const auto known = known_.find(node.id); known != known_.end()) node = known->second;
  Entry& entry = enter({stream.id, {}, {}}, client, stream.kind);
  id = entry.id;
  entry.attempts = static_cast<std::uint16_t>(stream.attempt + 1);
  entry.out = std::make_unique<Try>(*this, id, stream.attempt, node, Role::write, clock_.now());
  entry.out->started = true;
  entry.out->call = nodes_.adopt(node, stream.call, *entry.out);
  if (!entry.out->call) {
    end(entry);
    entry.out.reset();
    touched_.push_back(id);
    settle();
    return false;
  }
  logging::info() << stream.id << " goes on here, from the other process";
  watch_silence(*entry.out);
  if (on_change) on_change();
  return true;
}

void Conductor::gone(RequestId id) {
  Entry* entry = find(id);
  if (!entry || !entry->client) return;
  end(*entry);
  // A stream that nobody reads ends; the module does not cancel what has started.
  if (entry->out && entry->out->started) done(*entry->out, {Outcome::cancelled, 0, {}, "the client has gone"});
  put(Abandoned{id});
}

void Conductor::drained(RequestId id) {
  const Entry* entry = find(id);
  if (!entry || !entry->out || !entry->out->started) return;
  entry->out->call->hold_back(false);
  watch_silence(*entry->out);
  if (on_change) on_change();
}

void Conductor::end(Entry& entry) {
  entry.client = nullptr;
  --open_;
}

// ---- Events to the Scheduler, actions from it -------------------------------------------------------------

// Calls come back into the core from whatever it calls. What they bring waits here in order, so that the
// Scheduler sees one event at a time.
void Conductor::put(Event event) {
  events_.push_back(std::move(event));
  pump();
}

void Conductor::pump() {
  if (pumping_) return;
  pumping_ = true;
  std::vector<Action> actions;
  while (!events_.empty()) {
    const Event event = std::move(events_.front());
    events_.pop_front();
    std::visit(
        [&](const auto& one) {
          if constexpr (requires { one.id; }) touched_.push_back(one.id);
        },
        event);
    actions.clear();
    scheduler_.handle(clock_.now(), event, actions);
    for (const auto& action : actions) std::visit([&](const auto& one) { act(one); }, action);
    if (events_.empty()) settle();
  }
  pumping_ = false;
  if (on_change) on_change();
}

void Conductor::run_due() {
  timers_.run(clock_.now());
  if (on_change) on_change();
}

// Once all events are handled: frees what a cut read may have left, and forgets requests that are over.
void Conductor::settle() {
  for (const RequestId id : std::exchange(touched_, {})) {
    Entry* entry = find(id);
    if (!entry || entry->out) continue;
    if (entry->leftover) start_release(*entry, *std::exchange(entry->leftover, std::nullopt));
    if (entry->client) continue;
    by_name_.erase(entry->prompt.id);
    requests_.erase(id);
  }
}

void Conductor::act(const Send& send) {
  Entry* entry = find(send.id);
  const auto node = known_.find(send.host);
  const Micros now = clock_.now();
  const auto number = entry ? entry->attempts++ : std::uint16_t(0);
  const auto answer = [&](Outcome outcome) {
    events_.push_back(Completed{send.id, outcome, !entry || !entry->client, Micros(0), send.host, 0, number, {}});
  };
  // The module keeps these rules itself; a slip there must not reach a node.
  if (!entry || !entry->client || entry->out || now >= entry->deadline || number >= entry->most_attempts)
    return answer(Outcome::moot);
  if (node == known_.end() || !node->second.ready()) return answer(Outcome::connect_failed);
  const Micros left = entry->deadline - now;
  const Micros within = send.within > Micros(0) ? std::min(send.within, left) : left;
  entry->out = std::make_unique<Try>(*this, send.id, number, node->second, role(send.host), now);
  Try& attempt = *entry->out;
  logging::debug() << entry->prompt.id << " attempt " << number << " to " << node->second.name;
  attempt.timer = timers_.add(now + within, [this, &attempt] { timed_out(attempt); });
  attempt.call = nodes_.begin(node->second, entry->prompt, within, attempt);
}

void Conductor::act(const Refuse& refuse) {
  Entry* entry = find(refuse.id);
  if (!entry || !entry->client) return;
  Client& client = *entry->client;
  end(*entry);
  ++entry->counts->deferred;
  touched_.push_back(refuse.id);
  client.refuse(refuse.stay_away);
}

void Conductor::act(const Fail& fail) {
  Entry* entry = find(fail.id);
  if (!entry || !entry->client) return;
  Client& client = *entry->client;
  end(*entry);
  ++entry->counts->errored;
  touched_.push_back(fail.id);
  client.fail(clock_.now() >= entry->deadline ? Failure::timed_out : Failure::gave_up);
}

void Conductor::act(const Cancel& cancel) {
  Entry* entry = find(cancel.id);
  if (!entry || !entry->out || entry->out->number != cancel.attempt || entry->out->started) return;
  done(*entry->out, {Outcome::cancelled, 0, {}, "called off"});
}

void Conductor::act(const Sleep& sleep) {
  timers_.add(clock_.now() + sleep.after, [this, cookie = sleep.cookie] { put(Alarm{cookie}); });
}

void Conductor::act(const Probe& probe) {
  const auto node = known_.find(probe.host);
  if (node == known_.end()) return;
  const auto number = next_probe_++;
  const Micros sent = clock_.now();
  auto call = nodes_.probe(node->second, [this, number, sent, host = probe.host](const Result& result) {
    probes_.erase(number);
    put(HealthResult{host, result.outcome, clock_.now() - sent,
                     parse_load(result.load, settings_.report_columns)});
  });
  probes_[number] = std::move(call);
}

void Conductor::act(const HangUp& hang_up) {
  const auto node = known_.find(hang_up.host);
  if (node != known_.end()) nodes_.hang_up(node->second);
}

void Conductor::act(const Log& log) { logging::info() << "module: " << log.line; }

void Conductor::act(const Release& release) {
  Entry* entry = find(release.id);
  if (!entry) return;
  entry->leftover.reset();
  start_release(*entry, entry->held_at);
}

// ---- Attempts ---------------------------------------------------------------------------------------------

void Conductor::event(Try& attempt, std::string_view data) {
  Entry& entry = *find(attempt.request);
  watch_silence(attempt);
  if (!std::exchange(attempt.started, true)) {
    entry.leftover.reset();
    put(First{attempt.request, attempt.host, attempt.number, clock_.now() - attempt.sent});
  }
  if (!entry.client || entry.client->event(data)) return;
  // Guards a slow client's stream: while it is held back the node's silence is of our own making.
  timers_.drop(attempt.timer);
  attempt.call->hold_back(true);
}

void Conductor::watch_silence(Try& attempt) {
  timers_.drop(attempt.timer);
  attempt.timer = timers_.add(clock_.now() + stream_silence, [this, &attempt] { stalled(attempt); });
}

// Guards against a result that lives in the call, which is let go of here: it is taken by value.
void Conductor::done(Try& attempt, Result result) {
  Entry& entry = *find(attempt.request);
  timers_.drop(attempt.timer);
  // Guards the nodes' good name, and the others' time: what one node can't use no node can. The fault is the
  // client's, who is told at once.
  if (result.unfit) result.outcome = Outcome::moot;
  const std::unique_ptr<Try> ended = std::move(entry.out);
  logging::debug() << entry.prompt.id << " attempt " << attempt.number << " at " << attempt.node << ": "
                   << word(result.outcome) << (result.detail.empty() ? "" : ", ") << result.detail;
  if (result.unfit)
    logging::info() << "node " << attempt.node << " can't use " << entry.prompt.id << ", " << result.detail;
  if (result.outcome == Outcome::error || result.outcome == Outcome::reset)
    logging::info() << "node " << attempt.node << ": attempt " << word(result.outcome) << ", " << result.detail;
  const bool never_ran = result.outcome == Outcome::full || result.outcome == Outcome::connect_failed ||
                         result.outcome == Outcome::moot;
  if (result.outcome == Outcome::read) entry.held_at = attempt.host;
  else if (!never_ran && attempt.role != Role::write && !attempt.started)
    entry.leftover = attempt.host;
  Client* client = entry.client;
  const bool finished = !client || result.outcome == Outcome::ok || attempt.started || result.unfit;
  if (client && finished) {
    end(entry);
    ++(result.outcome == Outcome::ok ? entry.counts->answered : entry.counts->errored);
  }
  Completed completed{attempt.request, result.outcome, finished, clock_.now() - attempt.sent, attempt.host,
                      result.kept,     attempt.number, parse_load(result.load, settings_.report_columns)};
  ended->call.reset();
  if (client && result.outcome == Outcome::ok) client->finish();
  else if (client && result.unfit) client->fail(Failure::unfit);
  else if (client && finished) client->cut();
  put(std::move(completed));
}

void Conductor::stalled(Try& attempt) { done(attempt, {Outcome::reset, 0, {}, "the stream fell silent"}); }
void Conductor::timed_out(Try& attempt) { done(attempt, {Outcome::timeout, 0, {}, "no answer in time"}); }

// ---- What is held at nodes --------------------------------------------------------------------------------

void Conductor::start_release(Entry& entry, HostId holder) {
  Released& released = releases_.emplace_back();
  released.request = entry.id;
  released.id = entry.prompt.id;
  released.holder = holder;
  released.until = clock_.now() + release_for;
  try_release(released);
}

// Asks the holder first. If it can't be reached, every other node may be asked as well, in turn.
void Conductor::try_release(Released& released) {
  const Entry* entry = find(released.request);
  // Guards the state of a later read: while an attempt is out nothing counts as left, and the call would
  // take away what that attempt is about to use.
  const bool wait = released.tries > 0 && entry && entry->out;
  if (entry && entry->out && entry->out->started) return drop_release(released);
  const auto again = [this, &released] {
    if (clock_.now() >= released.until) {
      logging::warn() << "state of " << released.id << " could not be let go";
      return drop_release(released);
    }
    released.timer = timers_.add(clock_.now() + release_again, [this, &released] { try_release(released); });
  };
  if (wait) return again();
  const Node* node = nullptr;
  if (const auto holder = known_.find(released.holder); released.tries % 2 == 0 && holder != known_.end())
    node = &holder->second;
  else if (const auto ready = ready_nodes(); ready > 0) {
    auto nth = (released.tries / 2) % ready;
    for (const auto& [id, one] : known_)
      if (one.ready() && nth-- == 0) {
        node = &one;
        break;
      }
  }
  ++released.tries;
  if (!node) return again();
  released.call = nodes_.release(*node, released.id, [this, &released, again](bool arrived) {
    timers_.drop(released.timer);
    if (arrived) drop_release(released);
    else again();
    if (on_change) on_change();
  });
  // Guards against a machine that has vanished with the connection open: the call never arrives and nothing
  // tells so, while the state goes on being held there or the program waits to end.
  released.timer = timers_.add(clock_.now() + release_answer, [this, &released, again] {
    released.call.reset();
    again();
  });
}

void Conductor::drop_release(Released& released) {
  timers_.drop(released.timer);
  releases_.remove_if([&](const Released& one) { return &one == &released; });
}

}  // namespace lemonroute
