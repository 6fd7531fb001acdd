// Many extensions of the map and a net between them that loses, repeats, reorders and cuts, all from one seed
// and on one clock. Views are given, at once and right, but for what a case makes of them; the world of
// tests/peers has real ones.
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

struct NetOptions {
  std::size_t routers = 3, sites = 1, regions = 1, devices = 10;  // in all, by turns of the sites
  double lose = 0, repeat = 0;
  Micros least_delay = std::chrono::milliseconds(1), most_delay = std::chrono::milliseconds(20);
  Limits limits{};
  std::uint64_t seed = 1;
};

class Net {
 public:
  explicit Net(NetOptions options);
  Micros now() const { return now_; }
  Tiers& at(std::size_t i) { return *extensions_[i]; }
  std::string name(std::size_t i) const { return numbered("c", i); }
  std::size_t size() const { return extensions_.size(); }
  const Node& device(std::size_t i) const { return devices_[i]; }

  void run(Micros span);
  template <class F>
  Micros until(F&& holds, Micros most) {  // in steps of 20 ms; `most` where it never does
    const auto from = now_;
    while (!holds() && now_ - from < most)
      run(std::chrono::milliseconds(20));
    return now_ - from;
  }
  void cut(std::vector<int> parts);  // a part for each router; views follow at once
  void heal() { cut(std::vector<int>(size(), 0)); }
  void kill(std::size_t i);     // and the views notice
  void restart(std::size_t i);  // knows nothing
  void restart_device(std::size_t j, const std::function<bool(std::size_t)>& listed_at);
  void say(std::size_t from, std::size_t to, std::string bytes) {
    post(from, name(to), std::move(bytes));
  }                                                 // forged
  const Digest& digest() const { return digest_; }  // of all that was sent
  std::uint64_t bytes_out(std::size_t i) const { return bytes_out_[i]; }
  std::uint64_t bytes_in(std::size_t i) const { return bytes_in_[i]; }

 private:
  struct Post {
    Micros at;
    std::uint64_t order;
    std::size_t from, to;
    std::shared_ptr<const std::string> bytes;
    bool operator<(const Post& other) const {
      return std::pair(at, order) > std::pair(other.at, other.order);
    }
  };
  struct Out : peers::Outbox {
    Out(Net& n, std::size_t f) : net(n), from(f) {}
    void send(peers::Topic, std::string_view to, std::string bytes) override {
      net.post(from, to, std::move(bytes));
    }
    Net& net;
    std::size_t from;
  };
  void post(std::size_t from, std::string_view to, std::string bytes);
  void tell_views();
  std::unique_ptr<Tiers> make(std::size_t i);
  std::string site(std::size_t i) const { return numbered("s", i % options_.sites); }
  NetOptions options_;
  std::mt19937_64 random_;
  Micros now_ = std::chrono::seconds(1000);
  std::vector<std::unique_ptr<Tiers>> extensions_;
  std::vector<int> part_;
  std::vector<bool> dead_;
  std::vector<Micros> begins_;  // processes tick out of step
  std::vector<std::uint64_t> start_, bytes_out_, bytes_in_;
  std::vector<Node> devices_;
  std::vector<std::vector<Node>> lists_;  // of each router
  std::priority_queue<Post> posts_;
  std::uint64_t order_ = 0;
  Digest digest_;
};

}  // namespace lemonroute::tiers
