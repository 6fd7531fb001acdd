#include "grpc/server.h"

#include "grpc/compression.h"
#include "grpc/status_details.h"

namespace lemonroute::grpc {

namespace {

constexpr std::size_t most_waiting = 64 * 1024;  // of an answer, before the node has to wait
// Memory of an open call besides its messages, in bytes: request, attempt, node connection and their buffers.
constexpr std::size_t call_overhead = 16 * 1024;
constexpr std::chrono::milliseconds retry_after_eviction{1000};

}  // namespace

ServerCall::ServerCall(net::Loop& loop, Session& session, std::int32_t id, Encoding reads, Encoding writes)
    : loop_(loop), account_(loop.memory(), [this] { evict(); }), session_(session), id_(id), writes_(writes) {
  reader_.encoding(reads);
}

void ServerCall::charge_memory() {
  if (over_)
    return account_.hold(0);
  account_.hold(call_overhead + message_.capacity() + reader_.held() + session_.waiting(id_));
}

// The request has had no effect, so its client may send it again.
void ServerCall::evict() {
  loop_.tally().note(net::Overdone::no_memory);
  constexpr std::string_view text = "refused, try again";
  Headers more{{"grpc-retry-pushback-ms", std::to_string(retry_after_eviction.count())}};
  more.push_back(status_details(Status::unavailable, text, "REFUSED", retry_after_eviction));
  finish(Status::unavailable, text, more);
}

bool ServerCall::send(const std::string& framed) {
  if (over_)
    return true;
  if (!std::exchange(responded_, true))
    session_.respond(id_, head());
  session_.write(id_, framed);
  charge_memory();
  if (!memory().is_exhausted())
    return session_.waiting(id_) < most_waiting;
  session_.report_drained(id_);
  return false;
}

void ServerCall::drained() {
  charge_memory();
  method_->drained();
}

Headers ServerCall::head() const {
  Headers headers{{":status", "200"},
                  {"content-type", "application/grpc"},
                  {"grpc-accept-encoding", std::string(accepted_encodings)}};
  if (writes_ != Encoding::identity)
    headers.emplace_back("grpc-encoding", name_of(writes_));
  return headers;
}

void ServerCall::finish(Status status, std::string_view text, const Headers& more) {
  if (std::exchange(over_, true))
    return;
  Headers trailers;
  if (!responded_)
    trailers = head();
  trailers.emplace_back("grpc-status", std::to_string(static_cast<int>(status)));
  if (!text.empty())
    trailers.emplace_back("grpc-message", percent_encoded(text));
  trailers.insert(trailers.end(), more.begin(), more.end());
  session_.finish(id_, std::move(trailers));
  account_.set_evictable(false);
  charge_memory();
  on_over_();
}

void ServerCall::data(std::string_view piece) {
  if (over_)
    return;
  const auto fault = reader_.feed(piece, [this](std::string_view message) {
    if (over_)
      return;
    if (method_->streams())
      return method_->message(message);
    // A second message where the method takes one leaves open which of them is meant.
    if (std::exchange(has_message_, true))
      two_ = true;
    else
      message_ = message;
  });
  if (over_)
    return;
  charge_memory();
  const bool evicted = over_;
  if (evicted)
    return;
  if (fault)
    finish(*fault,
           *fault == Status::resource_exhausted ? "the message is too large" : "the message can't be read");
  else if (two_)
    finish(Status::unimplemented, "the method takes one message");
}

// Only then is the request whole, and nothing of one that is cut short reaches the method.
void ServerCall::half_closed() {
  if (over_)
    return;
  account_.set_evictable(false);
  if (method_->streams() && reader_.between())
    return method_->half_closed();
  if (!has_message_ || !reader_.between())
    return finish(Status::invalid_argument, "the request is not one whole message");
  const std::string message = std::exchange(message_, {});
  charge_memory();
  method_->message(message);
}

void ServerCall::closed(std::uint32_t, bool) {
  if (std::exchange(over_, true))
    return;
  method_.reset();  // the client has gone, and what is done for it ends now
  on_over_();
}

Server::Server(net::Loop& loop, const std::string& listen, std::size_t most_connections, bool shared,
               Session::Limits limits)
    : loop_(loop), limits_(limits), admission_(loop, most_connections, [this](bool on) {
        if (listener_)
          listener_->pause(on);
      }) {
  listener_ = std::make_unique<net::Listener>(
      loop, listen,
      [this](evutil_socket_t fd) {
        auto visit = std::make_unique<Visit>(admission_);
        Visit& made = *visit;
        constexpr auto least = decltype(random_)::min(), most = decltype(random_)::max();
        limits_.jitter = static_cast<double>(random_() - least) / static_cast<double>(most - least);
        SessionOwner& owner = *this;  // a private base, which make_unique could not turn it into
        made.session = std::make_unique<Session>(loop_, fd, owner, limits_);
        visits_[made.session.get()] = std::move(visit);
        admission_.arrived(made);
      },
      shared);
}

Server::~Server() {
  calls_.clear();  // methods go while what they answer through is still there
  visits_.clear();
}

StreamEvents* Server::opened(Session& session, std::int32_t id, const Headers& headers) {
  const auto method = find(headers, ":method"), type = find(headers, "content-type");
  // The type may be followed by "+proto" or parameters, and by nothing else.
  constexpr std::string_view grpc_type = "application/grpc";
  const bool is_grpc =
      type.starts_with(grpc_type) &&
      (type.size() == grpc_type.size() || type[grpc_type.size()] == '+' || type[grpc_type.size()] == ';');
  if (method != "POST" || !is_grpc) {
    session.finish(id, {{":status", method != "POST" ? "405" : "415"}});
    return nullptr;
  }
  const auto reads = parse_encoding(find(headers, "grpc-encoding"));
  auto call = std::make_unique<ServerCall>(loop_, session, id, reads.value_or(Encoding::identity),
                                           best_of(find(headers, "grpc-accept-encoding")));
  ServerCall& made = *call;
  Visit& visit = *visits_.at(&session);
  if (visit.calls++ == 0)
    admission_.busy(visit);
  made.on_over_ = [this, &made, &session] {
    const auto found = calls_.find(&made);
    if (found == calls_.end())
      return;
    // The connection may be gone already, and its calls be told of that.
    if (const auto of = visits_.find(&session); of != visits_.end() && --of->second->calls == 0)
      admission_.at_rest(*of->second);
    loop_.dispose(std::move(found->second));
    calls_.erase(found);
  };
  for (Service* service : services_)
    if ((made.method_ = service->open(find(headers, ":path"), headers, made)))
      break;
  calls_[&made] = std::move(call);
  if (!reads) {
    made.finish(Status::unimplemented, "the encoding is not spoken here");
    return nullptr;
  }
  if (!made.method_) {
    made.finish(Status::unimplemented, "there is no such method");
    return nullptr;
  }
  made.account_.set_evictable(true);
  made.charge_memory();
  const bool evicted = made.over_;
  return evicted ? nullptr : &made;
}

void Server::closed(Session& session) {
  const auto found = visits_.find(&session);
  if (found == visits_.end())
    return;
  admission_.left(*found->second);
  loop_.dispose(std::move(found->second));
  visits_.erase(found);
}

void Server::overdone(Session&, Abuse abuse, bool connection) {
  ++(connection ? abuses_.connections : abuses_.streams)[static_cast<std::size_t>(abuse)];
}

void Server::stop_accepting() {
  if (listener_)
    listener_->take_waiting();
  listener_.reset();
  for (const auto& [session, visit] : visits_)
    session->go_away();
}

}  // namespace lemonroute::grpc
