// A new version takes over under load, while a bad client sends the id of another client's open request.
#include <signal.h>
#include <unistd.h>

#include <algorithm>
#include <memory>

#include "stage.h"

namespace {

constexpr double killed_after =
    3.75;  // SIGKILL after SIGTERM: the longest deadline, 3 s at the most, and 0.7 s
constexpr int bad_requests = 12;

}  // namespace

int main(int, char** argv) {
  stage::open_record(argv[1]);
  stage::Platform platform;
  platform.folder = argv[2];
  platform.root = argv[3];
  platform.run = argv[4];
  const int listener =
      stage::listen_any(platform.listen);  // the platform's socket, descriptor 5 of each process

  stage::Fleet fleet;
  stage::Discovery discovery;
  platform.discovery = discovery.port();
  std::vector<std::unique_ptr<stage::Node>> nodes;
  for (const char* name : {"r1", "r2", "w1", "w2"}) {
    nodes.push_back(std::make_unique<stage::Node>(fleet, name, name[0] == 'r', stage::NodeSettings{}));
    discovery.list(*nodes.back(), "milano", 1, "active");
  }
  const std::string config = write_config(platform, discovery.known(), "config.json");
  const int first_door = stage::free_port(), second_door = stage::free_port();
  stage::Process first(platform, config, first_door, listener, "first");
  if (!stage::wait_ready(first_door, "/ready", 10))
    stage::cannot_run("the program does not become ready");

  // The usual client's request. Its stream takes 14 s.
  std::atomic<int> events{0};
  stage::Answer answer;
  std::thread client([&] { answer = stage::ask(platform.listen, {.id = "usual1"}, 25, &events); });
  while (events < 3)
    if (stage::sleep_for(0.02); stage::now() > 10)
      stage::cannot_run("the first request is not served");

  std::unique_ptr<stage::Process> second;
  if (stage::trouble()) {
    second = std::make_unique<stage::Process>(platform, config, second_door, listener, "second");
    if (!stage::wait_ready(second_door, "/ready", 6))
      stage::cannot_run("the new version does not become ready");
  }
  // Between the yes and SIGTERM both processes take clients.
  std::vector<std::thread> bad;
  std::vector<stage::Answer> bad_answers(bad_requests);
  for (int i = 0; i < bad_requests; ++i) {
    bad.emplace_back([&, i] {
      bad_answers[static_cast<std::size_t>(i)] = stage::ask(platform.listen, {.id = "usual1"}, 20);
    });
    stage::sleep_for(0.1);
  }
  stage::sleep_for(0.3);
  if (stage::trouble()) {
    first.signal(SIGTERM);
    if (!first.wait(killed_after)) {
      first.signal(SIGKILL);
      first.wait(2);
    }
  }
  client.join();
  for (auto& one : bad)
    one.join();

  std::vector<std::string> breaches = fleet.doubles;
  if (!answer.whole || answer.status != 200 || !answer.done)
    breaches.push_back("the usual client's stream ended after " + std::to_string(answer.events) +
                       " of 62 events: " + answer.how);
  for (int i = 0; i < bad_requests; ++i)
    if (bad_answers[static_cast<std::size_t>(i)].status == 200)
      breaches.push_back("bad request " + std::to_string(i) +
                         " with the id of the usual client's open request is served");
  return stage::verdict(breaches);
}
