#include "cli/limits.h"

#include "grpc/node_client.h"
#include "http/node_client.h"
#include "net/memory_budget.h"
#include "net/reserve.h"
#include "ops/management.h"

namespace lemonroute::cli {
namespace {

// Descriptors: some for the program itself and for management callers; of the rest two fifths for clients, as
// many for the calls made for them, an eighth for idle connections.
constexpr std::size_t own_descriptors = 16 + net::Reserve::usual + ops::Management::most_callers;
std::size_t shared_descriptors(const config::Platform& platform) {
  return platform.sockets - std::min(own_descriptors, platform.sockets / 2);
}
std::size_t idle_nodes(const config::Platform& platform) {
  return shared_descriptors(platform) / 8;
}

// The rest of the process's memory is for the program itself, its nodes and connections, and what the
// allocator keeps.
constexpr std::size_t client_memory_share = 4;
constexpr std::size_t bytes_per_mb = 1000 * 1000;

}  // namespace

std::size_t client_memory(const config::Platform& platform, std::size_t parts) {
  const std::size_t share = platform.memory_mb * bytes_per_mb / client_memory_share;
  return std::min(share, net::MemoryBudget::default_limit) / parts;
}

std::size_t front_places(const config::Platform& platform) {
  return shared_descriptors(platform) * 2 / 5;
}

// Nodes close what has been idle for the platform's time; a request written to it then is lost.
NodeTransport::Limits node_limits(const config::Platform& platform, std::size_t parts) {
  return {platform.settings.connect_timeout, platform.connection_idle * 6 / 10, idle_nodes(platform) / parts};
}

std::unique_ptr<NodeTransport> make_nodes(net::Loop& loop, const config::Platform& platform, bool grpc) {
  if (grpc)
    return std::make_unique<grpc::NodeClient>(loop, grpc::Session::Limits{platform.settings.connect_timeout});
  const NodeTransport::Limits limits = node_limits(platform, 1);
  return std::make_unique<http::NodeClient>(
      loop, http::ClientLimits{limits.connect_timeout, limits.idle_timeout, limits.max_idle_connections});
}

http::Front::Options front_options(const config::Platform& platform, const config::Operator& settings) {
  http::Front::Options options{{platform.listen}, front_places(platform)};
  options.inherited = platform.socket;
  options.listen.insert(options.listen.end(), settings.http_listen.begin(), settings.http_listen.end());
  return options;
}

guide::FleetBridge::Options fleet_options(const config::Platform& platform, const config::PeersFile& peers,
                                          Micros now) {
  guide::FleetBridge::Options options;
  auto& service = options.service;
  service.agent.name = platform.name;
  service.agent.site = peers.site;
  service.agent.address = peers.advertise;
  service.agent.start = static_cast<std::uint64_t>(now.count());
  service.agent.seeds = peers.seeds;
  service.agent.period = peers.period;
  service.listen = peers.listen;
  service.previous_process_listening = platform.socket.has_value();
  service.keys = peers.keys;
  service.address_overrides = peers.via;
  options.router_count.configured = platform.settings.router_count;
  options.router_count.min = static_cast<std::uint32_t>(peers.siblings_least);
  options.router_count.max = static_cast<std::uint32_t>(peers.siblings_most);
  return options;
}

}  // namespace lemonroute::cli
