// The operator's sections about conductors that know each other: [peers], [regions.NAME], [pools], [tiers]. Each is off
// where it is absent. A reader for each in a file of its own.
#pragma once

#include <map>
#include <optional>
#include <string>
#include <vector>

#include "config/section.h"

namespace lemonroute::config {

struct PeersFile {
  std::string listen;                    // where datagrams are taken
  std::string advertise;                 // where others send to; empty: as listen
  std::string site;                      // the zone in which this conductor stands
  std::vector<std::string> seeds;
  std::vector<std::string> key_files;    // the first one seals, each one opens
  Micros period = std::chrono::seconds(1);
  std::map<std::string, std::string> via;  // a peer's name: the address by which it is reached instead of its own
  std::int64_t siblings_least = 1, siblings_most = 100000;  // bounds of what the live view may make of siblings
  Micros clock_offset{};                 // for tests: this process's clock goes wrong by so much
  std::size_t line = 0;
};

struct Region {
  std::vector<std::string> sites;
  std::vector<std::string> keepers;  // names of conductors of the region that keep the rights to its pools
  std::size_t line = 0;
};
using Regions = std::map<std::string, Region>;

std::optional<PeersFile> read_peers(Section& file);  // none: off
Regions read_regions(Section& file);

}  // namespace lemonroute::config
