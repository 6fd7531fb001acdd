#include "config/fleet.h"

#include <toml++/toml.h>

#include <filesystem>
#include <functional>
#include <set>

#include "net/connection.h"

namespace lemonroute::config {
namespace {

using std::chrono::hours;
using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr std::size_t most_name = 64, most_seeds = 64, most_keys = 8;

// Addresses of peers need no names looked up. A port is needed, unless it is one to listen on.
void check_address(Section& in, std::string_view key, const std::string& address, bool listens) {
  try {
    net::SocketAddress{address};
    if (!listens && address.ends_with(":0"))
      in.fault(key, "'" + address + "' has no port to send to");
  } catch (const std::invalid_argument& error) {
    in.fault(key, error.what());
  }
}

void check_name(Section& in, std::string_view key, const std::string& name) {
  if (name.size() > most_name)
    in.fault(key, "'" + name + "' is longer than 64 bytes");
}

void read_place(Section& in, std::string& listen, std::string& advertise, std::string& site) {
  if (in.text("listen", listen))
    check_address(in, "listen", listen, true);
  if (in.text("advertise", advertise))
    check_address(in, "advertise", advertise, false);
  if (in.text("site", site))
    check_name(in, "site", site);
}

void read_keys(Section& in, PeersFile& to) {
  if (!in.texts("key_files", to.key_files)) {
    if (!in.has("key_files"))
      in.missing("key_files");
    return;
  }
  if (to.key_files.size() > most_keys)
    in.fault("key_files", "are more than 8");
  const auto beside = std::filesystem::path(in.file()).parent_path();
  std::set<std::uint32_t> ids;
  for (auto& path : to.key_files) {
    path = (beside / path).string();
    auto read = peers::seal::read_key(path);
    if (const auto* why = std::get_if<std::string>(&read)) {
      in.fault("key_files", "'" + path + "' " + *why);
      continue;
    }
    const auto& key = std::get<peers::seal::Key>(read);
    if (ids.insert(key.id).second)
      to.keys.push_back(key);
    else
      in.fault("key_files", "'" + path + "' holds a key that is there already");
  }
}

// The names of a list, each once.
std::vector<std::string> names(Section& in, std::string_view key, std::map<std::string, std::string>& taken,
                               const std::string& by, const char* what) {
  std::vector<std::string> all;
  if (!in.texts(key, all))
    return all;
  for (const auto& name : all) {
    check_name(in, key, name);
    const auto [at, fresh] = taken.emplace(name, by);
    if (!fresh)
      in.fault(key, "'" + name + "' is " + (at->second == by ? "there twice" : what + at->second));
  }
  return all;
}

}  // namespace

std::optional<PeersFile> read_peers(Section& file) {
  auto in = file.table("peers");
  if (!in)
    return std::nullopt;
  PeersFile to;
  to.line = in->line();
  read_place(*in, to.listen, to.advertise, to.site);
  for (auto& [name, at] : in->tables("at")) {
    if (name.empty() || name.size() > most_name)
      at.fault_here("a name has 1 to 64 bytes");
    auto& one = to.at[name];
    read_place(at, one.listen, one.advertise, one.site);
    if (one.listen.empty() && to.listen.empty() && !at.has("listen"))
      at.missing("listen");
    if (one.site.empty() && to.site.empty() && !at.has("site"))
      at.missing("site");
    at.end();
  }
  if (to.at.empty()) {
    if (to.listen.empty() && !in->has("listen"))
      in->missing("listen");
    if (to.site.empty() && !in->has("site"))
      in->missing("site");
  }
  if (in->texts("seeds", to.seeds)) {
    if (to.seeds.size() > most_seeds)
      in->fault("seeds", "are more than 64; any one is enough to join by");
    for (const auto& seed : to.seeds)
      check_address(*in, "seeds", seed, false);
  }
  read_keys(*in, to);
  in->span("period", to.period, milliseconds(20), seconds(60));
  if (auto via = in->table("via")) {
    for (const auto& [key, node] : via->toml()) {
      const std::string name(key.str());
      if (via->text(name, to.via[name]))
        check_address(*via, name, to.via[name], false);
    }
    via->end();
  }
  in->whole("siblings_least", to.siblings_least, 1, 100000);
  in->whole("siblings_most", to.siblings_most, 1, 100000);
  if (to.siblings_most < to.siblings_least)
    in->fault("siblings_most", "is below siblings_least");
  in->span("clock_offset", to.clock_offset, -hours(24), hours(24));
  in->end();
  return to;
}

Regions read_regions(Section& file) {
  Regions all;
  std::map<std::string, std::string> sites, keepers;
  for (auto& [name, in] : file.tables("regions")) {
    Region& region = all[name];
    region.line = in.line();
    if (name.empty() || name.size() > most_name)
      in.fault_here("a name has 1 to 64 bytes");
    region.sites = names(in, "sites", sites, name, "a site of region ");
    if (!in.has("sites"))
      in.missing("sites");
    region.keepers = names(in, "keepers", keepers, name, "a keeper of region ");
    const auto count = region.keepers.size();
    if (count > 0 && count != 1 && count != 3 && count != 5 && count != 7)
      in.fault("keepers", "are " + std::to_string(count) + ", and must be 1, 3, 5 or 7: a majority decides");
    in.end();
  }
  if (!all.empty() && !file.has("peers"))
    file.fault("regions", "are of use to routers that know each other only, and there is no section [peers]");
  return all;
}

PeersFile peers_of(const PeersFile& peers, const std::string& name, const std::string& path,
                   std::vector<Fault>& faults) {
  PeersFile mine = peers;
  if (const auto found = mine.at.find(name); found != mine.at.end()) {
    const auto over = [](std::string& field, const std::string& own) {
      if (!own.empty())
        field = own;
    };
    over(mine.listen, found->second.listen);
    over(mine.advertise, found->second.advertise);
    over(mine.site, found->second.site);
  }
  mine.at.clear();
  if (name.empty() || name.size() > most_name)
    faults.push_back({path, peers.line, "peers", "the router's name '" + name + "' must have 1 to 64 bytes"});
  if (mine.listen.empty() || mine.site.empty())
    faults.push_back({path, peers.line, "peers.at",
                      "has no section [peers.at." + name + "], and [peers] itself no listen and site"});
  return mine;
}

}  // namespace lemonroute::config
