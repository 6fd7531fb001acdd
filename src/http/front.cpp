#include "http/front.h"

#include "http/client_connection.h"

namespace lemonroute::http {

Front::Front(net::Loop& loop, Router& router, Options options)
    : loop_(loop),
      router_(router),
      options_(std::move(options)),
      admission_(loop, options_.most_connections, [this](bool on) { pause(on); }) {
  const net::Listener::Accepted accepted = [this](evutil_socket_t fd) { accept(fd); };
  for (const auto& address : options_.listen) {
    const bool given = options_.inherited && listeners_.empty();
    listeners_.push_back(
        given ? std::make_unique<net::Listener>(loop, address, *options_.inherited, accepted)
              : std::make_unique<net::Listener>(loop, address, accepted, options_.inherited.has_value()));
  }
  short_ = loop_.reserve().on_short([this] {
    for (const auto& listener : listeners_)
      listener->rest();
    admission_.let_go();
  });
}
Front::~Front() = default;

void Front::accept(evutil_socket_t fd) {
  auto connection = std::make_unique<ClientConnection>(*this, fd);
  ClientConnection& made = *connection;
  connections_[&made] = std::move(connection);
  admission_.arrived(made);
}

void Front::adopt(const TransferredStream& stream) {
  auto connection = std::make_unique<ClientConnection>(*this, stream.client);
  ClientConnection& made = *connection;
  connections_[&made] = std::move(connection);
  admission_.arrived(made);
  admission_.busy(made);
  if (made.go_on(stream))
    return;
  // Nothing of it was taken, so the node's connection is still only a number.
  evutil_closesocket(stream.call.fd);
  discard(made);
}

void Front::discard(ClientConnection& connection) {
  const auto found = connections_.find(&connection);
  if (found == connections_.end())
    return;
  loop_.dispose(std::move(found->second));
  connections_.erase(found);
  admission_.left(connection);
}

void Front::pause(bool on) {
  for (const auto& listener : listeners_)
    listener->pause(on);
}

void Front::drain() {
  draining_ = true;
}

// The first listener's backlog is the other process's as well. A connection that was taken and has not asked
// yet is about to, and stays; so does one on which something has arrived.
void Front::hand_over() {
  draining_ = true;
  for (std::size_t i = 1; i < listeners_.size(); ++i)
    listeners_[i]->take_waiting();
  listeners_.clear();
  close_if(&ClientConnection::at_rest);
}

// Danger: who waits in a listener's queue has a connection, and may have sent its request; gone with the
// listener it is reset. Those that rest make room first.
void Front::stop_accepting() {
  close_if(&ClientConnection::between_requests);
  for (const auto& listener : listeners_)
    listener->take_waiting(admission_.free());
  listeners_.clear();
}

void Front::close_if(bool (ClientConnection::*holds)()) {
  std::vector<ClientConnection*> chosen;
  for (const auto& [connection, owned] : connections_)
    if ((connection->*holds)())
      chosen.push_back(connection);
  for (auto* connection : chosen)
    connection->half_close();
}

}  // namespace lemonroute::http
