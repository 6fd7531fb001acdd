#include "grpc/server.h"

namespace lemonroute::grpc {

constexpr std::size_t most_waiting = 64 * 1024;  // of an answer, before the node has to wait

bool ServerCall::send(const std::string& framed) {
  if (over_) return true;
  if (!std::exchange(responded_, true))
    session_.respond(id_, {{":status", "200"}, {"content-type", "application/grpc"}});
  session_.write(id_, framed);
  return session_.waiting(id_) < most_waiting;
}

void ServerCall::finish(Status status, std::string_view text, const Headers& more) {
  if (std::exchange(over_, true)) return;
  Headers trailers;
  if (!responded_) trailers = {{":status", "200"}, {"content-type", "application/grpc"}};
  trailers.emplace_back("grpc-status", std::to_string(static_cast<int>(status)));
  if (!text.empty()) trailers.emplace_back("grpc-message", text);
  trailers.insert(trailers.end(), more.begin(), more.end());
  session_.finish(id_, std::move(trailers));
  on_over_();
}

void ServerCall::data(std::string_view piece) {
  if (over_) return;
  const auto fault = reader_.feed(piece, [this](std::string_view message) {
    if (!std::exchange(has_message_, true)) message_ = message;
  });
  if (fault) finish(*fault, "the request can't be taken");
}

// Only then is the request whole, and nothing of one that is cut short reaches the method.
void ServerCall::half_closed() {
  if (over_) return;
  if (!has_message_ || !reader_.between())
    return finish(Status::invalid_argument, "the request is not one whole message");
  method_->message(std::exchange(message_, {}));
}

void ServerCall::closed(std::uint32_t, bool) {
  if (std::exchange(over_, true)) return;
  method_.reset();  // the client has gone, and what is done for it ends now
  on_over_();
}

Server::Server(net::Loop& loop, const std::string& listen, std::size_t most_connections, bool shared)
    : loop_(loop), admission_(loop, most_connections, [this](bool on) {
        if (listener_) listener_->pause(on);
      }) {
  listener_ = std::make_unique<net::Listener>(loop, listen, [this](evutil_socket_t fd) {
    auto visit = std::make_unique<Visit>();
    Visit& made = *visit;
    made.session.reset(new Session(loop_, fd, *this, Session::Limits{}));
    visits_[made.session.get()] = std::move(visit);
    admission_.arrived(made);
  }, shared);
}

Server::~Server() {
  calls_.clear();  // methods go while what they answer through is still there
  visits_.clear();
}

StreamEvents* Server::opened(Session& session, std::int32_t id, const Headers& headers) {
  const auto method = find(headers, ":method"), type = find(headers, "content-type");
  if (method != "POST" || !type.starts_with("application/grpc")) {
    session.finish(id, {{":status", method != "POST" ? "405" : "415"}});
    return nullptr;
  }
  auto call = std::make_unique<ServerCall>(session, id);
  ServerCall& made = *call;
  Visit& visit = *visits_.at(&session);
  if (visit.calls++ == 0) admission_.busy(visit);
  made.on_over_ = [this, &made, &session] {
    const auto found = calls_.find(&made);
    if (found == calls_.end()) return;
    // The connection may be gone already, and its calls be told of that.
    if (const auto of = visits_.find(&session); of != visits_.end() && --of->second->calls == 0)
      admission_.at_rest(*of->second);
    loop_.dispose(std::move(found->second));
    calls_.erase(found);
  };
  for (Service* service : services_)
    if ((made.method_ = service->open(find(headers, ":path"), headers, made))) break;
  calls_[&made] = std::move(call);
  if (!made.method_) {
    made.finish(Status::unimplemented, "there is no such method");
    return nullptr;
  }
  return &made;
}

void Server::closed(Session& session) {
  const auto found = visits_.find(&session);
  if (found == visits_.end()) return;
  admission_.left(*found->second);
  loop_.dispose(std::move(found->second));
  visits_.erase(found);
}

void Server::stop_accepting() {
  if (listener_) listener_->take_waiting();
  listener_.reset();
  for (const auto& [session, visit] : visits_) session->go_away();
}

}  // namespace lemonroute::grpc
