// Plays scenes with real processes of the program: fleet_rig --program build/lemonroute SCENE...
#include <sys/resource.h>

#include <algorithm>
#include <csignal>
#include <cstdlib>
#include <cstring>
#include <iostream>

#include "base/log.h"
#include "cli/arguments.h"
#include "play/player.h"

namespace {

using namespace lemonroute;

// Each pair of routers has sockets of its own.
void raise_limit() {
  rlimit limit{};
  if (getrlimit(RLIMIT_NOFILE, &limit) != 0)
    return;
  limit.rlim_cur = std::min<rlim_t>(limit.rlim_max, 16384);
  setrlimit(RLIMIT_NOFILE, &limit);
}

void tell_waits(std::vector<Micros> waits, std::ostream& out) {
  if (waits.empty())
    return;
  std::sort(waits.begin(), waits.end());
  const auto at = [&](double part) {
    return waits[static_cast<std::size_t>(part * static_cast<double>(waits.size() - 1))].count();
  };
  out << "first tokens: " << waits.size() << ", us at p50 " << at(0.5) << ", p90 " << at(0.9) << ", p99 "
      << at(0.99) << "\n";
}

int run(const cli::Arguments& arguments) {
  cli::Usage usage{
      "fleet_rig --program PATH [--seed N] [--times N] [--no-peers] [--keep] [--verbose] [--waits] SCENE...",
      "Plays scenes with real processes of the program, faults between them and stand-ins around them.\n"
      "Ends with 0 if all went as the scenes have it, with 1 if not, with 2 if a scene can't be read."};
  usage.options.add_options()("program,p", cli::po::value<std::string>(), "the lemonroute to be played with")(
      "seed,s", cli::po::value<std::uint64_t>(), "in place of the scene's")(
      "times,n", cli::po::value<int>()->default_value(1), "plays each scene so often")(
      "no-peers", "routers do not know each other")("keep,k", "the folder with files and logs stays")(
      "verbose,v", "says each step")("waits", "tells how long first tokens took")(
      "scene", cli::po::value<std::vector<std::string>>(), "");
  usage.places = {"scene"};
  usage.many = true;
  const auto values = cli::parse(arguments, usage);
  if (!values.count("program") || !values.count("scene"))
    throw cli::Misuse("--program and a scene are needed");
  rig::Options options;
  options.program = values["program"].as<std::string>();
  options.peers = values.count("no-peers") == 0;
  options.keep = values.count("keep") > 0;
  options.talks = values.count("verbose") > 0;
  if (values.count("seed"))
    options.seed = values["seed"].as<std::uint64_t>();
  std::vector<rig::Scene> scenes;
  for (const auto& path : values["scene"].as<std::vector<std::string>>())
    scenes.push_back(rig::read_scene(path));
  int failed = 0;
  for (const auto& scene : scenes)
    for (int i = 0; i < values["times"].as<int>(); ++i) {
      rig::Player player(scene, options, std::cout);
      const bool well = player.play();
      failed += well ? 0 : 1;
      std::cout << (well ? "well  " : "FAIL  ") << scene.path << std::endl;
      if (values.count("waits"))
        tell_waits(player.waits(), std::cout);
    }
  return failed ? 1 : 0;
}

}  // namespace

int main(int count, char** words) {
  if (count > 3 && std::strcmp(words[1], "--become") == 0)
    return rig::become(std::atoi(words[2]), words + 3);
  std::signal(SIGPIPE, SIG_IGN);
  logging::set_level(logging::Level::error);
  raise_limit();
  try {
    return run({words + 1, words + count});
  } catch (const cli::HelpAsked& page) {
    std::cout << page.what();
    return 0;
  } catch (const std::exception& error) {
    std::cerr << "fleet_rig: " << error.what() << "\n";
    return 2;
  }
}
