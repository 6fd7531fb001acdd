/// \file
/// The cache-tier extensions of many routers on a simulated network that loses, duplicates, reorders and
/// partitions datagrams, all from one seed and on one clock. Views are set directly and at once; the tests in
/// tests/peers run the real membership protocol.
#pragma once

#include <memory>
#include <queue>
#include <random>
#include <string>
#include <vector>

#include "digest.h"
#include "tiers/extension.h"

namespace lemonroute::tiers {

inline std::string numbered(const char* letter, std::size_t number) {
  return std::string(letter).append(std::to_string(number));
}

struct NetworkOptions {
  // Totals; routers and devices alternate between the sites.
  std::size_t routers = 3, sites = 1, regions = 1, devices = 10;
  double loss_rate = 0, duplicate_rate = 0;
  Micros min_delay = std::chrono::milliseconds(1), max_delay = std::chrono::milliseconds(20);
  Limits limits{};
  std::uint64_t seed = 1;
};

class SimulatedNetwork {
 public:
  explicit SimulatedNetwork(NetworkOptions options);
  Micros now() const { return now_; }
  TiersExtension& at(std::size_t i) { return *extensions_[i]; }
  std::string name(std::size_t i) const { return numbered("c", i); }
  std::size_t size() const { return extensions_.size(); }
  const Node& device(std::size_t i) const { return devices_[i]; }

  void run(Micros span);
  template <class F>
  Micros run_until(F&& condition, Micros limit) {  // in steps of 20 ms; returns the elapsed time
    const auto from = now_;
    while (!condition() && now_ - from < limit)
      run(std::chrono::milliseconds(20));
    return now_ - from;
  }
  void partition(std::vector<int> partitions);  // a partition for each router; views follow at once
  void heal() { partition(std::vector<int>(size(), 0)); }
  void stop(std::size_t i);     // views follow at once
  void restart(std::size_t i);  // without state
  void restart_device(std::size_t j, const std::function<bool(std::size_t)>& listed_at);
  // Sends a datagram that the router did not build itself.
  void send_forged(std::size_t from, std::size_t to, std::string bytes) {
    send(from, name(to), std::move(bytes));
  }
  const Digest& digest() const { return digest_; }  // of all datagrams sent
  std::uint64_t bytes_out(std::size_t i) const { return bytes_out_[i]; }
  std::uint64_t bytes_in(std::size_t i) const { return bytes_in_[i]; }

 private:
  struct Datagram {
    Micros at;
    std::uint64_t order;
    std::size_t from, to;
    std::shared_ptr<const std::string> bytes;
    bool operator<(const Datagram& other) const {
      return std::pair(at, order) > std::pair(other.at, other.order);
    }
  };
  struct RouterOutbox : peers::Outbox {
    RouterOutbox(SimulatedNetwork& n, std::size_t f) : network(n), from(f) {}
    void send(peers::Topic, std::string_view to, std::string bytes) override {
      network.send(from, to, std::move(bytes));
    }
    SimulatedNetwork& network;
    std::size_t from;
  };
  void send(std::size_t from, std::string_view to, std::string bytes);
  void update_views();
  std::unique_ptr<TiersExtension> make(std::size_t i);
  std::string site(std::size_t i) const { return numbered("s", i % options_.sites); }
  NetworkOptions options_;
  std::mt19937_64 random_;
  Micros now_ = std::chrono::seconds(1000);
  std::vector<std::unique_ptr<TiersExtension>> extensions_;
  std::vector<int> partitions_;
  std::vector<bool> stopped_;
  std::vector<Micros> first_tick_at_;  // staggered
  std::vector<std::uint64_t> start_, bytes_out_, bytes_in_;
  std::vector<Node> devices_;
  std::vector<std::vector<Node>> lists_;  // by router
  std::priority_queue<Datagram> datagrams_;
  std::uint64_t order_ = 0;
  Digest digest_;
};

}  // namespace lemonroute::tiers
