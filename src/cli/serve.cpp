#include "cli/serve.h"

#include <sys/resource.h>

#include <csignal>

#include "base/log.h"
#include "cli/start.h"

namespace lemonroute::cli {

int serve(const config::Platform& platform, const config::Operator& settings, Reload reload) {
  std::signal(SIGPIPE, SIG_IGN);
  logging::set_level(settings.log_level);
  rlimit limit{};
  getrlimit(RLIMIT_NOFILE, &limit);
  if (!platform.socket)
    wait_for_address(platform.listen);
  net::Loop loop;
  Program program(loop, platform, settings, std::move(reload));
  logging::info() << settings.application << ' ' << platform.name << " serves on " << platform.listen << ", "
                  << platform.nodes_from() << ", " << limit.rlim_cur << " descriptors";
  loop.run();
  return 0;
}

}  // namespace lemonroute::cli
