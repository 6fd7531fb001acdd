// TCP on bufferevents: a connection with callbacks, and a listener.
#pragma once

#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <event2/listener.h>

#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <string_view>

#include "net/loop.h"

namespace lemonroute::net {

// host:port, with a numeric IPv4 or [IPv6] host. Throws std::invalid_argument.
class SocketAddress {
 public:
  explicit SocketAddress(const std::string& text);
  const sockaddr* address() const { return reinterpret_cast<const sockaddr*>(&storage_); }
  int length() const { return length_; }

 private:
  sockaddr_storage storage_{};
  int length_ = sizeof storage_;
};

class Connection {
 public:
  class Handler {
   public:
    virtual ~Handler() = default;
    virtual void on_connected() {}
    virtual void on_readable() = 0;  // there is more in input()
    virtual void on_drained() {}     // all that was written has gone to the kernel
    virtual void on_closed() = 0;    // by the peer or by an error; the handler drops the connection
  };

  Connection(Loop& loop, evutil_socket_t accepted, Handler& handler);
  // Connects. Out of descriptors it may use one that is kept back for its purpose.
  Connection(Loop& loop, const SocketAddress& to, Handler& handler, Purpose purpose = Purpose::nodes);
  Connection(const Connection&) = delete;
  Connection& operator=(const Connection&) = delete;

  bool started() const { return started_; }  // false: not even a socket could be had
  evbuffer* input() { return bufferevent_get_input(bev_.get()); }
  bool silent() const;  // nothing has come in, not even an end
  bool ended() const;   // the peer's end, or an error, is what would be read next
  evutil_socket_t descriptor() const { return bufferevent_getfd(bev_.get()); }
  // The peer has ended its side or reset the connection, however much of what it sent is still unread.
  bool peer_has_closed() const;
  bool at_rest() const {  // nothing that has come or is to go is held here
    return unsent() == 0 && evbuffer_get_length(bufferevent_get_input(bev_.get())) == 0;
  }
  bool unacknowledged() const;  // the peer's kernel has not had all that was written, and may still have it
  std::size_t unsent() const { return evbuffer_get_length(bufferevent_get_output(bev_.get())); }

  // Written parts are gathered and go out together, without being copied into one block.
  void write(std::string_view bytes);
  void write(std::shared_ptr<const std::string> bytes);
  void read(bool on);               // backpressure: off leaves bytes with the sender
  void limit_input(std::size_t n);  // most bytes buffered here before the sender has to wait
  void end_sending();
  // From now on nothing is read: what comes stays with the kernel, for a peer that may then send it
  // elsewhere. on_closed tells of the peer's end, unless something came before it.
  void leave_unread();
  void push();  // writes what the kernel takes of it at once, before a close that would drop it
  void poke();  // calls on_readable again, from the loop, for bytes that have been left in input()

 private:
  struct Free {
    void operator()(bufferevent* bev) const { bufferevent_free(bev); }
  };
  void set_up(Handler& handler);
  std::unique_ptr<bufferevent, Free> bev_;
  Handler* handler_ = nullptr;
  EventPtr end_;
  bool started_ = true;
};

// Takes connections and hands on their sockets. Out of descriptors it rests for a moment instead of spinning.
class Listener {
 public:
  using Accepted = std::function<void(evutil_socket_t)>;
  // `shared`: another process may listen there as well, and each gets a part of what arrives.
  Listener(Loop& loop, const std::string& address, Accepted accepted, bool shared = false);
  // A socket that somebody else holds too and that listens on `address`; throws if it is anything else.
  Listener(Loop& loop, const std::string& address, evutil_socket_t inherited, Accepted accepted);
  std::uint16_t port() const;
  // Those that have arrived at this socket alone would be lost with it; so many at the most.
  void take_waiting(std::size_t most = SIZE_MAX);
  void pause(bool on);
  void rest();  // for a moment, and until the descriptors that are kept back are whole
  void serve_always() {
    always_ = true;
  }  // its peers may use descriptors that are kept back: few and bounded ones

 private:
  struct Free {
    void operator()(evconnlistener* listener) const { evconnlistener_free(listener); }
  };
  static void taken(evconnlistener*, evutil_socket_t fd, sockaddr*, int, void* self);
  void made();
  void failed();
  void end_rest();
  Loop& loop_;
  Accepted accepted_;
  Timer rest_;
  bool paused_ = false, always_ = false;
  std::unique_ptr<evconnlistener, Free> listener_;
};

}  // namespace lemonroute::net
