#include <algorithm>

#include "base/log.h"
#include "core/router/parts.h"

namespace lemonroute {

namespace {

constexpr RequestId request_bits = (RequestId(1) << 52) - 1;

}  // namespace

Router::Router(Settings settings, std::vector<std::string> zones, std::vector<std::string> kinds,
               std::uint64_t seed, const Clock& clock, Nodes& nodes)
    : settings_(std::move(settings)),
      zones_(std::move(zones)),
      kinds_(std::move(kinds)),
      clock_(clock),
      nodes_(nodes),
      scheduler_(settings_, seed) {
  counts_.keep(settings_.classes);
}
Router::~Router() = default;

Router::RequestState* Router::find(RequestId id) {
  const auto found = requests_.find(id);
  return found == requests_.end() ? nullptr : found->second.get();
}

const Router::RequestState* Router::find(RequestId id) const {
  const auto found = requests_.find(id);
  return found == requests_.end() ? nullptr : found->second.get();
}

Router::Taken Router::take(const ClientRequest& client_request, Client& client, RequestId& id) {
  const auto named = [](const auto& list, const std::string& name) {
    return std::find_if(list.begin(), list.end(), [&](auto& one) { return one.name == name; }) - list.begin();
  };
  const auto cls = static_cast<std::size_t>(named(settings_.classes, client_request.kind));
  if (cls >= settings_.classes.size())
    return Taken::unknown_kind;
  // Guards against a client that repeats an id while the first is open: nodes know a request by its id, and
  // two under one name would be two attempts out at once.
  if (by_name_.count(client_request.prompt.id))
    return Taken::duplicate;
  const Micros budget =
      client_request.budget > Micros(0) ? client_request.budget : settings_.classes[cls].deadline;
  if (budget <= client_request.arrival) {
    logging::debug() << client_request.prompt.id << " came whole after its time was over";
    ++counts_.of(client_request.kind)->errored;
    return Taken::late;
  }
  RequestState& entry = enter(client_request.prompt, client, client_request.kind);
  id = entry.id;
  entry.once = settings_.classes[cls].effect == Effect::unsafe;
  if (settings_.classes[cls].effect == Effect::keyed)
    entry.repeats_for = settings_.classes[cls].window;

  Request request;
  request.id = id;
  request.cls = static_cast<std::uint16_t>(cls);
  request.tenant = static_cast<std::uint16_t>(named(settings_.tenants, client_request.tenant));
  request.session = client_request.session;
  request.shared = client_request.shared;
  request.budget = budget - client_request.arrival;
  request.prompt = static_cast<float>(client_request.prompt_tokens);
  request.shared_prefix = static_cast<float>(client_request.shared_tokens);
  request.max_output = static_cast<float>(client_request.max_output);
  request.flags =
      static_cast<std::uint8_t>((client_request.repeat ? 2 : 0) | (client_request.resumed ? 16 : 0));

  request.hints = hints(request.session, request.shared);
  entry.session = request.session;
  entry.shared = request.shared;
  entry.tokens = client_request.prompt_tokens;
  entry.shared_tokens = client_request.shared_tokens;
  demand_.taken();

  entry.deadline = clock_.now() + request.budget;
  if (waits_end_)
    entry.deadline = std::min(entry.deadline, *waits_end_);
  logging::debug() << client_request.prompt.id << " taken, " << client_request.kind << ", "
                   << client_request.prompt_tokens << " tokens, " << request.budget.count() / 1000 << " ms"
                   << (client_request.repeat ? ", a repeat" : "");
  put(request);
  return Taken::yes;
}

Router::RequestState& Router::enter(const Prompt& prompt, Client& client, const std::string& kind) {
  RequestId id = hash_of(prompt.id) & request_bits;
  while (requests_.count(id))
    id = (id + 1) & request_bits;
  by_name_[prompt.id] = id;
  auto entry = std::make_unique<RequestState>();
  entry->id = id;
  entry->prompt = prompt;
  entry->client = &client;
  entry->most_attempts = settings_.max_attempts;
  entry->kind = kind;
  entry->counts = counts_.of(kind);
  ++open_;
  return *(requests_[id] = std::move(entry));
}

// Guards what is held at nodes: killed with an attempt out, a process leaves a state behind that nobody will
// let go. Its client hears while there is time to answer it, and to have the state let go.
void Router::end_waits(Micros at) {
  waits_end_ = at;
  for (const auto& [id, entry] : requests_) {
    entry->deadline = std::min(entry->deadline, at);
    if (!entry->out || entry->out->started || entry->out->timer.first <= at)
      continue;
    timers_.drop(entry->out->timer);
    entry->out->timer = timers_.add(at, [this, out = entry->out.get()] { timed_out(*out); });
  }
  for (PendingRelease& released : releases_)
    end_release_by(released);
  if (on_change)
    on_change();
}

void Router::gone(RequestId id) {
  RequestState* entry = find(id);
  if (!entry || !entry->client)
    return;
  logging::debug() << entry->prompt.id << " is given up by its client after " << entry->attempts
                   << " attempts";
  end(*entry);
  // A stream that nobody reads ends; the module does not cancel what has started.
  // Danger: an attempt that begins for nobody, once its connection comes up or a place on one is free. Where
  // the settings forbid to call attempts off the module leaves it alone; but there is nothing to call off, no
  // node has heard of it.
  if (entry->out && (entry->out->started || entry->out->unsent()))
    done(*entry->out, {Outcome::cancelled, 0, {}, "the client has gone"});
  put(Abandoned{id});
}

void Router::drained(RequestId id) {
  const RequestState* entry = find(id);
  if (!entry || !entry->out || !entry->out->started)
    return;
  entry->out->call->hold_back(false);
  watch_silence(*entry->out);
  if (on_change)
    on_change();
}

void Router::end(RequestState& entry) {
  entry.client = nullptr;
  --open_;
}

}  // namespace lemonroute
