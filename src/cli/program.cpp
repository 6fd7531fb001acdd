#include "cli/program.h"

#include <unistd.h>

#include <optional>

#include "base/log.h"
#include "cli/limits.h"
#include "cli/start.h"
#include "grpc/front.h"
#include "grpc/reflection.h"
#include "ops/agent_check.h"
#include "ops/handover.h"
#include "ops/health_service.h"
#include "ops/management.h"
#include "ops/processes.h"
#include "ops/request_id_locks.h"

namespace lemonroute::cli {
namespace {

using std::chrono::milliseconds;

// After SIGTERM new connections keep arriving for up to 0.4 s, and may find their first bytes late.
constexpr milliseconds arrival_window{600};
// The kill cuts what is still streaming, and excuses that only for requests that arrived within 0.7 s of
// SIGTERM. What was waiting when the window ended is read within this time.
constexpr milliseconds acceptance_window{650};
constexpr milliseconds end_poll{20};
// It is killed no sooner than 0.7 s after the longest deadline from SIGTERM on, of which 3 s are counted at
// the most. What waits for its first event by then is answered half a second before that, and what is held
// for it let go.
constexpr milliseconds longest_counted{3000}, waits_after{200};
constexpr milliseconds pass_again{10};
// A node taken out at the other process must get nothing from here half a second after the yes.
constexpr milliseconds look_again{100};

// Why a choice came to nothing. The module builds this for each choice, so it is asked for only where it is
// logged.
void log_empty_choice(const Router& router, const Choice& choice) {
  if (choice.chosen != 0)
    return;
  logging::Line line = logging::debug();
  line << "choice of a " << (choice.stage == Role::prefill ? "reader" : "writer") << " for request "
       << choice.id;
  if (choice.shed)
    line << ": wait " << choice.estimated_wait.count() / 1000 << " of " << choice.max_wait.count() / 1000
         << " ms, load " << choice.load << " of " << choice.max_load;
  else
    for (const auto& candidate : choice.candidates)
      if (candidate.exclusion_reason)
        line << "; " << router.endpoint_name(candidate.endpoint) << ' ' << candidate.exclusion_reason;
}

}  // namespace

struct Program::Parts {
  Parts(net::Loop& loop, const config::Platform& platform, const config::Operator& settings, Reload again)
      : platform_(platform),
        read_again_(std::move(again)),
        loop_(loop),
        clock_(settings.peers ? settings.peers->clock_offset : Micros(0)),
        processes_(ops::shared_folder(), platform.name, platform.listen),
        id_locks_(platform.socket ? std::make_unique<ops::FileRequestIdLocks>(processes_.file(".ids"))
                                  : nullptr),
        nodes_(make_nodes(loop_, platform, settings.grpc_nodes)),
        router_(platform.settings, platform.zones, platform.kinds, platform.seed, clock_, *nodes_),
        watch_(first_list(loop_, platform, router_)),
        status_(router_),
        front_(loop_, router_, front_options(platform, settings)),
        due_(loop_, [this] { router_.run_timers(); }),
        window_(loop_, [this] { stop_accepting(); }),
        ended_(loop_, [this] { poll_end(); }),
        look_(loop_, [this] { look(); }),
        pass_(loop_, [this] { pass_streams(); }),
        term_(loop_, SIGTERM, [this] { drain("SIGTERM"); }),
        interrupt_(loop_, SIGINT, [this] { drain("SIGINT"); }),
        hang_up_(loop_, SIGHUP, [this] { reload(); }) {
    say_unused(platform);
    router_.set_request_id_locks(id_locks_.get());
    loop_.reserve().keep(net::Reserve::usual);
    loop_.memory().set_limit(client_memory(platform, parts()));
    if (!settings.grpc_listen.empty()) {
      grpc_ = std::make_unique<Grpc>(*this, settings);
      logging::info() << "gRPC on " << settings.grpc_listen;
    }
    if (!settings.agent_check_listen.empty()) {
      agent_ = std::make_unique<ops::AgentCheck>(loop_, settings.agent_check_listen, status_,
                                                 platform.socket.has_value());
      logging::info() << "agent-check on " << settings.agent_check_listen;
    }
    if (settings.peers) {
      fleet_ = std::make_unique<guide::FleetBridge>(
          loop_, clock_, fleet_options(platform, *settings.peers, clock_.now()),
          std::vector<guide::ExtensionBinding>{},
          [this](auto newer) { router_.set_fleet_view(std::move(newer)); });
      router_.set_node_observer(&fleet_->observer());
      logging::info() << "peers on " << fleet_->address();
    }
    const std::string& management =
        settings.management_listen.empty() ? platform.management : settings.management_listen;
    if (!management.empty()) {
      ops::Management::Fleet fleet;
      if (fleet_)
        fleet = [this] { return fleet_->status_json(); };
      management_ = std::make_unique<ops::Management>(
          loop_, management, router_, status_, [this] { return reloads_; }, std::move(fleet));
      logging::info() << "management on " << management;
    }
    router_.on_change = [this] { changed(); };
    if (logging::enabled(logging::Level::debug))
      router_.set_choice_observer([this](const Choice& choice) { log_empty_choice(router_, choice); });
    router_.load_overrides(processes_.file(".bans"), processes_.lock());
    changed();
    look();
    if (platform.socket)
      handover_ = std::make_unique<ops::Handover>(
          loop_, processes_.file(".streams"),
          [this](const TransferredStream& stream) { front_.adopt(stream); },
          [this](const HandoverState& handover_state) { router_.apply_handover_state(handover_state); });
    processes_.serves(true);
    held_.reset();  // the handlers are there
  }
  ~Parts() {
    router_.on_change = nullptr;  // the timer goes before the router does, and so does the observer
    router_.set_node_observer(nullptr);
  }
  Parts(const Parts&) = delete;
  Parts& operator=(const Parts&) = delete;

