#include "process/operator_file.h"

#include <sstream>

namespace lemonroute::rig {
namespace {

std::string quoted(const std::string& text) {
  return '"' + text + '"';
}
std::string listed(const Names& names) {
  std::string text;
  for (const auto& name : names)
    text += (text.empty() ? "" : ", ") + quoted(name);
  return '[' + text + ']';
}

constexpr const char* kinds = R"(
[kinds.reader]
role = "read"
tokens = 200000
[kinds.writer]
role = "write"
tokens = 150000

[classes.estratto]
effect = "safe"
aim = "4s"
deadline = "12s"
aim_per_1000_tokens = "40ms"
[classes.registrazione]
effect = "unsafe"
aim = "4s"
deadline = "12s"
aim_per_1000_tokens = "40ms"
)";

}  // namespace

std::string operator_file(const Scene& scene, const RouterLine& router, const Places& places,
                          const Names& seeds, const Names& key_files, bool peers) {
  std::size_t me = 0;
  while (scene.routers[me].name != router.name)
    ++me;
  std::ostringstream out;
  out << "application = \"rig\"\n[log]\nlevel = \"info\"\n[management]\nlisten = "
      << quoted(places.management) << "\n[serve]\nname = " << quoted(router.name)
      << "\nlisten = " << quoted(places.serve) << "\ndiscovery = " << quoted(places.discovery)
      << "\n\n[settings]\n";
  std::map<std::string, std::string> settings{{"max_attempts", "4"},
                                              {"cold_for", "\"1s\""},
                                              {"release_within", "\"400ms\""},
                                              {"siblings", std::to_string(scene.routers.size())},
                                              {"me", std::to_string(me)}};
  for (const auto& [key, value] : scene.settings)
    settings[key] = value;
  for (const auto& [key, value] : settings)
    out << key << " = " << value << '\n';
  out << kinds;
  if (peers) {
    out << "\n[peers]\nlisten = " << quoted(places.peers) << "\nsite = " << quoted(router.site)
        << "\nseeds = " << listed(seeds) << "\nkey_files = " << listed(key_files) << "\nperiod = \""
        << scene.period.count() / 1000 << "ms\"\n";
    if (router.clock != Micros(0))
      out << "clock_offset = \"" << router.clock.count() / 1000 << "ms\"\n";
    out << "[peers.via]\n";
    for (const auto& [name, address] : places.via)
      out << name << " = " << quoted(address) << '\n';
    for (const auto& one : scene.regions)
      out << "[regions." << one.name << "]\nsites = " << listed(one.sites)
          << "\nkeepers = " << listed(one.keepers) << '\n';
  }
  for (const auto& line : scene.file)
    out << line << '\n';
  return out.str();
}

}  // namespace lemonroute::rig
