#include "peers/service.h"

#include <pthread.h>
#include <sodium.h>

#include <algorithm>
#include <csignal>
#include <nlohmann/json.hpp>
#include <stdexcept>
#include <unordered_map>

#include "base/log.h"
#include "peers/loop_waker.h"
#include "peers/seal/rate_limiter.h"
#include "peers/seal/refusal_counters.h"
#include "peers/seal/seal.h"
#include "peers/udp_socket.h"

namespace lemonroute::peers {
namespace {

using std::chrono::milliseconds;

// Pause in reading over the rate limit. The kernel drops further datagrams once its buffer is full.
constexpr milliseconds read_pause{5};
constexpr milliseconds bind_retry_interval{500};
constexpr std::size_t max_senders = 8192;  // twice the members of a view, since a restart is another sender

std::uint64_t random_u64() {
  std::uint64_t value = 0;
  randombytes_buf(&value, sizeof value);
  return value;
}

std::string with_port(const std::string& address, const std::string& port) {
  return address.substr(0, address.rfind(':') + 1) + port;
}
std::string port_of(const std::string& address) {
  return address.substr(address.rfind(':') + 1);
}

}  // namespace

struct Service::Impl {
  Impl(Service& service, Options options, const Clock& clock, const std::vector<Extension*>& extensions,
       Delegate& delegate)
      : service_(service),
        options_(std::move(options)),
        clock_(clock),
        delegate_(delegate),
        socket_(bind_socket()),
        sealer_(options_.keys.at(0), {random_u64(), options_.agent.start}),
        opener_(options_.keys, max_senders),
        rate_limiter_({}, secret()),
        agent_(agent_options(), random_u64()),
        wake_(loop_, [this] { end_on_exception([this] { handle_wake(); }); }),
        due_(loop_, [this] { end_on_exception([this] { run_due(); }); }),
        read_pause_(loop_, [this] { resume(); }),
        bind_retry_(loop_, [this] { bind_configured_address(); }) {
    for (Extension* extension : extensions)
      agent_.add_extension(*extension);
  }

  std::unique_ptr<UdpSocket> open(const std::string& address) {
    return std::make_unique<UdpSocket>(loop_, address, seal::max_sealed_bytes,
                                       [this](auto& from, auto bytes) {
                                         bool more = true;
                                         end_on_exception([&] { more = handle_datagram(from, bytes); });
                                         return more;
                                       });
  }
  std::unique_ptr<UdpSocket> bind_socket() {
    if (sodium_init() < 0)
      throw std::runtime_error("peers: libsodium could not be initialized");
    try {
      return open(options_.listen);
    } catch (const std::runtime_error&) {
      if (!options_.previous_process_listening)
        throw;
    }
    auto socket = open(with_port(options_.listen, "0"));
    logging::info()
        << "peers: address still in use by another process, listening on a temporary port: address="
        << options_.listen << " temporary=" << socket->address();
    on_temporary_port_ = true;
    return socket;
  }
  static seal::RateLimiter::Secret secret() {
    seal::RateLimiter::Secret secret;
    randombytes_buf(secret.data(), secret.size());
    return secret;
  }
  // The agent's options, with the address that is known once the socket is bound.
  const peers::AgentOptions& agent_options() {
    auto& address = options_.agent.address;
    if (address.empty())
      address = with_port(options_.listen, port_of(socket_->address()));
    else if (on_temporary_port_ || port_of(address) == "0")
      address = with_port(address, port_of(socket_->address()));
    std::erase(options_.agent.seeds, address);
    service_.address_ = address;
    return options_.agent;
  }
  // Also receives on the configured address once the previous process has closed it.
  void bind_configured_address() {
    try {
      configured_socket_ = open(options_.listen);
      logging::info() << "peers: also listening on the configured address: address=" << options_.listen;
    } catch (const std::runtime_error&) {
      bind_retry_.start(bind_retry_interval);
    }
  }

  // An exception must not pass through the event loop and end the process: it ends this service only.
  template <class Work>
  void end_on_exception(Work work) {
    try {
      work();
    } catch (const std::exception& error) {
      logging::error() << "peers: thread ended by an exception, serving continues without peers: error="
                       << error.what();
      service_.failed_ = true;
      loop_.stop();
    }
  }

  void run() {
    end_on_exception([this] {
      agent_.start(clock_.now());
      if (on_temporary_port_)
        bind_retry_.start(bind_retry_interval);
      update();
    });
    if (!service_.failed_)
      loop_.run();
  }
  void handle_wake() {
    const Micros now = clock_.now();
    delegate_.on_wake(now);
    if (service_.ending_) {
      agent_.leave(now);
      send();
      loop_.stop();
      return;
    }
    update();
  }
  void run_due() {
    const Micros now = clock_.now();
    if (agent_.next_due() <= now)
      agent_.run_due(now);
    update();
  }

