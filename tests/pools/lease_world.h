// Simulates grantors and lease holders of one pool. Messages are lost, repeated, reordered and delayed by
// more than a lease; processes are suspended or restart without memory; clocks run as wrong as the lease
// terms allow. Two regions must never hold a lease at the same true time. After the faults have ended, one
// region must hold it.
#pragma once

#include <functional>
#include <queue>
#include <random>

#include "digest.h"
#include "pools/leases/holder/lease_holder.h"

namespace lemonroute::pools::leases {

inline const PoolName pool{"a", 1};

class World {
 public:
  explicit World(std::uint64_t seed) : rng_(seed) {
    terms_.lease = Micros(1'000'000);
    terms_.clock_error = 0.001 * static_cast<double>(random_up_to(50));
    terms_.margin = Micros(0);
    const std::size_t grantor_count = 3 + 2 * random_up_to(2), region_count = 2 + random_up_to(1);
    loss_ = 0.1 * static_cast<double>(random_up_to(4));
    for (std::size_t k = 0; k < grantor_count; ++k) {
      grantor_names_.push_back("k" + std::to_string(k));
      grantors_.push_back({clock(), Grantor(terms_, 0), {}, {}});
      restart(k, true);
    }
    for (std::size_t h = 0; h < 2 * region_count; ++h) {
      holders_.push_back({clock(),
                          LeaseHolder(terms_, static_cast<RegionId>(h / 2), 0, grantor_names_),
                          {},
                          static_cast<RegionId>(h / 2)});
      at(Micros(random_up_to(300'000)), [this, h] { request(h); });
    }
    at(Micros(random_up_to(2'000'000)), [this] { propose(); });
    at(Micros(random_up_to(2'000'000)), [this] { inject_fault(); });
  }

  // Runs the simulation. Returns what went wrong; empty: nothing.
  std::string run(Micros fault_duration) {
    run_until(fault_duration);
    if (!failure_.empty())
      return failure_;
    faults_ended_ = true;
    // All delayed messages have arrived and all suspended processes run again within four leases; the bound
    // for a stable owner is eight leases more.
    run_until(fault_duration + 12 * terms_.lease);
    if (!failure_.empty())
      return failure_;
    Ownership last;
    for (const auto& holder : holders_)
      last.learn(holder.state.ownership());
    for (std::size_t h = 0; h < holders_.size(); ++h) {
      const bool has_lease = holders_[h].state.lease(local(holders_[h].clock)).has_value();
      if (has_lease != (holders_[h].region == last.owner))
        return "holder " + std::to_string(h) + " is stuck";
    }
    return "";
  }
  const Digest& digest() const { return digest_; }  // of all answers and leases, with their times
  std::uint64_t handovers = 0;                      // how often another region than the last one held a lease

 private:
  struct Clock {
    Micros offset;
    double rate;
  };
  struct GrantorProcess {
    Clock clock;
    Grantor state;
    Micros suspended_until;
    std::uint64_t incarnation;
  };
  struct HolderProcess {
    Clock clock;
    LeaseHolder state;
    Micros suspended_until;
    RegionId region;
  };

  std::uint64_t random_up_to(std::uint64_t n) { return rng_() % (n + 1); }
  bool chance(double p) { return static_cast<double>(rng_() % 10000) < p * 10000; }
  Clock clock() {
    const double d = terms_.clock_error;
    // The rate has the largest allowed error, in either direction.
    return {Micros(1 + random_up_to(1'000'000'000)), random_up_to(1) ? 1 + d : 1 - d};
  }
  Micros local(const Clock& c) const {
    return c.offset + Micros(static_cast<std::int64_t>(static_cast<double>(now_.count()) * c.rate));
  }
  Micros delay() {
    if (faults_ended_)
      return Micros(random_up_to(20'000));
    return chance(0.15) ? Micros(random_up_to(3'000'000)) : Micros(random_up_to(100'000));
  }

  void at(Micros when, std::function<void()> what) { queue_.push({when, serial_++, std::move(what)}); }
  template <class Process>
  void run_when_awake(Process& process, Micros when, std::function<void()> what) {
    at(when, [this, &process, what = std::move(what)] {
      if (now_ < process.suspended_until)
        run_when_awake(process, process.suspended_until, what);
      else
        what();
    });
  }
  template <class Process>
  void send(Process& to, std::function<void()> what) {
    if (!faults_ended_ && chance(loss_))
      return;
    const int copies = !faults_ended_ && chance(0.1) ? 2 : 1;
    for (int i = 0; i < copies; ++i)
      run_when_awake(to, now_ + delay(), what);
  }

  void request(std::size_t h) {
    auto& holder = holders_[h];
    const Micros sent_at = local(holder.clock);
    for (std::size_t k = 0; k < grantors_.size(); ++k)
      send(grantors_[k], [this, h, k, sent_at, known = holder.state.ownership()] {
        auto& grantor = grantors_[k];
        // Clocks of two processes are not compared, so messages leave `granted_at` out.
        const auto answer = grantor.state.request(
            pool, holders_[h].region, {known.ballot, known.owner, Micros(0)}, local(grantor.clock));
        digest_.add(now_, h, k, answer.granted, answer.granted_to_owner, answer.ownership.ballot.counter,
                    answer.ownership.owner);
        send(holders_[h],
             [this, h, k, sent_at,
              answer = Grantor::Answer{{answer.ownership.ballot, answer.ownership.owner, Micros(0)},
                                       answer.granted,
                                       answer.granted_to_owner}] {
               holders_[h].state.on_answer(grantor_names_[k], sent_at, answer, local(holders_[h].clock));
             });
      });
    run_when_awake(holder, now_ + terms_.request_interval(), [this, h] { request(h); });
  }

  void propose() {
    if (faults_ended_)
      return;
    // Both routers of the home region may propose at the same time.
    auto& planner = holders_[random_up_to(1)];
    const auto& known = planner.state.ownership();
    const Ownership next{{known.ballot.counter + 1, 0, rng_()},
                         static_cast<RegionId>(random_up_to(holders_.size() / 2 - 1)),
                         Micros(0)};
    for (auto& grantor : grantors_)
      if (!chance(0.3))
        send(grantor, [&grantor, next] { grantor.state.learn(pool, next); });
    at(now_ + Micros(random_up_to(3'000'000)), [this] { propose(); });
  }

  void restart(std::size_t k, bool first = false) {
    auto& grantor = grantors_[k];
    grantor.clock = first ? grantor.clock : clock();
    grantor.state.start(local(grantor.clock));
  }
  void inject_fault() {
    if (faults_ended_)
      return;
    const auto fault = random_up_to(3);
    if (fault == 0)
      restart(random_up_to(grantors_.size() - 1));
    if (fault == 1)
      grantors_[random_up_to(grantors_.size() - 1)].suspended_until = now_ + Micros(random_up_to(3'000'000));
    if (fault == 2)
      holders_[random_up_to(holders_.size() - 1)].suspended_until = now_ + Micros(random_up_to(3'000'000));
    if (fault == 3 && chance(0.1))
      for (std::size_t k = 0; k < grantors_.size(); ++k)
        restart(k);
    at(now_ + Micros(random_up_to(1'500'000)), [this] { inject_fault(); });
  }

  void run_until(Micros end) {
    while (!queue_.empty() && queue_.top().when <= end && failure_.empty()) {
      auto event = queue_.top();
      queue_.pop();
      now_ = event.when;
      event.what();
      check();
    }
    now_ = end;
  }
  // Records a failure if two regions hold a lease.
  void check() {
    std::optional<RegionId> region;
    for (const auto& holder : holders_) {
      if (!holder.state.lease(local(holder.clock)))
        continue;
      digest_.add(now_, holder.region);
      if (region && *region != holder.region)
        failure_ = "two regions hold a lease at " + std::to_string(now_.count());
      region = holder.region;
    }
    if (region && last_region_ && *region != *last_region_)
      ++handovers;
    if (region)
      last_region_ = region;
  }

  struct Event {
    Micros when;
    std::uint64_t serial;
    std::function<void()> what;
    bool operator<(const Event& other) const {
      return std::pair(when, serial) > std::pair(other.when, other.serial);
    }
  };
  std::mt19937_64 rng_;
  LeaseTerms terms_;
  double loss_ = 0;
  bool faults_ended_ = false;
  Micros now_{};
  std::uint64_t serial_ = 0;
  std::priority_queue<Event> queue_;
  std::vector<std::string> grantor_names_;
  std::vector<GrantorProcess> grantors_;
  std::vector<HolderProcess> holders_;
  std::optional<RegionId> last_region_;
  std::string failure_;
  Digest digest_;
};

}  // namespace lemonroute::pools::leases
