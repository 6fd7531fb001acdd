// Bytes in the very moment in which the front ends a connection.
#include <iostream>

#include "sockets.h"

using namespace lemonroute;
using namespace lemonroute::test;

namespace {

const std::string hello = "GET /healthz HTTP/1.1\r\n\r\n";

// A request that comes behind the last answer stays unread, goes to no node, and resets nothing: the client
// has the answer whole, then an end, and may send the request again on a new connection.
void behind_the_last_answer() {
  Door door;
  Plug client = door.client();
  client.send(Door::request("q1", "Connection: close\r\n"));
  door.settle();
  door.last().on_done({Outcome::error, 0, {}, {}, true});
  // The answer leaves, and before the front comes to its end the next request is in the kernel.
  client.send(Door::request("q2"));
  door.settle();
  const std::string got = client.read();
  assert(got.find("400 Bad Request") != std::string::npos && client.ended && client.error == 0);
  client.send(Door::request("q3"));
  door.settle();
  client.read();
  assert(client.ended && client.error == 0);  // not reset either
  assert(door.sent() == 1 && door.core.open_request_count() == 0);
  client.close();
  // What came unread hides the client's end; the connection goes all the same, in bounded time.
  assert(door.until([&] { return door.front.idle(); }, 5s));
}

// The client's end is all that is waited for: a connection with nothing unread goes with it at once.
void goes_with_its_client() {
  Door door;
  Plug client = door.client();
  client.send("GET /healthz HTTP/1.1\r\nConnection: close\r\n\r\n");
  door.settle();
  assert(client.read().find("200 OK") != std::string::npos && client.ended);
  assert(!door.front.idle());
  client.close();
  door.settle();
  assert(door.front.idle());
}

// A cut stream, too, keeps the events before it, though its client sends.
void behind_a_cut() {
  Door door;
  Plug client = door.client();
  client.send(Door::request("q1"));
  door.settle();
  door.done(Outcome::prefill_done);
  door.last().on_data("one");
  door.settle();
  door.last().on_data("two");
  client.send(Door::request("q2"));
  door.done(Outcome::reset);
  door.settle();
  client.send(Door::request("q3"));
  door.settle();
  const std::string got = client.read();
  assert(got.find("data: two") != std::string::npos && got.find("\r\n0\r\n") == std::string::npos);
  assert(client.ended && client.error == 0 && door.sent() == 2);
}

// A resting connection that brings a request as it is ended: read before the end it is served, else left
// unread.
void at_rest() {
  for (const bool before : {true, false}) {
    Door door;
    Plug client = door.client();
    client.send(hello);
    door.settle();
    client.read();
    if (before)
      client.send(Door::request("q1"));
    door.front.stop_accepting();
    if (!before)
      client.send(Door::request("q1"));
    door.settle();
    assert(door.sent() == (before ? 1u : 0u));
    client.read();
    assert(client.ended == !before && client.error == 0);
  }
}

// A request that waits in the listener's queue for a place is taken before the listener goes.
void in_the_queue() {
  Door door(2);
  Plug rests = door.client();
  rests.send(hello);
  door.settle();
  Plug silent = door.client(), waits = door.client();
  waits.send(Door::request("q1"));
  door.settle();
  door.front.drain();
  door.front.stop_accepting();
  door.settle();
  assert(door.sent() == 1);
  door.last().on_done({Outcome::error, 0, {}, {}, true});
  door.settle();
  assert(waits.read().find("400 Bad Request") != std::string::npos && waits.ended && waits.error == 0);
}

// An answer to a request that is still coming is not lost with what comes; a sender without end is.
void while_it_sends() {
  Door door;
  Plug client = door.client();
  client.send("POST /v1/chat/completions HTTP/1.1\r\nContent-Length: 999999\r\n\r\n");
  const std::string more(256 * 1024, 'x');
  client.send(more);
  door.settle();
  client.send(more);
  door.settle();
  assert(client.read().find("413 ") != std::string::npos && client.ended && client.error == 0);
  for (int i = 0; i < 64 && !door.front.idle(); ++i) {
    client.send(more);
    door.settle();
  }
  assert(door.front.idle());
}

// Half an answer's line from a node must never wait for Nagle, nor an answer for a client's acknowledgement.
void no_delay() {
  struct Note : net::Connection::Handler {
    void on_readable() override {}
    void on_closed() override {}
  } note;
  const auto is_on = [](const net::Connection& connection) {
    int on = 0;
    socklen_t size = sizeof on;
    return getsockopt(connection.descriptor(), IPPROTO_TCP, TCP_NODELAY, &on, &size) == 0 && on;
  };
  net::Loop loop;
  std::unique_ptr<net::Connection> taken;
  net::Listener listener(loop, "127.0.0.1:0", [&](evutil_socket_t fd) {
    taken = std::make_unique<net::Connection>(loop, fd, note);
  });
  net::Connection to(loop, net::SocketAddress("127.0.0.1:" + std::to_string(listener.port())), note);
  while (!taken)
    loop.run_once();
  assert(is_on(to) && is_on(*taken));
}

}  // namespace

int main() {
  behind_the_last_answer();
  goes_with_its_client();
  behind_a_cut();
  at_rest();
  in_the_queue();
  while_it_sends();
  no_delay();
}
