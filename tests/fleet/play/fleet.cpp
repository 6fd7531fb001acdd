#include "play/fleet.h"

#include <sys/stat.h>
#include <unistd.h>

#include <csignal>
#include <fstream>
#include <iomanip>
#include <random>
#include <set>
#include <sstream>

namespace lemonroute::rig {
namespace {

// Addresses of loopback for each rig, one for its own sockets and one for its processes': several rigs, and
// whatever else uses loopback, can't take each other's ports, and a port found free for a process stays free
// until it starts.
std::string own_host(unsigned from) {
  const auto pid = static_cast<unsigned>(getpid());
  std::ostringstream text;
  text << "127." << (from + (pid >> 16) % 64) << '.' << (pid >> 8) % 256 << '.' << pid % 256;
  return text.str();
}

void write(const std::filesystem::path& path, const std::string& text) {
  std::ofstream file(path, std::ios::trunc);
  file << text;
  if (!file.flush())
    throw std::runtime_error(path.string() + ": cannot be written");
  chmod(path.c_str(), 0600);
}

}  // namespace

Folder::Folder(bool keep) : keep_(keep) {
  std::string name = (std::filesystem::temp_directory_path() / "lemonroute-rig-XXXXXX").string();
  if (!mkdtemp(name.data()))
    throw std::runtime_error(name + ": cannot be made");
  path_ = name;
}
Folder::~Folder() {
  std::error_code ignored;
  if (!keep_)
    std::filesystem::remove_all(path_, ignored);
}

Fleet::Fleet(net::Loop& loop, const Clock& clock, const Scene& scene, const Options& options, Ledger& ledger,
             Cells& cells)
    : loop_(loop),
      clock_(clock),
      scene_(scene),
      options_(options),
      ledger_(ledger),
      folder_(options.keep),
      host_(own_host(64)),
      process_host_(own_host(128)),
      links_(options.seed.value_or(scene.seed), scene.period) {
  write_keys();
  for (const auto& line : scene.devices) {
    devices_[line.name] = std::make_unique<Device>(loop, cells, host_, line.name, line.reader);
    lines_[line.name] = &line;
  }
  std::set<std::string> taken;
  const auto address = [&] {  // found free, and not given twice
    for (;;)
      if (const auto one = free_address(); taken.insert(one).second)
        return one;
  };
  for (const auto& line : scene.routers) {
    Member& one = members_[line.name];
    one.line = line;
    for (const auto& region : scene.regions)
      if (std::find(region.sites.begin(), region.sites.end(), line.site) != region.sites.end())
        one.region = region.name;
    one.temp = folder_.path() / line.name;
    one.file = folder_.path() / (line.name + ".toml");
    one.process = std::make_unique<Process>(folder_.path() / (line.name + ".log"), one.temp);
    one.discovery =
        std::make_unique<Discovery>(loop, host_, [this, name = line.name](auto& device, auto& listing) {
          ledger_.told(clock_.now(), name, device, listing.lifecycle,
                       std::chrono::milliseconds(listing.started_ms));
        });
    one.places.serve = address();
    one.places.management = address();
    one.places.peers = address();
    one.places.discovery = one.discovery->address();
    if (!scene.relay_devices)
      continue;
    for (const auto& [name, device] : devices_) {
      auto& way = ways_[{line.name, name}] =
          std::make_unique<StreamRelay>(loop, host_, links_, line.name, name);
      way->aim(device->address());
    }
  }
  if (options.peers)
    relay_datagrams();
  for (auto& [name, one] : members_)
    write_file(one);
  for (const auto& [name, device] : devices_)
    list(name, "active");
}

std::string Fleet::free_address() {
  const net::Listener probe(loop_, process_host_ + ":0", [](evutil_socket_t fd) { evutil_closesocket(fd); });
  return process_host_ + ":" + std::to_string(probe.port());
}

void Fleet::write_keys() {
  std::set<std::string> names;
  for (const auto& one : scene_.routers)
    names.insert(one.keys.begin(), one.keys.end());
  std::random_device random;
  for (const auto& name : names) {
    std::ostringstream hex;
    for (int i = 0; i < 8; ++i)
      hex << std::hex << std::setw(8) << std::setfill('0') << random();
    write(folder_.path() / (name + ".key"), hex.str() + "\n");
  }
}

void Fleet::relay_datagrams() {
  for (auto& [name, from] : members_)
    for (auto& [other, to] : members_) {
      if (name == other)
        continue;
      relays_.push_back(std::make_unique<DatagramRelay>(loop_, host_, links_, counts_, name,
                                                        from.places.peers, other, to.places.peers));
      from.places.via[other] = relays_.back()->address();
    }
}

// Seeds are the first of each site, and of the scene: any one of them is enough.
void Fleet::write_file(Member& member) {
  Names seeds, keys;
  std::set<std::string> sites;
  for (const auto& one : scene_.routers)
    if (sites.insert(one.site).second || seeds.size() < 2)
      if (const auto via = member.places.via.find(one.name); via != member.places.via.end())
        seeds.push_back(via->second);
  for (const auto& key : member.line.keys)
    keys.push_back((folder_.path() / (key + ".key")).string());
  write(member.file, operator_file(scene_, member.line, member.places, seeds, keys, options_.peers));
}

void Fleet::list(const std::string& device, const char* lifecycle) {
  const Device& one = *devices_.at(device);
  for (auto& [name, member] : members_) {
    const auto way = ways_.find({name, device});
    if (way != ways_.end())
      way->second->aim(one.address());
    member.discovery->list(*lines_.at(device), {way != ways_.end() ? way->second->address() : one.address(),
                                                lifecycle, one.started_ms()});
  }
}

bool Fleet::running(const std::string& router, unsigned generation) const {
  const Process& process = *members_.at(router).process;
  return process.runs() && process.generation() == generation;
}

void Fleet::start(const std::string& router, bool state_lost) {
  Member& one = members_.at(router);
  if (one.process->runs())
    throw std::runtime_error(router + " runs already");
  std::error_code ignored;
  if (state_lost)
    std::filesystem::remove_all(one.temp, ignored);
  std::filesystem::create_directories(one.temp);
  one.ends = false;
  one.process->start({options_.program, "serve", "--config", one.file.string()});
}

void Fleet::kill(const std::string& router) {
  Member& one = members_.at(router);
  one.ends = true;
  one.process->end();
  ledger_.away(clock_.now(), router);
}

void Fleet::stop(const std::string& router) {
  members_.at(router).process->signal(SIGSTOP);
  ledger_.away(clock_.now(), router);
}

void Fleet::go_on(const std::string& router) {
  members_.at(router).process->signal(SIGCONT);
  ledger_.back(clock_.now(), router);
}

void Fleet::term(const std::string& router) {
  Member& one = members_.at(router);
  one.ends = true;
  one.process->signal(SIGTERM);
}

void Fleet::device(const Step& step) {
  for (const auto& name : step.names) {
    Device& one = *devices_.at(name);
    if (step.verb == Verb::crash)
      one.crash();
    if (step.verb == Verb::restart)
      one.restart();
    if (step.verb == Verb::flush)
      one.flush();
    if (step.verb == Verb::restart || step.verb == Verb::list)
      list(name, "active");
    if (step.verb == Verb::drain)
      list(name, "leaving");
  }
}

void Fleet::link(const Step& step) {
  links_.apply(step);
  for (auto& [pair, way] : ways_)
    way->relinked();
}

// Noise, or what looks like a sealed datagram and is proven by no key.
void Fleet::flood(const Step& step, Micros span) {
  if (step.rate == 0)
    return;
  if (!stranger_)
    stranger_ = std::make_unique<Socket>(host_);
  static std::mt19937_64 random(1);
  for (owed_ += step.rate * static_cast<double>(span.count()) / 1e6; owed_ >= 1; owed_ -= 1)
    for (const auto& name : step.names) {
      std::string bytes(200, '\0');
      for (char& c : bytes)
        c = static_cast<char>(random());
      if (step.forged)
        bytes[0] = 1;  // the version
      stranger_->send(net::SocketAddress(members_.at(name).places.peers), bytes);
    }
}

}  // namespace lemonroute::rig
