#include "cli/start.h"

#include <sys/socket.h>
#include <unistd.h>

#include <cerrno>
#include <thread>

#include "base/log.h"
#include "net/connection.h"

namespace lemonroute::cli {
namespace {

// While discovery is down there is no list to be had, and routers that were all killed are to be ready soon:
// two calls at the least are made in this time, and then the last list that the platform knows of has to do.
constexpr std::chrono::milliseconds first_list_within{500};

// The process before listens for 0.6 s after SIGTERM.
constexpr std::chrono::milliseconds address_within{3000}, address_again{20};

bool taken(const net::SocketAddress& address) {
  const int fd = socket(address.address()->sa_family, SOCK_STREAM | SOCK_CLOEXEC, 0);
  if (fd < 0)
    return false;
  const int on = 1;
  setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &on, sizeof on);
  const bool in_use =
      bind(fd, address.address(), static_cast<socklen_t>(address.length())) != 0 && errno == EADDRINUSE;
  close(fd);
  return in_use;
}

std::string joined(const std::vector<std::string>& keys) {
  std::string text;
  for (const auto& key : keys)
    text += (text.empty() ? "" : ", ") + key;
  return text;
}

}  // namespace

SignalsHeld::SignalsHeld() {
  sigset_t orders;
  sigemptyset(&orders);
  for (const int one : {SIGTERM, SIGINT, SIGHUP})
    sigaddset(&orders, one);
  pthread_sigmask(SIG_BLOCK, &orders, &before_);
}
SignalsHeld::~SignalsHeld() {
  pthread_sigmask(SIG_SETMASK, &before_, nullptr);
}

void wait_for_address(const std::string& address) {
  const net::SocketAddress at(address);
  const auto until = std::chrono::steady_clock::now() + address_within;
  if (taken(at))
    logging::warn() << address << " is taken, it may be by a process that ends";
  while (taken(at) && std::chrono::steady_clock::now() < until)
    std::this_thread::sleep_for(address_again);
}

discovery::Lists lists_of(const Settings& settings) {
  return settings.endpoint_list_is_polled ? discovery::Lists::asked : discovery::Lists::pushed;
}

std::unique_ptr<discovery::Watch> first_list(net::Loop& loop, const config::Platform& platform,
                                             Router& router) {
  router.update_endpoints(EndpointListKind::from_cache, platform.known.version, platform.known.nodes);
  if (platform.discovery.empty())
    return nullptr;
  // Copies of one program may be started with one seed, or with none.
  const std::uint64_t seed = platform.seed ^ hash_text(platform.name);
  auto watch = std::make_unique<discovery::Watch>(
      loop, platform.discovery, router,
      discovery::Cadence(lists_of(platform.settings), platform.settings.drain_grace, seed));
  bool over = false;
  net::Timer bound(loop, [&over] { over = true; });
  bound.start(first_list_within);
  watch->start();
  while (!over && !watch->heard())
    loop.run_once();
  if (!watch->heard())
    logging::warn() << "no list from discovery yet: serving from the one that was known";
  return watch;
}

void say_unused(const config::Platform& platform) {
  std::string line;
  for (const auto& [what, keys] : {std::pair{"allowed by the settings and not used here: ", &platform.unused},
                                   std::pair{"stated and not used: ", &platform.not_read},
                                   std::pair{"not known, and left out: ", &platform.unknown}})
    if (!keys->empty())
      line += (line.empty() ? "" : "; ") + std::string(what) + joined(*keys);
  if (!line.empty())
    logging::info() << line;
}

}  // namespace lemonroute::cli
