#include "grpc/node_client.h"

#include "grpc/node_client/calls.h"
#include "proto/lemonroute.pb.h"

namespace lemonroute::grpc {
namespace {

constexpr std::chrono::seconds retire_every{1};

Pool::Time now() {
  return Pool::Clock::now();
}

}  // namespace

NodeClient::NodeClient(net::Loop& loop, Session::Limits limits, Pool::Limits pool)
    : loop_(loop), limits_(limits), pool_limits_(pool), retire_(loop, [this] { retire(); }) {}
NodeClient::~NodeClient() = default;

void NodeClient::set_limits(const Limits& limits) {
  limits_.connect_timeout = limits.connect_timeout;
  // Idle connections are an eighth of the shared descriptors; those with calls have two fifths, which are
  // calls' own.
  most_connections_ = std::max<std::size_t>(4, 3 * limits.max_idle_connections);
  pool_limits_.idle = std::chrono::duration_cast<std::chrono::milliseconds>(limits.idle_timeout);
  for (auto& [address, place] : places_)
    place->pool.limit(pool_limits_);
}

// The connection for a new call to `address`; nothing if there is none and may be none.
std::optional<NodeClient::Taken> NodeClient::take(const std::string& address) {
  auto& held = places_[address];
  if (!held)
    held = std::make_unique<Place>(pool_limits_);
  Place& place = *held;
  const bool room = all_.size() < most_connections_ || make_room();
  const Pool::Route route = place.pool.route(now(), room);
  if (route.answer == Pool::Answer::nowhere)
    return std::nullopt;
  if (route.answer == Pool::Answer::open)
    open(address, place, route.id);
  if (route.also_open)
    open(address, place, *route.also_open);
  const auto session = place.sessions.find(route.id);
  if (session == place.sessions.end())
    return std::nullopt;
  place.pool.began(route.id);
  if (!retire_.pending())
    retire_.start(retire_every);
  // The place outlives its calls: it is forgotten only once it has neither connections nor calls.
  return Taken{session->second, [this, address, id = route.id](bool answered) {
                 if (const auto at = places_.find(address); at != places_.end())
                   at->second->pool.ended(now(), id, answered);
               }};
}

void NodeClient::open(const std::string& address, Place& place, Pool::Id id) {
  std::unique_ptr<Session> made(new Session(loop_, address, *this, limits_));
  place.sessions[id] = made.get();
  Held& held = all_[made.get()];
  held = {std::move(made), address, id};
}

// Takes a descriptor back from the node whose connection has rested longest.
bool NodeClient::make_room() {
  std::optional<std::pair<Pool::Time, Session*>> best;
  for (const auto& [address, place] : places_)
    if (const auto idle = place->pool.idlest(); idle && (!best || idle->first < best->first))
      best = {idle->first, place->sessions.at(idle->second)};
  if (!best)
    return false;
  best->second->close();
  return true;
}

void NodeClient::retire() {
  std::vector<Session*> over;
  for (const auto& [address, place] : places_)
    for (const Pool::Id id : place->pool.retire(now()))
      over.push_back(place->sessions.at(id));
  for (Session* session : over)
    session->close();
  std::erase_if(places_, [](const auto& one) { return one.second->pool.empty(); });
  if (!places_.empty())
    retire_.start(retire_every);
}

NodeClient::Known NodeClient::known(Session& session) {
  const auto found = all_.find(&session);
  if (found == all_.end())
    return {};
  const auto place = places_.find(found->second.address);
  return place == places_.end() ? Known{} : Known{&place->second->pool, found->second.id};
}
void NodeClient::connected(Session& session) {
  if (const auto [pool, id] = known(session); pool)
    pool->up(now(), id);
}
void NodeClient::allowed(Session& session, std::uint32_t streams) {
  if (const auto [pool, id] = known(session); pool)
    pool->allows(id, streams);
}
void NodeClient::going(Session& session) {
  if (const auto [pool, id] = known(session); pool)
    pool->drains(id);
}
void NodeClient::doubted(Session& session, bool on) {
  if (const auto [pool, id] = known(session); pool)
    on ? pool->silent(id) : pool->heard(id);
}

void NodeClient::closed(Session& session) {
  const auto found = all_.find(&session);
  if (found == all_.end())
    return;
  if (const auto place = places_.find(found->second.address); place != places_.end()) {
    place->second->pool.gone(now(), found->second.id);
    place->second->sessions.erase(found->second.id);
  }
  loop_.dispose(std::move(found->second.session));
  all_.erase(found);
}

std::unique_ptr<Call> NodeClient::start_attempt(const Node& node, const Prompt& prompt, Micros within,
                                                AttemptHandler& attempt) {
  if (auto taken = take(node.address))
    return run_call(*taken->session, node, prompt, within, attempt, std::move(taken->over));
  return unsent_call(loop_, [&attempt] {
    attempt.on_done({Outcome::connect_failed, 0, {}, "no connection has a place", false});
  });
}

std::unique_ptr<Call> NodeClient::simple(const Node& node, std::string_view method, std::string framed,
                                         std::function<void(const AttemptResult&)> done) {
  if (auto taken = take(node.address))
    return simple_call(*taken->session, node, method, std::move(framed), std::move(done),
                       std::move(taken->over));
  return unsent_call(loop_, [done = std::move(done)] {
    const auto told = done;  // whoever is told may let go of the call, and of what is told with it
    told({Outcome::connect_failed, 0, {}, "no connection has a place", false});
  });
}

std::unique_ptr<Call> NodeClient::release_reservation(const Node& node, const std::string& id,
                                                      std::function<void(bool)> done) {
  v1::ReleaseRequest request;
  request.set_id(id);
  return simple(node, "Release", frame(request), [done = std::move(done)](const AttemptResult& result) {
    done(result.outcome == Outcome::ok);
  });
}

std::unique_ptr<Call> NodeClient::probe(const Node& node, std::function<void(const AttemptResult&)> done) {
  return simple(node, "Load", frame(v1::LoadRequest()), std::move(done));
}

void NodeClient::close_idle_connections(const Node& node) {
  const auto found = places_.find(node.address);
  if (found == places_.end())
    return;
  std::vector<Session*> quiet;
  for (const auto& [id, session] : found->second->sessions)
    if (session->quiet())
      quiet.push_back(session);
  for (Session* session : quiet)
    session->go_away();
}

}  // namespace lemonroute::grpc
