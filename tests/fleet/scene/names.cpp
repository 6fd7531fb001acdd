#include <algorithm>
#include <set>

#include "scene/steps.h"

namespace lemonroute::rig {
namespace {

Names of_sites(const Scene& scene, const Names& sites) {
  Names names;
  for (const auto& one : scene.routers)
    if (std::find(sites.begin(), sites.end(), one.site) != sites.end())
      names.push_back(one.name);
  return names;
}

// The names that a word stands for; nothing if it stands for none.
std::optional<Names> meaning(const Scene& scene, Line& line, bool devices) {
  if (const auto site = line.option("site")) {
    const Names names = of_sites(scene, {*site});
    if (names.empty())
      line.fault("no router is at site " + *site);
    return names;
  }
  if (const auto region = line.option("region")) {
    for (const auto& one : scene.regions)
      if (one.name == *region)
        return of_sites(scene, one.sites);
    line.fault("'" + *region + "' is no region");
  }
  const std::string word = line.peek();
  Names names;
  if (word == "all") {
    for (const auto& one : scene.routers)
      names.push_back(one.name);
  } else {
    names = Line::range(word).value_or(Names{word});
    for (const auto& name : names)
      if (!scene.router(name) && !(devices && scene.device(name)))
        return std::nullopt;
  }
  line.take("a name");
  return names;
}

}  // namespace

Names read_names(const Scene& scene, Line& line, bool devices) {
  std::set<std::string> names;
  while (!line.empty()) {
    const auto some = meaning(scene, line, devices);
    if (!some)
      break;
    names.insert(some->begin(), some->end());
  }
  if (names.empty())
    line.fault(line.empty() ? "a name is missing"
                            : "'" + line.peek() + "' is no router" + (devices ? " and no device" : ""));
  return {names.begin(), names.end()};
}

}  // namespace lemonroute::rig
