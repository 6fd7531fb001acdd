// An upgrade while an instance hangs in the middle of a stream.
#include "../stand-2/stand.h"

namespace {

using namespace stand;

// A client may be left waiting for 5 s after the last event, and each limit is 50 ms longer on sockets.
constexpr double most_waiting = 5.05;
constexpr double hangs_for = 12;       // the pages: 5.2 to 25 s
constexpr double until_upgrade = 3.9;  // from the last event on

bool holds() {
  std::atomic<double> last_event{0};
  std::atomic<bool> over{false};
  Instance reader("s-read", "lettura", [](Link& link, const Message& message) {
    record.line("s-read reads " + message.fields.at("req-id"));
    link.send(answer(202, R"({"cached_tokens":0})"));
  });
  Instance writer("s-write", "scrittura", [&](Link& link, const Message& message) {
    const std::string id = message.fields.at("req-id");
    link.send(stream_head + token("one"));
    sleep_s(0.1);
    link.send(token("two"));
    last_event = now();
    record.line("s-write has sent two events of " + id + " and hangs");
    until(hangs_for, [&] { return over.load(); });
  });
  Agent agent({&reader, &writer});
  Place place(agent);
  auto old_one = place.start("old");
  auto client = Link::to(place.port());
  client->send(request("8000000000000a01"));
  if (!client->until_has("two", 5))
    throw CannotRun("the stream does not begin");
  std::unique_ptr<Process> new_one;
  sleep_s(2);
  if (trouble()) {
    new_one = place.start("new");
    sleep_s(std::max(0.0, last_event + until_upgrade - now()));
    old_one->signal(SIGTERM, "SIGTERM");
  }
  client->ended_within(last_event + 11 - now());
  const double waited = now() - last_event;
  char text[96];
  std::snprintf(text, sizeof text, "the client's connection %s %.2f s after the last event",
                client->ended() ? "ends" : "is still open", waited);
  record.line(text);
  const bool last_chunk = client->text.find("\r\n0\r\n\r\n") != std::string::npos;
  if (last_chunk)
    record.line("the stream, which is not whole, has got its last chunk");
  over = true;
  old_one->ended();
  place.copy_logs();
  return client->ended() && waited <= most_waiting && !last_chunk;
}

}  // namespace

int main() {
  return stand::run(holds);
}
