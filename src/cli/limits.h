// What the parts of the program may take of what the platform gives: descriptors, connections, time.
#pragma once

#include <cstddef>
#include <memory>

#include "config/operator.h"
#include "config/platform.h"
#include "guide/fleet_bridge.h"
#include "http/front.h"
#include "net/loop.h"

namespace lemonroute::cli {

/// Returns how many bytes one of `parts` processes of this router may hold for its clients.
std::size_t client_memory(const config::Platform& platform, std::size_t parts);
std::size_t front_places(const config::Platform& platform);
NodeTransport::Limits node_limits(const config::Platform& platform,
                                  std::size_t parts);  // one of so many equal parts
std::unique_ptr<NodeTransport> make_nodes(net::Loop& loop, const config::Platform& platform, bool grpc);
http::Front::Options front_options(const config::Platform& platform, const config::Operator& settings);
guide::FleetBridge::Options fleet_options(const config::Platform& platform, const config::PeersFile& peers,
                                          Micros now);

}  // namespace lemonroute::cli
