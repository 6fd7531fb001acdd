// The clients of a scene: a steady stream of requests over some routers, and single ones.
#pragma once

#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <random>

#include "demo/stand_ins.h"
#include "http/client.h"
#include "scene/scene.h"
#include "watch/ledger.h"

namespace lemonroute::rig {

class Clients {
 public:
  // Where a router's clients go, and what is known of it; nothing: nobody would ask there now.
  struct Door {
    std::string address, region;
    unsigned generation = 0;
  };
  using Find = std::function<std::optional<Door>(const std::string& router)>;
  Clients(net::Loop& loop, const Clock& clock, Ledger& ledger, std::uint64_t seed, Find find);

  void load(const Step& step);              // rate 0: off
  void ask(const Step& step);               // so many at once, in turns
  void dropped(const std::string& router);  // its process ended or froze: whoever waits there goes
  void run_due();                           // clients that have waited past their time go
  // How long first events took, of all that were served; in the order of their coming.
  const std::vector<Micros>& waits() const { return waits_; }

 private:
  struct Waiting {
    std::string router;
    Micros since{}, until{};
    bool heard = false;
    std::unique_ptr<demo::Client> client;
  };
  void next();
  void put(const Step& step, const std::string& router);
  void ended(const std::string& id, const std::string& how);

  net::Loop& loop_;
  const Clock& clock_;
  Ledger& ledger_;
  std::mt19937_64 random_;
  Find find_;
  http::Client pool_;
  Step load_;
  std::size_t turn_ = 0, count_ = 0;
  std::map<std::string, Waiting> waiting_;
  std::vector<Micros> waits_;
  Micros due_at_{};
  net::Timer due_;
};

}  // namespace lemonroute::rig
