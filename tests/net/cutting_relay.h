// A relay between the router and a node of a scenario. From a chosen byte on it swallows what goes to the
// node, holds it back, or cuts the connection; to the router's kernel all of it has been taken.
#pragma once

#include <list>
#include <memory>
#include <string>

#include "net/connection.h"
#include "net/loop.h"

namespace lemonroute::test {

class CuttingRelay {
 public:
  enum class Then { carry, swallow, hold, cut };

  CuttingRelay(net::Loop& loop, std::string node)
      : loop_(loop), node_(std::move(node)), listener_(loop, "127.0.0.1:0", [this](evutil_socket_t fd) {
          pipes_.push_back(std::make_unique<Pipe>(*this, fd));
        }) {}
  std::uint16_t port() const { return listener_.port(); }

  // On each connection: so many bytes are carried on, and then this is done with what follows.
  void after(std::size_t bytes, Then then) {
    then_ = then;
    for (const auto& pipe : pipes_) {
      pipe->left = bytes;
      pipe->carry();
    }
    left_ = bytes;
  }

 private:
  struct Pipe;
  struct End : net::Connection::Handler {
    template <class To>
    End(Pipe& pipe, net::Loop& loop, const To& to) : pipe(pipe), connection(loop, to, *this) {}
    void on_readable() override { pipe.carry(); }
    void on_closed() override { pipe.ended(); }
    std::string drained() {
      std::string bytes(evbuffer_get_length(connection.input()), '\0');
      evbuffer_remove(connection.input(), bytes.data(), bytes.size());
      return bytes;
    }
    Pipe& pipe;
    net::Connection connection;
  };
  struct Pipe {
    Pipe(CuttingRelay& relay, evutil_socket_t fd)
        : relay(relay),
          left(relay.left_),
          router(*this, relay.loop_, fd),
          node(*this, relay.loop_, net::SocketAddress(relay.node_)) {}
    void carry() {
      if (over)
        return;
      if (const std::string back = node.drained(); !back.empty())
        router.connection.write(back);
      held += router.drained();
      const std::size_t now = relay.then_ == Then::carry ? held.size() : std::min(left, held.size());
      if (now > 0)
        node.connection.write(held.substr(0, now));
      held.erase(0, now);
      left -= std::min(left, now);
      if (held.empty() || relay.then_ == Then::hold)
        return;
      held.clear();
      if (relay.then_ == Then::cut)
        ended();
    }
    void ended() {
      if (!std::exchange(over, true))
        relay.drop(*this);
    }
    CuttingRelay& relay;
    std::size_t left;
    std::string held;
    bool over = false;
    End router, node;
  };
  void drop(Pipe& pipe) {
    for (auto at = pipes_.begin(); at != pipes_.end(); ++at)
      if (at->get() == &pipe) {
        loop_.dispose(std::move(*at));
        pipes_.erase(at);
        return;
      }
  }

  net::Loop& loop_;
  std::string node_;
  Then then_ = Then::carry;
  std::size_t left_ = 0;
  std::list<std::unique_ptr<Pipe>> pipes_;
  net::Listener listener_;
};

}  // namespace lemonroute::test
