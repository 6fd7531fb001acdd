// The fleet's lines first, then steps. Every name is checked before anything is started.
#include <algorithm>
#include <fstream>
#include <set>
#include <sstream>

#include "scene/line.h"
#include "scene/steps.h"

namespace lemonroute::rig {
namespace {

constexpr std::size_t most_routers = 24;

void check_new(const Scene& scene, const Line& line, const std::string& name) {
  static const std::set<std::string> taken{"all", "rest", "on", "at", "within"};
  const bool plain = !name.empty() && std::all_of(name.begin(), name.end(), [](unsigned char c) {
    return std::isalnum(c) || c == '-' || c == '_';
  });
  if (!plain || taken.count(name))
    line.fault("'" + name + "' can't be a name");
  if (scene.router(name) || scene.device(name))
    line.fault("'" + name + "' is there twice");
}

Names plain_names(Line& line) {
  Names names;
  while (!line.empty() && line.peek().find('=') == std::string::npos) {
    const std::string word = line.take("a name");
    if (const auto many = Line::range(word))
      names.insert(names.end(), many->begin(), many->end());
    else
      names.push_back(word);
  }
  if (names.empty())
    line.fault("a name is missing");
  return names;
}

void routers(Scene& scene, Line& line) {
  const Names names = plain_names(line);
  const auto site = line.option("site");
  if (!site)
    line.fault("site= is missing");
  line.end();
  for (const auto& name : names) {
    check_new(scene, line, name);
    scene.routers.push_back({name, *site});
  }
  if (scene.routers.size() > most_routers)
    line.fault("more than " + std::to_string(most_routers) + " routers");
}

void devices(Scene& scene, Line& line, bool reader) {
  const Names names = plain_names(line);
  DeviceLine one;
  one.reader = reader;
  while (!line.empty()) {
    if (const auto site = line.option("site"))
      one.site = *site;
    else if (const auto cell = line.option("cell"))
      one.cell = static_cast<std::uint16_t>(line.whole(*cell, 0, 65535));
    else
      line.end();
  }
  if (one.site.empty())
    line.fault("site= is missing");
  for (const auto& name : names) {
    check_new(scene, line, name);
    one.name = name;
    scene.devices.push_back(one);
  }
}

void region(Scene& scene, Line& line) {
  RegionLine one;
  one.name = line.take("a region's name");
  while (!line.empty()) {
    if (const auto sites = line.option("sites"))
      one.sites = line.list(*sites);
    else if (const auto keepers = line.option("keepers"))
      one.keepers = line.list(*keepers);
    else
      line.end();
  }
  if (one.sites.empty())
    line.fault("sites= is missing");
  for (const auto& keeper : one.keepers)
    if (!scene.router(keeper))
      line.fault("'" + keeper + "' is no router");
  scene.regions.push_back(one);
}

RouterLine& known_router(Scene& scene, Line& line) {
  const std::string name = line.take("a router");
  for (auto& one : scene.routers)
    if (one.name == name)
      return one;
  line.fault("'" + name + "' is no router");
}

// Whether the line is one of the fleet's.
bool fleet_line(Scene& scene, Line& line, const std::string& verb) {
  if (verb == "period") {
    scene.period = line.span(line.take("a span"));
    if (scene.period < std::chrono::milliseconds(20))
      line.fault("the period must be 20ms or more");
  } else if (verb == "seed") {
    scene.seed = line.whole(line.take("a number"), 0, 4000000000u);
  } else if (verb == "relay") {
    if (!line.skip("devices"))
      line.fault("only 'relay devices' is known");
    scene.relay_devices = true;
  } else if (verb == "routers") {
    routers(scene, line);
  } else if (verb == "readers" || verb == "writers") {
    devices(scene, line, verb == "readers");
  } else if (verb == "region") {
    region(scene, line);
  } else if (verb == "key") {
    auto& one = known_router(scene, line);
    one.keys = plain_names(line);
  } else if (verb == "clock") {
    auto& one = known_router(scene, line);
    one.clock = line.span(line.take("a span"));
  } else if (verb == "setting") {
    const std::string name = line.take("a key of [settings]");
    if (!line.skip("="))
      line.fault("'=' is missing");
    scene.settings[name] = line.rest();
  } else if (verb == "file") {
    scene.file.push_back(line.rest());
  } else {
    return false;
  }
  line.end();
  return true;
}

}  // namespace

const RouterLine* Scene::router(const std::string& name) const {
  const auto at = std::find_if(routers.begin(), routers.end(), [&](auto& one) { return one.name == name; });
  return at == routers.end() ? nullptr : &*at;
}
const DeviceLine* Scene::device(const std::string& name) const {
  const auto at = std::find_if(devices.begin(), devices.end(), [&](auto& one) { return one.name == name; });
  return at == devices.end() ? nullptr : &*at;
}

Scene parse_scene(const std::string& path, const std::string& text) {
  Scene scene;
  scene.path = path;
  std::istringstream in(text);
  std::size_t number = 0;
  for (std::string written; std::getline(in, written);) {
    Line line(path, ++number, written);
    if (line.empty())
      continue;
    const std::string verb = line.take("a verb");
    if (fleet_line(scene, line, verb)) {
      if (!scene.steps.empty())
        line.fault("'" + verb + "' must come before the first step");
      continue;
    }
    scene.steps.push_back(read_step(scene, line, verb));
    scene.steps.back().text = written.substr(0, written.find(" #"));
  }
  if (scene.routers.empty())
    throw SceneError(path + ":" + std::to_string(number) + ": no routers");
  if (scene.steps.empty())
    throw SceneError(path + ":" + std::to_string(number) + ": no steps");
  return scene;
}

Scene read_scene(const std::string& path) {
  std::ifstream file(path);
  if (!file)
    throw SceneError(path + ": cannot be read");
  std::ostringstream text;
  text << file.rdbuf();
  return parse_scene(path, text.str());
}

}  // namespace lemonroute::rig
