// A keyed class whose repeats may only go to the same zone; the connection to the writer is reset under a
// request that has begun. The program runs from an operator's file, with the list of nodes from discovery.
#include <unistd.h>

#include <fstream>
#include <memory>

#include "stage.h"

namespace {

// As deploy/standalone.toml, with `discovery` instead of [[fleet]] as the template of "config init" offers
// it.
std::string operator_file(const stage::Platform& platform) {
  const std::string path = platform.folder + "/operator.toml";
  std::ofstream(path) << "application = \"estratti\"\n"
                         "[serve]\n"
                         "name = \"n1\"\n"
                         "listen = \"127.0.0.1:"
                      << platform.listen << "\"\ndiscovery = \"127.0.0.1:" << platform.discovery << R"("
[settings]
max_attempts = 6
siblings = 1
release_within = "1s"
drain_grace = "500ms"
[kinds.lettura]
role = "read"
tokens = 200000
[kinds.scrittura]
role = "write"
tokens = 150000
[classes.certificato]
effect = "keyed"
group = "zone"
window = "5s"
aim = "1500ms"
deadline = "7500ms"
)";
  return path;
}

}  // namespace

int main(int, char** argv) {
  stage::open_record(argv[1]);
  stage::Platform platform;
  platform.folder = argv[2];
  platform.root = argv[3];
  platform.run = argv[4];
  platform.alone = true;
  platform.listen = stage::free_port();

  stage::Fleet fleet;
  stage::Discovery discovery;
  platform.discovery = discovery.port();
  const std::map<std::string, std::string> zone_of{
      {"r1", "brescia"}, {"r2", "verona"}, {"w1", "brescia"}, {"w2", "verona"}};
  stage::NodeSettings settings;
  settings.events = 10;
  settings.event_gap = 0.1;
  std::atomic<bool> resets{false};
  std::vector<std::unique_ptr<stage::Node>> nodes;
  for (const auto& [name, zone] : zone_of) {
    nodes.push_back(std::make_unique<stage::Node>(fleet, name, name[0] == 'r', settings));
    nodes.back()->breaks = [&resets](const std::string&) { return resets.exchange(false); };
    discovery.list(*nodes.back(), zone, zone == "brescia" ? 1 : 2, "active");
  }
  stage::Process program(platform, operator_file(platform), 0, -1, "first");
  if (!stage::wait_ready(platform.listen, "/healthz", 10))
    stage::cannot_run("the program does not become ready");

  std::vector<std::string> breaches;
  for (int i = 0; i < 5; ++i) {
    const std::string id = "cert" + std::to_string(i);
    resets = stage::trouble();
    const stage::Answer answer = stage::ask(platform.listen, {.id = id, .kind = "certificato"}, 12);
    if (answer.status == 0)
      stage::cannot_run(id + " has no answer");
    if (!stage::trouble() && (answer.status != 200 || !answer.whole))
      stage::cannot_run(id + " is not served, though nothing is in its way");
    const std::lock_guard lock(fleet.mutex);
    const stage::Attempt* first = nullptr;
    for (const auto& attempt : fleet.attempts) {
      if (attempt.id != id || attempt.reads)
        continue;
      if (first && zone_of.at(attempt.node) != zone_of.at(first->node))
        breaches.push_back(id + " was begun by " + first->node + " in " + zone_of.at(first->node) + " at " +
                           stage::figure(first->arrived) + " and sent to " + attempt.node + " in " +
                           zone_of.at(attempt.node) + " at " + stage::figure(attempt.arrived) +
                           "; the client got status " + std::to_string(answer.status));
      else if (!first)
        first = &attempt;
    }
  }
  return stage::verdict(breaches);
}