  bool handle_datagram(const std::string& from, std::string_view bytes) {
    using seal::RefusalCounters;
    const Micros now = clock_.now();
    const bool more = rate_limiter_.allow_read(now);
    if (!more)
      read_pause_.start(read_pause);
    if (!more || !rate_limiter_.allow_open(now, from)) {
      refusals_.count(RefusalCounters::flood, from);
      return more;
    }
    auto refusal = seal::Refusal::none;
    const auto plain = opener_.open(bytes, refusal);
    if (plain) {
      rate_limiter_.record_authentic(now, from);
      ++opened_;
      agent_.receive(now, from, *plain);
      // A timer merges the updates of all datagrams read together. A deferred job of the loop would not do:
      // it would run once more when the loop is destroyed.
      if (!std::exchange(update_due_, true))
        due_.start(Micros(0));
      return true;
    }
    constexpr RefusalCounters::Kind kind_of[] = {
        RefusalCounters::forged,      RefusalCounters::oversize, RefusalCounters::unknown_version,
        RefusalCounters::unknown_key, RefusalCounters::replayed, RefusalCounters::forged};
    refusals_.count(kind_of[static_cast<std::size_t>(refusal)], from);
    return true;
  }
  void resume() {
    socket_->resume();
    if (configured_socket_)
      configured_socket_->resume();
  }

  void send() {
    for (const auto& datagram : agent_.take_datagrams()) {
      if (datagram.bytes.size() > seal::max_plain_bytes) {
        ++too_long_;
        continue;
      }
      const auto replacement = address_overrides().find(datagram.to);
      const std::string& to = replacement == address_overrides_.end() ? datagram.to : replacement->second;
      if (socket_->send(to, sealer_.seal(datagram.bytes)))
        ++sent_;
      else
        ++unsent_;
    }
  }
  const std::unordered_map<std::string, std::string>& address_overrides() {
    const View& view = agent_.view();
    if (options_.address_overrides.empty() || std::exchange(overrides_version_, view.version) == view.version)
      return address_overrides_;
    address_overrides_.clear();
    for (const auto& [name, address] : options_.address_overrides)
      if (const auto* member = view.find(name))
        address_overrides_[member->address] = address;
    return address_overrides_;
  }
  void update() {
    update_due_ = false;
    send();
    const Micros now = clock_.now();
    if (const auto line = refusals_.take_log_line(now))
      logging::warn() << *line;
    delegate_.on_update(now, service_);
    due_.start(std::min(agent_.next_due(), delegate_.next_due()) - now);
  }

  Service& service_;
  Options options_;
  const Clock& clock_;
  Delegate& delegate_;
  net::Loop loop_;
  bool on_temporary_port_ = false;
  std::unique_ptr<UdpSocket> socket_, configured_socket_;
  seal::Sealer sealer_;
  seal::Opener opener_;
  seal::RateLimiter rate_limiter_;
  seal::RefusalCounters refusals_;
  Agent agent_;
  LoopWaker wake_;
  net::Timer due_, read_pause_, bind_retry_;
  std::uint64_t opened_ = 0, sent_ = 0, unsent_ = 0, too_long_ = 0;
  bool update_due_ = false;
  std::uint64_t overrides_version_ = ~std::uint64_t{0};
  std::unordered_map<std::string, std::string> address_overrides_;  // by the member's own address
};

Service::Service(Options options, const Clock& clock, const std::vector<Extension*>& extensions,
                 Delegate& delegate)
    : impl_(std::make_unique<Impl>(*this, std::move(options), clock, extensions, delegate)) {}

Service::~Service() {
  ending_ = true;
  wake();
  if (thread_.joinable())
    thread_.join();
}

void Service::start() {
  // The new thread blocks all signals, so that the serving loop gets them.
  sigset_t all, previous;
  sigfillset(&all);
  pthread_sigmask(SIG_SETMASK, &all, &previous);
  thread_ = std::thread([this] { impl_->run(); });
  pthread_sigmask(SIG_SETMASK, &previous, nullptr);
}

void Service::wake() {
  impl_->wake_.wake();
}
const View& Service::view() const {
  return impl_->agent_.view();
}

nlohmann::json Service::describe(Micros now) const {
  auto document = impl_->agent_.describe(now);
  nlohmann::json datagrams{{"opened", impl_->opened_},
                           {"sent", impl_->sent_},
                           {"unsent", impl_->unsent_},
                           {"too_long", impl_->too_long_}};
  for (std::size_t i = 0; i < seal::RefusalCounters::kind_count; ++i)
    datagrams["refused"][seal::RefusalCounters::names[i]] = impl_->refusals_.totals()[i];
  document["datagrams"] = std::move(datagrams);
  return document;
}

}  // namespace lemonroute::peers
