#include "cli/serve.h"

#include <sys/resource.h>

#include <csignal>

#include "base/log.h"
#include "discovery/watch.h"
#include "http/front.h"
#include "http/node_client.h"

namespace lemonroute::cli {
namespace {

using std::chrono::milliseconds;

// After SIGTERM new connections keep arriving for up to 0.4 s, and may find their first bytes late.
constexpr milliseconds arrival_window{600};
constexpr milliseconds end_poll{20};

class Program {
 public:
  explicit Program(const config::Platform& platform)
      : nodes_(loop_, {platform.settings.connect_timeout, platform.connection_idle * 6 / 10, 64}),
        conductor_(platform.settings, platform.zones, platform.kinds, platform.seed, clock_, nodes_),
        front_(loop_, conductor_, {platform.listen, platform.sockets / 2}),
        watch_(loop_, platform.discovery, conductor_),
        due_(loop_, [this] { conductor_.run_due(); }),
        window_(loop_, [this] { front_.stop_accepting(); poll_end(); }),
        ended_(loop_, [this] { poll_end(); }),
        term_(loop_, SIGTERM, [this] { drain("SIGTERM"); }),
        interrupt_(loop_, SIGINT, [this] { drain("SIGINT"); }) {
    conductor_.on_change = [this] { arm(); };
    conductor_.update(ListKind::cached, platform.known.version, platform.known.nodes);
    watch_.start();
  }
  ~Program() { conductor_.on_change = nullptr; }  // the timer goes before the conductor does
  Program(const Program&) = delete;
  Program& operator=(const Program&) = delete;
  void run() { loop_.run(); }

 private:
  void arm() {
    if (const auto due = conductor_.next_due()) due_.start(*due - clock_.now());
    else due_.stop();
  }

  // Connections already on their way are still taken; what was taken is answered before the program ends.
  void drain(const char* signal) {
    if (draining_) return;
    draining_ = true;
    logging::info() << signal << ": draining, " << conductor_.open() << " requests open";
    front_.drain();
    window_.start(arrival_window);
  }
  void poll_end() {
    if (conductor_.idle() && front_.idle()) {
      logging::info() << "drained, ending";
      loop_.stop();
      return;
    }
    ended_.start(end_poll);
  }

  SystemClock clock_;
  net::Loop loop_;
  http::NodeClient nodes_;
  Conductor conductor_;
  http::Front front_;
  discovery::Watch watch_;
  net::Timer due_, window_, ended_;
  net::Signal term_, interrupt_;
  bool draining_ = false;
};

}  // namespace

int serve(const config::Platform& platform) {
  std::signal(SIGPIPE, SIG_IGN);
  rlimit limit{};
  getrlimit(RLIMIT_NOFILE, &limit);
  Program program(platform);
  logging::info() << platform.name << " serves on " << platform.listen << ", discovery at "
                  << platform.discovery << ", " << limit.rlim_cur << " descriptors";
  program.run();
  return 0;
}

}  // namespace lemonroute::cli