  struct Grpc {
    Grpc(Parts& program, const config::Operator& settings)
        : front(program.router_),
          health(program.status_),
          server(program.loop_, settings.grpc_listen, static_cast<std::size_t>(settings.grpc_connections),
                 program.platform_.socket.has_value()),
          places(static_cast<std::size_t>(settings.grpc_connections)) {
      server.add(front);
      server.add(health);
      server.add(reflection);
    }
    grpc::Front front;
    ops::HealthService health;
    grpc::Reflection reflection;
    grpc::Server server;
    std::size_t places;
  };

  void changed() {
    status_.check();
    if (const auto due = router_.next_timer())
      due_.start(*due - clock_.now());
    else
      due_.stop();
  }

  // Connections already on their way are still taken; what was taken is answered before the program ends.
  void drain(const char* signal) {
    if (draining_)
      return;
    draining_ = true;
    processes_.serves(false);
    if (handover_)
      handover_->finish();
    handover_.reset();
    const bool successor = processes_.another_serves();
    logging::info() << signal << ": draining, " << router_.open_request_count() << " requests open"
                    << (successor ? ", another process takes the clients" : "");
    if (successor)
      hand_over();
    else
      front_.drain();
    // Clients send on every connection that stays open, and who asks late may wait longer than there is time.
    router_.set_shutdown_deadline(clock_.now() + last_wait());
    router_.set_acceptance_deadline(clock_.now() + acceptance_window);
    status_.drain();
    window_.start(arrival_window);
  }
  // Whoever asks about this address from now on asks the other process, which is well.
  void hand_over() {
    handed_over_ = true;
    front_.hand_over();
    if (grpc_)
      grpc_->server.stop_accepting();
    agent_.reset();
    ops::Handover::tell(processes_.file(".streams"), router_.handover_state());
    pass_streams();
  }
  Micros last_wait() const {
    Micros longest{};
    for (const auto& one : platform_.settings.classes)
      longest = std::max(longest, one.deadline);
    return std::min<Micros>(longest, longest_counted) + waits_after;
  }
  // A stream may outlast this process's time; each is given away once it stands between two events.
  void pass_streams() {
    router_.transfer_streams([this](const TransferredStream& stream) { return pass_stream(stream); });
    pass_.start(pass_again);
  }
  bool pass_stream(const TransferredStream& stream) {
    const int id_lock = id_locks_ ? id_locks_->extend(stream.id) : -1;
    const bool sent = ops::Handover::send(processes_.file(".streams"), stream, id_lock);
    if (id_lock >= 0)
      close(id_lock);
    return sent;
  }
  // What the other process of this router, if there is one, has changed. Both together must stay within the
  // limits of one, so each has half of the places while two run.
  void look() {
    router_.reload_overrides();
    // Guards against an order to end that comes before the successor is ready: what goes on here for longer
    // than this process has, and who is turned away here, is well off there.
    if (draining_ && !handed_over_ && platform_.socket && processes_.another_serves()) {
      logging::info() << "another process takes the clients by now";
      hand_over();
    }
    const bool shares = processes_.another_runs();
    if (std::exchange(shares_, shares) != shares) {
      logging::info() << (shares ? "another process of this router runs, places are halved"
                                 : "no other process of this router runs");
      const std::size_t parts = this->parts();
      front_.limit(std::max<std::size_t>(2, front_places(platform_) / parts));
      loop_.memory().set_limit(client_memory(platform_, parts));
      nodes_->set_limits(node_limits(platform_, parts));
      if (grpc_)
        grpc_->server.limit(std::max<std::size_t>(2, grpc_->places / parts));
    }
    look_.start(look_again);
  }
  std::size_t parts() const { return shares_ ? 2 : 1; }
  // Takes discovery, settings and classes of the replaced file together; its name, addresses and descriptors
  // hold from the next start on. With a file that is not in order the program goes on as it was: a slip there
  // must not end what serves.
  void reload() {
    try {
      const auto platform = read_again_();
      // Where nodes come from is settled at the start.
      if (platform.discovery.empty() == (watch_ != nullptr))
        throw config::ConfigError("fixed nodes and discovery can't be exchanged without a restart");
      logging::info() << "SIGHUP: the configuration is taken, " << platform.settings.classes.size()
                      << " classes, " << platform.nodes_from();
      say_unused(platform);
      platform_.settings = platform.settings;
      platform_.connection_idle = platform.connection_idle;
      platform_.memory_mb = platform.memory_mb;
      loop_.memory().set_limit(client_memory(platform_, parts()));
      nodes_->set_limits(node_limits(platform_, parts()));
      router_.update_settings(platform.settings, platform.zones, platform.kinds);
      if (!watch_)
        router_.update_endpoints(EndpointListKind::full, ++platform_.known.version, platform.known.nodes);
      else
        watch_->retune(lists_of(platform.settings), platform.settings.drain_grace);
      if (watch_ && std::exchange(platform_.discovery, platform.discovery) != platform.discovery)
        watch_->move(platform.discovery);
      ++reloads_.loaded;
    } catch (const std::exception& error) {
      ++reloads_.invalid;
      logging::error() << "SIGHUP: the configuration stays as it was: " << error.what();
    }
  }
  void stop_accepting() {
    front_.stop_accepting();
    if (grpc_)
      grpc_->server.stop_accepting();
    poll_end();
  }
  void poll_end() {
    if (router_.idle() && front_.idle() && (!grpc_ || grpc_->server.idle())) {
      logging::info() << "drained, ending";
      loop_.stop();
      return;
    }
    ended_.start(end_poll);
  }

