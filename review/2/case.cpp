// Hundreds of bad clients send a part of a request at once and stop, and the same again once they are turned
// away. The over the memory that its configuration gives.
#include <signal.h>
#include <unistd.h>

#include <memory>

#include "stage.h"

namespace {

constexpr int memory_mb = 80;
constexpr int bad_clients = 380, usual_clients = 5, waves = 4;
constexpr std::size_t body_size = 256 * 1024, sent_of_it = 168 * 1024;

// Writes `sent_of_it` bytes of the body, a part to each in turn, and waits for what is owed: an error or a
// close.
void misbehave(int port, std::atomic<int>& answered) {
  const std::string head =
      "POST /v1/chat/completions HTTP/1.1\r\nHost: origin.svc\r\nReq-Kind: estratto\r\nReq-Deadline: "
      "7.500\r\n"
      "Content-Type: application/json\r\nContent-Length: " +
      std::to_string(body_size) + "\r\nReq-Id: bad";
  std::vector<std::unique_ptr<stage::Socket>> sockets;
  for (int i = 0; i < bad_clients; ++i) {
    sockets.push_back(std::make_unique<stage::Socket>(stage::Socket::connect_to(port)));
    if (sockets.back()->fd() >= 0)
      sockets.back()->send(head + std::to_string(i) + "\r\n\r\n");
  }
  const std::string part(8192, 'x');
  for (std::size_t sent = 0; sent < sent_of_it; sent += part.size())
    for (const auto& socket : sockets)
      if (socket->fd() >= 0)
        socket->send(part);
  stage::say("bad clients: " + std::to_string(bad_clients) + " have written " + std::to_string(sent_of_it) +
             " of " + std::to_string(body_size) + " bytes each");
  const double until = stage::now() + 3;
  for (const auto& socket : sockets)
    while (socket->fd() >= 0 && stage::now() < until)
      if (const int got = socket->receive(0.1); got != 0) {
        ++answered;
        break;
      }
}

}  // namespace

int main(int, char** argv) {
  stage::open_record(argv[1]);
  stage::Platform platform;
  platform.folder = argv[2];
  platform.root = argv[3];
  platform.run = argv[4];
  platform.listen = stage::free_port();
  platform.memory_mb = memory_mb;

  stage::Fleet fleet;
  stage::Discovery discovery;
  platform.discovery = discovery.port();
  std::vector<std::unique_ptr<stage::Node>> nodes;
  for (const char* name : {"r1", "r2", "w1", "w2"}) {
    nodes.push_back(std::make_unique<stage::Node>(fleet, name, name[0] == 'r', stage::NodeSettings{}));
    discovery.list(*nodes.back(), "milano", 1, "active");
  }
  const std::string config = write_config(platform, discovery.known(), "config.json");
  stage::Process program(platform, config, 0, -1, "first");
  if (!stage::wait_ready(platform.listen, "/healthz", 10))
    stage::cannot_run("the program does not become ready");

  std::vector<stage::Answer> answers(usual_clients);
  std::atomic<int> events{0}, bad_answered{0};
  std::vector<std::thread> clients;
  for (int i = 0; i < usual_clients; ++i)
    clients.emplace_back([&, i] {
      answers[static_cast<std::size_t>(i)] =
          stage::ask(platform.listen, {.id = "usual" + std::to_string(i)}, 25, &events);
    });
  while (events < 2 * usual_clients)
    if (stage::sleep_for(0.02); stage::now() > 10)
      stage::cannot_run("the usual requests are not served");
  const long before = program.memory();
  if (before == 0 || before > memory_mb * 1024L / 2)
    stage::cannot_run("the program's memory can't be told, or is large before the bad clients come");

  // The platform: over memory_mb the conductor is killed.
  std::atomic<long> peak{before};
  std::atomic<bool> killed{false}, over{false};
  std::thread watcher([&] {
    while (!over && !killed) {
      peak = std::max(peak.load(), program.memory());
      if (peak > memory_mb * 1024L) {
        stage::say("platform: the conductor has used " + std::to_string(peak) + " kB of " +
                   std::to_string(memory_mb * 1024L) + " kB and is killed");
        program.signal(SIGKILL);
        killed = true;
      }
      stage::sleep_for(0.0005);
    }
  });
  for (int wave = 0; stage::trouble() && wave < waves && !killed; ++wave)
    misbehave(platform.listen, bad_answered);
  for (auto& client : clients)
    client.join();
  over = true;
  watcher.join();
  stage::say("memory: " + std::to_string(before) + " kB before the bad clients, " + std::to_string(peak) +
             " kB at the most; " + std::to_string(bad_answered) + " bad clients got an error or a close");

  std::vector<std::string> breaches;
  if (killed)
    breaches.push_back("the conductor used " + std::to_string(peak) + " kB of memory, more than the " +
                       std::to_string(memory_mb) +
                       " MB of its configuration, and was killed: it has crashed");
  for (std::size_t i = 0; i < answers.size(); ++i)
    if (!answers[i].whole || answers[i].status != 200)
      breaches.push_back("the stream of usual" + std::to_string(i) + " ended after " +
                         std::to_string(answers[i].events) + " of 62 events: " + answers[i].how);
  return stage::verdict(breaches);
}
