#include "peers/service.h"

#include <pthread.h>
#include <sodium.h>

#include <algorithm>
#include <csignal>
#include <nlohmann/json.hpp>
#include <stdexcept>
#include <unordered_map>

#include "base/log.h"
#include "peers/seal/flood.h"
#include "peers/seal/refusals.h"
#include "peers/seal/seal.h"
#include "peers/udp.h"
#include "peers/wake.h"

namespace lemonroute::peers {
namespace {

using std::chrono::milliseconds;

constexpr milliseconds rest_of_flood{
    5};  // what is not read meanwhile the kernel drops, once its buffer is full
constexpr milliseconds try_home_again{500};
constexpr std::size_t most_senders = 8192;  // twice the members of a view: a restart is another sender

std::uint64_t drawn() {
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

struct Service::Parts {
  Parts(Service& service, Options options, const Clock& clock, const std::vector<Extension*>& extensions,
        Desk& desk)
      : service_(service),
        options_(std::move(options)),
        clock_(clock),
        desk_(desk),
        socket_(listen()),
        sealer_(options_.keys.at(0), {drawn(), options_.agent.start}),
        opener_(options_.keys, most_senders),
        flood_({}, secret()),
        agent_(settled(), drawn()),
        wake_(loop_, [this] { guarded([this] { woken(); }); }),
        due_(loop_, [this] { guarded([this] { run_due(); }); }),
        rest_(loop_, [this] { resume(); }),
        home_again_(loop_, [this] { take_home(); }) {
    for (Extension* extension : extensions)
      agent_.add(*extension);
  }

  std::unique_ptr<Udp> open(const std::string& address) {
    return std::make_unique<Udp>(loop_, address, seal::most_sealed, [this](auto& from, auto bytes) {
      bool more = true;
      guarded([&] { more = came(from, bytes); });
      return more;
    });
  }
  std::unique_ptr<Udp> listen() {
    if (sodium_init() < 0)
      throw std::runtime_error("peers: libsodium can't be used");
    try {
      return open(options_.listen);
    } catch (const std::runtime_error&) {
      if (!options_.beside_another)
        throw;
    }
    auto socket = open(with_port(options_.listen, "0"));
    logging::info() << "peers: " << options_.listen << " is another process's still, on " << socket->address()
                    << " meanwhile";
    away_ = true;
    return socket;
  }
  static seal::Flood::Secret secret() {
    seal::Flood::Secret secret;
    randombytes_buf(secret.data(), secret.size());
    return secret;
  }
  // Known once the socket is there.
  const peers::Options& settled() {
    auto& address = options_.agent.address;
    if (address.empty())
      address = with_port(options_.listen, port_of(socket_->address()));
    else if (away_ || port_of(address) == "0")
      address = with_port(address, port_of(socket_->address()));
    std::erase(options_.agent.seeds, address);
    service_.address_ = address;
    return options_.agent;
  }
  // The address others were told to join by, once the process before this one has let go of it.
  void take_home() {
    try {
      home_ = open(options_.listen);
      logging::info() << "peers: takes " << options_.listen << " too";
    } catch (const std::runtime_error&) {
      home_again_.start(try_home_again);
    }
  }

  // Guards against an exception that would pass through the event loop, which can't bear one, and end what
  // serves.
  template <class Work>
  void guarded(Work work) {
    try {
      work();
    } catch (const std::exception& error) {
      logging::error() << "peers: ended by a fault, serving goes on alone: " << error.what();
      service_.failed_ = true;
      loop_.stop();
    }
  }

  void run() {
    guarded([this] {
      agent_.start(clock_.now());
      if (away_)
        home_again_.start(try_home_again);
      round();
    });
    if (!service_.failed_)
      loop_.run();
  }
  void woken() {
    const Micros now = clock_.now();
    desk_.woken(now);
    if (service_.ending_) {
      agent_.leave(now);
      send();
      loop_.stop();
      return;
    }
    round();
  }
  void run_due() {
    const Micros now = clock_.now();
    if (agent_.next_due() <= now)
      agent_.run_due(now);
    round();
  }

  bool came(const std::string& from, std::string_view bytes) {
    using seal::Refusals;
    const Micros now = clock_.now();
    const bool more = flood_.take(now);
    if (!more)
      rest_.start(rest_of_flood);
    if (!more || !flood_.look(now, from)) {
      refusals_.count(Refusals::flood, from);
      return more;
    }
    auto why = seal::Refusal::none;
    const auto plain = opener_.open(bytes, why);
    if (plain) {
      flood_.prove(now, from);
      ++opened_;
      agent_.receive(now, from, *plain);
      // One round for all that has come together. Danger: a deferred job would run once more as the loop
      // goes.
      if (!std::exchange(round_due_, true))
        due_.start(Micros(0));
      return true;
    }
    constexpr Refusals::Kind kinds[] = {Refusals::forged, Refusals::oversize, Refusals::version,
                                        Refusals::key,    Refusals::replay,   Refusals::forged};
    refusals_.count(kinds[static_cast<std::size_t>(why)], from);
    return true;
  }
  void resume() {
    socket_->resume();
    if (home_)
      home_->resume();
  }

  void send() {
    for (const auto& datagram : agent_.take()) {
      if (datagram.bytes.size() > seal::most_plain) {
        ++too_long_;
        continue;
      }
      const auto instead = via().find(datagram.to);
      const std::string& to = instead == via_.end() ? datagram.to : instead->second;
      if (socket_->send(to, sealer_.seal(datagram.bytes)))
        ++sent_;
      else
        ++unsent_;
    }
  }
  const std::unordered_map<std::string, std::string>& via() {
    const View& view = agent_.view();
    if (options_.via.empty() || std::exchange(via_version_, view.version) == view.version)
      return via_;
    via_.clear();
    for (const auto& [name, address] : options_.via)
      if (const auto* member = view.find(name))
        via_[member->address] = address;
    return via_;
  }
  void round() {
    round_due_ = false;
    send();
    const Micros now = clock_.now();
    if (const auto line = refusals_.line(now))
      logging::warn() << *line;
    desk_.round(now, service_);
    due_.start(std::min(agent_.next_due(), desk_.next_due()) - now);
  }

  Service& service_;
  Options options_;
  const Clock& clock_;
  Desk& desk_;
  net::Loop loop_;
  bool away_ = false;
  std::unique_ptr<Udp> socket_, home_;
  seal::Sealer sealer_;
  seal::Opener opener_;
  seal::Flood flood_;
  seal::Refusals refusals_;
  Agent agent_;
  Wake wake_;
  net::Timer due_, rest_, home_again_;
  std::uint64_t opened_ = 0, sent_ = 0, unsent_ = 0, too_long_ = 0;
  bool round_due_ = false;
  std::uint64_t via_version_ = ~std::uint64_t{0};
  std::unordered_map<std::string, std::string> via_;  // by the address that is replaced
};

Service::Service(Options options, const Clock& clock, const std::vector<Extension*>& extensions, Desk& desk)
    : parts_(std::make_unique<Parts>(*this, std::move(options), clock, extensions, desk)) {}

Service::~Service() {
  ending_ = true;
  wake();
  if (thread_.joinable())
    thread_.join();
}

void Service::start() {
  // Signals are the serving loop's.
  sigset_t all, before;
  sigfillset(&all);
  pthread_sigmask(SIG_SETMASK, &all, &before);
  thread_ = std::thread([this] { parts_->run(); });
  pthread_sigmask(SIG_SETMASK, &before, nullptr);
}

void Service::wake() {
  parts_->wake_.ring();
}
const View& Service::view() const {
  return parts_->agent_.view();
}

nlohmann::json Service::describe(Micros now) const {
  auto all = parts_->agent_.describe(now);
  nlohmann::json datagrams{{"opened", parts_->opened_},
                           {"sent", parts_->sent_},
                           {"unsent", parts_->unsent_},
                           {"too_long", parts_->too_long_}};
  for (std::size_t i = 0; i < seal::Refusals::kinds; ++i)
    datagrams["refused"][seal::Refusals::names[i]] = parts_->refusals_.all()[i];
  all["datagrams"] = std::move(datagrams);
  return all;
}

}  // namespace lemonroute::peers