  std::optional<SignalsHeld> held_{std::in_place};
  config::Platform platform_;
  const Reload read_again_;
  net::Loop& loop_;
  const SystemClock clock_;
  ops::Processes processes_;
  std::unique_ptr<ops::FileRequestIdLocks> id_locks_;  // none where no other process can run beside this one
  std::unique_ptr<NodeTransport> nodes_;
  Router router_;
  std::unique_ptr<discovery::Watch> watch_;  // none where the nodes are fixed
  ops::Status status_;
  http::Front front_;
  net::Timer due_, window_, ended_, look_, pass_;
  net::Signal term_, interrupt_, hang_up_;
  std::unique_ptr<Grpc> grpc_;
  std::unique_ptr<ops::AgentCheck> agent_;
  std::unique_ptr<guide::FleetBridge> fleet_;  // none where peers are off
  ops::Reloads reloads_;
  std::unique_ptr<ops::Handover> handover_;
  std::unique_ptr<ops::Management> management_;
  bool draining_ = false, handed_over_ = false, shares_ = false;
};

Program::Program(net::Loop& loop, const config::Platform& platform, const config::Operator& settings,
                 Reload reload)
    : parts_(std::make_unique<Parts>(loop, platform, settings, std::move(reload))) {}
Program::~Program() = default;
void Program::drain() {
  parts_->drain("an order");
}
std::uint16_t Program::port() const {
  return parts_->front_.port();
}
std::uint16_t Program::grpc_port() const {
  return parts_->grpc_ ? parts_->grpc_->server.port() : 0;
}

}  // namespace lemonroute::cli
