// What a scene file says: a fleet, and steps that are played one after the other. docs/fleet-rig.md has the
// language.
#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <stdexcept>
#include <string>
#include <vector>

#include "lemonroute/scheduler.h"

namespace lemonroute::rig {

// One line: file, line and what is wrong there.
struct SceneError : std::runtime_error {
  using std::runtime_error::runtime_error;
};

using Names = std::vector<std::string>;

struct RouterLine {
  std::string name, site;
  Names keys{"fleet"};  // the first one seals, each one opens
  Micros clock{};       // its clock is off by so much
};
struct DeviceLine {
  std::string name, site;
  bool reader = true;
  std::uint16_t cell = 1;
};
struct RegionLine {
  std::string name;
  Names sites, keepers;
};

enum class Verb {
  start,
  kill,
  stop,
  go_on,
  term,
  restart,  // of routers; restart of devices too
  crash,
  drain,
  list,
  flush,  // of devices
  cut,
  slow,
  lose,
  repeat,
  reorder,
  corrupt,
  heal,  // of links
  load,
  ask,
  flood,
  wait,
  expect,
  hold
};

// What is waited for. Each is judged by what processes print and stand-ins saw; see watch/facts.h.
enum class FactKind { sees, agree, minority, majority, ready, ended, value, owner, answers, reads, rules };
enum class Compare { equal, at_least, at_most };
struct Fact {
  FactKind kind = FactKind::rules;
  Names at;                                   // routers that are asked
  std::map<std::string, std::string> wanted;  // sees: a standing and its count, or a peer and its standing
  std::string what;  // value: a JSON pointer; owner: the pool; answers: how; reads: the opening
  Compare compare = Compare::equal;
  std::string to;  // value, owner; answers and reads: a number
};

struct Step {
  std::size_t line = 0;
  std::string text;  // the line as it was written
  Verb verb = Verb::wait;
  Names names;                // of what is started, killed, asked; links: the one side
  Names others;               // links: the other side; empty for heal: all links
  bool both_ways = true;      // links
  double part = 0;            // lose, repeat, reorder, corrupt: 0 to 1
  Micros span{};              // slow
  double rate = 0;            // load and flood: a second; 0: off
  std::uint32_t count = 0;    // ask: requests
  std::uint32_t periods = 0;  // wait, hold: for so many; expect: within so many, 0: the usual bound
  std::uint32_t openings = 4, tokens = 1200;  // load and ask
  std::string opening, kind = "estratto";
  bool state_lost = false;  // restart
  bool forged = false;      // flood: sealed with a key that nobody has, in place of noise
  Fact fact;
};

struct Scene {
  std::string path;
  Micros period = std::chrono::milliseconds(100);  // of the protocol; waits and bounds are counted in it
  std::uint64_t seed = 1;
  bool relay_devices = false;  // links to devices can be cut and slowed too
  std::vector<RouterLine> routers;
  std::vector<DeviceLine> devices;
  std::vector<RegionLine> regions;
  std::map<std::string, std::string> settings;  // of [settings], as TOML
  std::vector<std::string> file;                // lines added to each operator's file
  std::vector<Step> steps;

  const RouterLine* router(const std::string& name) const;
  const DeviceLine* device(const std::string& name) const;
};

Scene read_scene(const std::string& path);  // throws SceneError
Scene parse_scene(const std::string& path, const std::string& text);

}  // namespace lemonroute::rig
