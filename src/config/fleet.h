// The operator's sections about routers that know each other: [peers], [regions.NAME], [pools], [tiers]. Each
// is off where it is absent. A reader for each in a file of its own.
#pragma once

#include <map>
#include <optional>
#include <string>
#include <vector>

#include "config/section.h"
#include "peers/seal/key.h"

namespace lemonroute::config {

struct PeersFile {
  std::string listen;     // where datagrams are taken
  std::string advertise;  // where others send to; empty: as listen
  std::string site;       // the zone in which this router stands
  // What holds instead for the router of that name, [peers.at.NAME], so that one file serves a whole fleet.
  struct At {
    std::string listen, advertise, site;
  };
  std::map<std::string, At> at;
  std::vector<std::string> seeds;
  std::vector<std::string>
      key_files;  // the first one seals, each one opens; beside the file, unless absolute
  std::vector<peers::seal::Key> keys;  // what they hold
  Micros period = std::chrono::seconds(1);
  std::map<std::string, std::string>
      via;  // a peer's name: the address by which it is reached instead of its own
  std::int64_t siblings_least = 1,
               siblings_most = 100000;  // bounds of what the live view may make of siblings
  Micros clock_offset{};                // for tests: this process's clock goes wrong by so much
  std::size_t line = 0;
};

struct Region {
  std::vector<std::string> sites;
  std::vector<std::string> keepers;  // names of routers of the region that keep the rights to its pools
  std::size_t line = 0;
};
using Regions = std::map<std::string, Region>;

std::optional<PeersFile> read_peers(Section& file);  // none: off
Regions read_regions(Section& file);
// What holds for the router of that name, once it is known: `at` is empty then.
PeersFile peers_of(const PeersFile& peers, const std::string& name, const std::string& path,
                   std::vector<Fault>& faults);

}  // namespace lemonroute::config
