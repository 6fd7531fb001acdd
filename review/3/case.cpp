// A planned restart while a client is in the middle of writing its request.
#include <signal.h>
#include <unistd.h>

#include <algorithm>
#include <memory>

#include "stage.h"

namespace {

// DEPLOY and the protocol page: SIGKILL comes no sooner than the longest deadline, counted as 3 s where it is
// longer, and 0.7 s after SIGTERM.
constexpr double killed_after = 3.75;
constexpr double taken_late_after = 0.7;

}  // namespace

int main(int, char** argv) {
  stage::open_record(argv[1]);
  stage::Platform platform;
  platform.folder = argv[2];
  platform.root = argv[3];
  platform.run = argv[4];
  platform.listen = stage::free_port();

  stage::Fleet fleet;
  stage::Discovery discovery;
  platform.discovery = discovery.port();
  stage::NodeSettings settings;  // 60 events, 0.24 s apart: 240 tokens at 60 ms
  std::vector<std::unique_ptr<stage::Node>> nodes;
  for (const char* name : {"r1", "r2", "w1", "w2"}) {
    nodes.push_back(std::make_unique<stage::Node>(fleet, name, name[0] == 'r', settings));
    discovery.list(*nodes.back(), "milano", 1, "active");
  }
  const std::string config = write_config(platform, discovery.known(), "config.json");
  stage::Process program(platform, config, 0, -1, "first");
  if (!stage::wait_ready(platform.listen, "/healthz", 10))
    stage::cannot_run("the program does not become ready");

  // One request by itself shows that the fleet serves.
  const stage::Answer before = stage::ask(platform.listen, {.id = "before"}, 25);
  if (!before.whole || before.status != 200)
    stage::cannot_run("a request without any trouble is not served");

  // Three clients write slowly: each needs 0.9 to 1.3 s for a request, from 0.1 s before the restart on.
  const double term = stage::now() + 0.5;
  std::vector<stage::Answer> answers(3);
  std::vector<std::thread> clients;
  for (int i = 0; i < 3; ++i)
    clients.emplace_back([&, i] {
      stage::Question question;
      question.id = "slow" + std::to_string(i);
      for (double at = -0.1; at < 0.8 + 0.2 * i; at += 0.1)
        question.pieces.push_back(term + at);
      question.pieces.push_back(term + 0.8 + 0.2 * i);
      answers[static_cast<std::size_t>(i)] = stage::ask(platform.listen, question, 25);
    });
  stage::sleep_until(term);
  double killed = 0;
  if (stage::trouble()) {
    program.signal(SIGTERM);
    if (!program.wait(term + killed_after - stage::now())) {
      program.signal(SIGKILL);
      killed = stage::now();
    }
    program.wait(2);
  }
  for (auto& client : clients)
    client.join();

  std::vector<std::string> breaches;
  for (std::size_t i = 0; i < answers.size(); ++i) {
    const stage::Answer& answer = answers[i];
    const std::string id = "slow" + std::to_string(i);
    // Nothing was taken if the request was answered or turned away before it was whole.
    if (answer.whole || answer.asked == 0)
      continue;
    if (stage::trouble() && answer.asked - term <= taken_late_after)
      continue;
    breaches.push_back(
        id + " was whole " + stage::figure(answer.asked - term) + " s after SIGTERM, got " +
        std::to_string(answer.events) + " of 62 events and no end (" + answer.how + ")" +
        (killed > 0 ? "; SIGKILL came " + stage::figure(killed - term) + " s after SIGTERM" : ""));
  }
  return stage::verdict(breaches);
}
