// Senders without end, log lines and figures about bad peers.
#include <iostream>
#include <sstream>

#include "base/log.h"
#include "sockets.h"

using namespace lemonroute;
using namespace lemonroute::test;
using net::Overdone;

namespace {

// What is sent behind an open request waits its turn up to a bound; beyond it the request is answered all the
// same, and the connection ends with that answer.
void sent_ahead() {
  Door door;
  Plug client = door.client();
  client.send(Door::request("q1"));
  door.settle();
  client.send(std::string(100'000, 'x'));
  door.settle();
  assert(door.loop.tally().counted(Overdone::sent_ahead) == 1);
  door.done(Outcome::prefill_done);
  door.last().on_data("one");
  door.done(Outcome::ok);
  door.settle();
  const std::string got = client.read();
  assert(got.find("Connection: close") != std::string::npos &&
         got.find("\r\n0\r\n\r\n") != std::string::npos);
  assert(client.ended && client.error == 0 && door.sent() == 2);
}

// One that does not stop is answered if its request waits, and cut off if its answer has begun.
void without_end() {
  for (const bool streams : {false, true}) {
    Door door;
    Plug client = door.client();
    client.send(Door::request("q1"));
    door.settle();
    if (streams) {
      door.done(Outcome::prefill_done);
      door.last().on_data("one");
    }
    const std::string more(64 * 1024, 'x');
    std::size_t sent = 0;
    for (int i = 0; i < 400 && door.core.open_request_count() == 1; ++i) {
      sent += client.send(more);
      door.settle();
    }
    assert(door.core.open_request_count() == 0 && !door.out() && sent < 4 * 1024 * 1024);
    assert(door.loop.tally().counted(Overdone::flood) == 1);
    const std::string got = client.read();
    assert(got.find(streams ? "data: one" : "400 Bad Request") != std::string::npos);
    assert(got.find("\r\n0\r\n") == std::string::npos && client.ended);
    assert(door.until([&] { return door.front.idle(); }, 5s));  // though its client stays
  }
}

// Answers that nobody takes do not pile up: a client that sends request behind request is done with at a
// bound.
void answers_untaken() {
  http::Front::Options options;
  options.sending = 100ms;
  Door door(16, options);
  Plug client = door.client(4096);  // it never reads
  std::string many;
  for (int i = 0; i < 1000; ++i)
    many += "GET /healthz HTTP/1.1\r\n\r\n";
  for (int i = 0; i < 200 && !door.front.idle(); ++i) {
    client.send(many);
    door.settle();
  }
  assert(door.until([&] { return door.front.idle(); }, 5s));
}

// Bodies of all clients together are bounded: those whose incomplete bodies hold the most are refused and may
// come again, and one that holds little is served meanwhile.
void bodies_of_all() {
  constexpr std::size_t places = 300, size = 250'000;
  http::Front::Options options;
  options.asking = 60s;
  Door door(places + 1, options);
  std::vector<Plug> clients;
  std::size_t refused = 0;
  const auto count_refused = [&] {
    for (Plug& client : clients)
      if (const std::string got = client.read(); got.find("503 ") != std::string::npos) {
        assert(got.find("Retry-After: ") != std::string::npos && client.error == 0);
        ++refused;
      }
  };
  for (std::size_t i = 0; i < places; ++i) {
    Plug client(door.front.port());
    client.send("POST /v1/chat/completions HTTP/1.1\r\nReq-Id: q" + std::to_string(i) +
                "\r\nReq-Kind: k\r\nContent-Length: 262144\r\n\r\n");
    const std::string body(size, 'x');
    for (std::size_t sent = 0; sent < size; door.settle())
      sent += client.send(std::string_view(body).substr(sent));
    clients.push_back(std::move(client));
    assert(door.loop.memory().held() <= door.loop.memory().limit());
    count_refused();
    if (refused > 2)
      break;
  }
  assert(refused > 2 && door.loop.tally().counted(Overdone::no_memory) == refused);
  Plug small = door.client();
  small.send(Door::request("small"));
  door.settle();
  assert(door.sent() == 1);
  clients.clear();
  door.settle();
  Plug client = door.client();
  client.send(Door::request("q"));
  door.settle();
  assert(door.sent() == 2);
}

// While memory is short and nothing incomplete can be refused, a node waits after each event until its client
// has taken it, and no event is lost.
void memory_short() {
  Door door;
  Plug client = door.client();
  client.send(Door::request("q1"));
  door.settle();
  door.done(Outcome::prefill_done);
  door.loop.memory().set_limit(1);
  for (const char* event : {"one", "two", "three"}) {
    door.last().on_data(event);
    assert(door.nodes.begun.back().paused);
    door.settle();
    assert(!door.nodes.begun.back().paused);
  }
  Plug refused = door.client();
  refused.send(Door::request("q2"));
  door.settle();
  assert(refused.read().find("503 ") != std::string::npos && door.sent() == 2);
  door.done(Outcome::ok);
  door.settle();
  const std::string got = client.read();
  assert(got.find("data: one") < got.find("data: two") && got.find("data: two") < got.find("data: three"));
  assert(got.find("data: three") != std::string::npos && got.find("\r\n0\r\n\r\n") != std::string::npos);
}

// One line a second and kind, which says how many it leaves out; the figures leave out none.
void lines() {
  std::ostringstream log;
  auto* const before = std::clog.rdbuf(log.rdbuf());
  std::chrono::steady_clock::time_point at{};
  net::Tally tally([&] { return at; });
  for (int i = 0; i < 100; ++i)
    tally.note(Overdone::not_understood, "400");
  tally.note(Overdone::too_slow);
  at += 999ms;
  tally.note(Overdone::not_understood, "413");
  at += 1ms;
  tally.note(Overdone::not_understood, "431");
  std::clog.rdbuf(before);
  const std::string text = log.str();
  assert(std::count(text.begin(), text.end(), '\n') == 3);
  assert(text.find("not understood: 400\n") != std::string::npos &&
         text.find("whole in time\n") != std::string::npos);
  assert(text.find("not understood: 431 (100 more since the last such line)") != std::string::npos);
  assert(tally.counted(Overdone::not_understood) == 102 && tally.counted(Overdone::too_slow) == 1);
}

}  // namespace

int main() {
  lines();
  sent_ahead();
  without_end();
  answers_untaken();
  bodies_of_all();
  memory_short();
}
