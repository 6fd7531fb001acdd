// A small world of keepers and holders with one pool: loss, repeats, reordering, delays far beyond a lease,
// processes that freeze or restart without memory, clocks that run as wrong as the terms allow. Two regions
// must never hold a right at the same true time; once all is well again, one must hold it.
#pragma once

#include <functional>
#include <queue>
#include <random>

#include "digest.h"
#include "pools/rights/holder/holder.h"

namespace lemonroute::pools::rights {

inline const PoolName pool{"a", 1};

class World {
 public:
  explicit World(std::uint64_t seed) : rng_(seed) {
    terms_.lease = Micros(1'000'000);
    terms_.clock_error = 0.001 * static_cast<double>(upto(50));
    terms_.margin = Micros(0);
    const std::size_t keepers = 3 + 2 * upto(2), regions = 2 + upto(1);
    lossy_ = 0.1 * static_cast<double>(upto(4));
    for (std::size_t k = 0; k < keepers; ++k) {
      names_.push_back("k" + std::to_string(k));
      keepers_.push_back({clock(), Keeper(terms_, 0), {}, {}});
      restart(k, true);
    }
    for (std::size_t h = 0; h < 2 * regions; ++h) {
      holders_.push_back({clock(),
                          Holder(terms_, static_cast<RegionId>(h / 2), 0, names_),
                          {},
                          static_cast<RegionId>(h / 2)});
      at(Micros(upto(300'000)), [this, h] { ask(h); });
    }
    at(Micros(upto(2'000'000)), [this] { propose(); });
    at(Micros(upto(2'000'000)), [this] { trouble(); });
  }

  // Empty: nothing broke.
  std::string run(Micros trouble_for) {
    run_until(trouble_for);
    if (!broken_.empty())
      return broken_;
    healed_ = true;
    // All that was under way or frozen for long has come by then, and eight leases more are the bound.
    run_until(trouble_for + 12 * terms_.lease);
    if (!broken_.empty())
      return broken_;
    Owned last;
    for (const auto& holder : holders_)
      last.learn(holder.it.owned());
    for (std::size_t h = 0; h < holders_.size(); ++h) {
      const bool has = holders_[h].it.right(local(holders_[h].clock)).has_value();
      if (has != (holders_[h].region == last.owner))
        return "holder " + std::to_string(h) + " is stuck";
    }
    return "";
  }
  const Digest& digest() const { return digest_; }  // of all answers and rights, with their times
  std::uint64_t handed = 0;                         // to another region than the one that had it last

 private:
  struct Clock {
    Micros offset;
    double rate;
  };
  struct KeeperProcess {
    Clock clock;
    Keeper it;
    Micros frozen_until;
    std::uint64_t life;
  };
  struct HolderProcess {
    Clock clock;
    Holder it;
    Micros frozen_until;
    RegionId region;
  };

  std::uint64_t upto(std::uint64_t n) { return rng_() % (n + 1); }
  bool chance(double p) { return static_cast<double>(rng_() % 10000) < p * 10000; }
  Clock clock() {
    const double d = terms_.clock_error;
    return {Micros(1 + upto(1'000'000'000)), upto(1) ? 1 + d : 1 - d};  // as wrong as may be, either way
  }
  Micros local(const Clock& c) const {
    return c.offset + Micros(static_cast<std::int64_t>(static_cast<double>(now_.count()) * c.rate));
  }
  Micros delay() {
    if (healed_)
      return Micros(upto(20'000));
    return chance(0.15) ? Micros(upto(3'000'000)) : Micros(upto(100'000));
  }

  void at(Micros when, std::function<void()> what) { queue_.push({when, serial_++, std::move(what)}); }
  template <class P>
  void when_awake(P& process, Micros when, std::function<void()> what) {
    at(when, [this, &process, what = std::move(what)] {
      if (now_ < process.frozen_until)
        when_awake(process, process.frozen_until, what);
      else
        what();
    });
  }
  template <class P>
  void send(P& to, std::function<void()> what) {
    if (!healed_ && chance(lossy_))
      return;
    const int copies = !healed_ && chance(0.1) ? 2 : 1;
    for (int i = 0; i < copies; ++i)
      when_awake(to, now_ + delay(), what);
  }

  void ask(std::size_t h) {
    auto& holder = holders_[h];
    const Micros sent = local(holder.clock);
    for (std::size_t k = 0; k < keepers_.size(); ++k)
      send(keepers_[k], [this, h, k, sent, known = holder.it.owned()] {
        auto& keeper = keepers_[k];
        // Times of another process mean nothing: what since says goes as an age, here as nothing.
        const auto answer = keeper.it.ask(pool, holders_[h].region, {known.ballot, known.owner, Micros(0)},
                                          local(keeper.clock));
        digest_.add(now_, h, k, answer.ok, answer.active, answer.owned.ballot.counter, answer.owned.owner);
        send(holders_[h],
             [this, h, k, sent,
              answer = Keeper::Answer{
                  {answer.owned.ballot, answer.owned.owner, Micros(0)}, answer.ok, answer.active}] {
               holders_[h].it.answered(names_[k], sent, answer, local(holders_[h].clock));
             });
      });
    when_awake(holder, now_ + terms_.asks_every(), [this, h] { ask(h); });
  }

  void propose() {
    if (healed_)
      return;
    auto& planner = holders_[upto(1)];  // of the home region; both may do so at once
    const auto& known = planner.it.owned();
    const Owned next{{known.ballot.counter + 1, 0, rng_()},
                     static_cast<RegionId>(upto(holders_.size() / 2 - 1)),
                     Micros(0)};
    for (auto& keeper : keepers_)
      if (!chance(0.3))
        send(keeper, [&keeper, next] { keeper.it.learn(pool, next); });
    at(now_ + Micros(upto(3'000'000)), [this] { propose(); });
  }

  void restart(std::size_t k, bool first = false) {
    auto& keeper = keepers_[k];
    keeper.clock = first ? keeper.clock : clock();
    keeper.it.start(local(keeper.clock));
  }
  void trouble() {
    if (healed_)
      return;
    const auto kind = upto(3);
    if (kind == 0)
      restart(upto(keepers_.size() - 1));
    if (kind == 1)
      keepers_[upto(keepers_.size() - 1)].frozen_until = now_ + Micros(upto(3'000'000));
    if (kind == 2)
      holders_[upto(holders_.size() - 1)].frozen_until = now_ + Micros(upto(3'000'000));
    if (kind == 3 && chance(0.1))
      for (std::size_t k = 0; k < keepers_.size(); ++k)
        restart(k);
    at(now_ + Micros(upto(1'500'000)), [this] { trouble(); });
  }

  void run_until(Micros end) {
    while (!queue_.empty() && queue_.top().when <= end && broken_.empty()) {
      auto event = queue_.top();
      queue_.pop();
      now_ = event.when;
      event.what();
      check();
    }
    now_ = end;
  }
  void check() {
    std::optional<RegionId> has;
    for (const auto& holder : holders_) {
      if (!holder.it.right(local(holder.clock)))
        continue;
      digest_.add(now_, holder.region);
      if (has && *has != holder.region)
        broken_ = "two regions hold a right at " + std::to_string(now_.count());
      has = holder.region;
    }
    if (has && last_ && *has != *last_)
      ++handed;
    if (has)
      last_ = has;
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
  Terms terms_;
  double lossy_ = 0;
  bool healed_ = false;
  Micros now_{};
  std::uint64_t serial_ = 0;
  std::priority_queue<Event> queue_;
  std::vector<std::string> names_;
  std::vector<KeeperProcess> keepers_;
  std::vector<HolderProcess> holders_;
  std::optional<RegionId> last_;
  std::string broken_;
  Digest digest_;
};

}  // namespace lemonroute::pools::rights
