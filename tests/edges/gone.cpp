// A client that closes its connection is seen to go, and the core told, while nothing of what it sent is
// looked at.
#include <iostream>

#include "sockets.h"

using namespace lemonroute;
using namespace lemonroute::test;

namespace {

enum class Goes { ends, resets };
constexpr Goes ways[] = {Goes::ends, Goes::resets};

void go(Plug& client, Goes how) {
  how == Goes::ends ? client.close() : client.reset();
}

void seen(Door& door, Plug& client, Goes how) {
  assert(door.core.open_request_count() == 1 && door.out());
  go(client, how);
  assert(door.until([&] { return door.core.open_request_count() == 0 && !door.out(); }, 100ms));
}

// Its request is out at a reader, behind it wait more bytes than are kept, or fewer.
void behind_its_request() {
  for (const Goes how : ways)
    for (const std::size_t more : {std::size_t(0), std::size_t(1000), std::size_t(300'000)}) {
      Door door;
      Plug client = door.client();
      client.send(Door::request("q1"));
      door.settle();
      const std::string bytes(more, 'x');
      int rounds = 0;
      for (std::size_t sent = 0; sent < more; door.settle()) {
        sent += client.send(std::string_view(bytes).substr(sent));
        assert(++rounds < 100);  // it is read on
      }
      seen(door, client, how);
    }
}

// Between the reader and the writer, and before a repeat.
void between_attempts() {
  for (const Outcome outcome : {Outcome::prefill_done, Outcome::rejected_over_capacity}) {
    Door door;
    Plug client = door.client();
    client.send(Door::request("q1"));
    door.settle();
    const auto before = door.sent();
    client.send(std::string(100'000, 'x'));
    client.close();
    door.settle();
    assert(door.core.open_request_count() == 0 && !door.out() && door.sent() == before);
    if (outcome == Outcome::prefill_done)
      assert(door.nodes.released.size() == 1);  // what the cut read may have left
  }
}

// Its answer is held back, since it takes nothing of it.
void held_back() {
  for (const Goes how : ways) {
    Door door;
    Plug client = door.client(4096);
    client.send(Door::request("q1"));
    door.settle();
    door.done(Outcome::prefill_done);
    const std::string data(16 * 1024, 'y');
    for (int i = 0; i < 400; ++i) {
      door.last().on_data(data);
      door.settle();
    }
    client.send(std::string(100'000, 'x'));
    door.settle();
    seen(door, client, how);
  }
}

// It went before its request was read: while it waited for a place, or while this process stood still.
void before_it_was_read() {
  for (const bool half : {false, true}) {
    Door door;
    Plug client(door.front.port());
    client.send(Door::request("q1"));
    half ? client.end_sending() : client.close();
    door.settle();
    assert(door.sent() == 0 && door.core.open_request_count() == 0 && door.front.idle());
  }
}

}  // namespace

int main() {
  behind_its_request();
  between_attempts();
  held_back();
  before_it_was_read();
}
