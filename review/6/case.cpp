// An upgrade while the conductor is held up for a moment: streams that end in that moment.
#include "../stand-2/stand.h"

namespace {

using namespace stand;

constexpr int streams = 12;
constexpr double apart = 0.02;    // the streams end one after another
constexpr double held_up = 0.12;  // the pages: up to 0.15 s
constexpr double most_held_up = 0.15;

bool holds() {
  std::mutex mutex;
  std::condition_variable changed;
  double end_from = 0;  // once it is known
  Instance reader("s-read", "lettura",
                  [](Link& link, const Message&) { link.send(answer(202, R"({"cached_tokens":0})")); });
  Instance writer("s-write", "scrittura", [&](Link& link, const Message& message) {
    const std::string id = message.fields.at("req-id");
    link.send(stream_head + token("one"));
    double end_at = 0;
    {
      std::unique_lock<std::mutex> lock(mutex);
      changed.wait(lock, [&] { return end_from > 0; });
      end_at = end_from + apart * std::atoi(id.substr(14).c_str());
    }
    sleep_s(std::max(0.0, end_at - now()));
    const bool sent = link.send(stream_end());
    record.line("s-write has sent the end of " + id + (sent ? "" : ": the connection is broken"));
  });
  Agent agent({&reader, &writer});
  Place place(agent);
  auto old_one = place.start("old");
  std::vector<std::unique_ptr<Link>> clients;
  for (int i = 0; i < streams; ++i) {
    clients.push_back(Link::to(place.port()));
    clients.back()->send(request("6000000000000a" + std::string(i < 10 ? "0" : "") + std::to_string(i)));
    if (!clients.back()->until_has("one", 5))
      throw CannotRun("a stream does not begin");
  }
  record.line(std::to_string(streams) + " streams run");
  std::unique_ptr<Process> new_one;
  if (trouble())
    new_one = place.start("new");
  sleep_s(0.3);
  {
    const std::lock_guard<std::mutex> lock(mutex);
    end_from = now() + 0.01;
  }
  changed.notify_all();
  if (trouble()) {
    const double since = now();
    old_one->signal(SIGSTOP, "SIGSTOP, it is held up");
    sleep_s(held_up);
    old_one->signal(SIGTERM, "SIGTERM");
    old_one->signal(SIGCONT, "SIGCONT, it goes on");
    if (now() - since > most_held_up)
      throw CannotRun("the machine is too slow, the conductor was held up for too long");
  }
  int cut = 0;
  for (int i = 0; i < streams; ++i) {
    Link& client = *clients[static_cast<std::size_t>(i)];
    const bool whole = client.until_has("[DONE]\n\n\r\n0\r\n\r\n", 3);
    cut += !whole;
    record.line("client " + std::to_string(i) +
                (whole ? " has its whole answer" : " has no end of its answer") +
                (client.ended() ? ", the conductor has ended the connection" : "") + ", " +
                std::to_string(client.text.size()) + " bytes");
  }
  record.line(std::to_string(cut) + " of " + std::to_string(streams) + " streams were cut");
  sleep_s(0.2);
  old_one->ended();
  place.copy_logs();
  return cut == 0;
}

}  // namespace

int main() {
  return stand::run(holds);
}
