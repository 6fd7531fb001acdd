// Several routers' pools on a seeded net in one thread: clocks of their own, cuts, crashes, freezes. Views
// follow what can be reached after two seconds, as membership would have it.
#pragma once

#include <functional>
#include <map>
#include <memory>
#include <nlohmann/json.hpp>
#include <queue>
#include <random>
#include <vector>

#include "digest.h"
#include "pools/extension.h"

namespace lemonroute::pools::test {

using namespace std::chrono_literals;

inline Node node(const std::string& site, int cell, int n, const std::string& kind = "writer",
                 EndpointState phase = EndpointState::ready) {
  Node one;
  one.name = site + "-" + std::to_string(cell) + "-" + kind + std::to_string(n);
  one.zone = site;
  one.kind = kind;
  one.endpoint.cell = static_cast<std::uint16_t>(cell);
  one.endpoint.state = one.listed_state = phase;
  return one;
}

// Regions "north" (site n) and "south" (site s), three routers each, all keepers; three pools of four writers
// each, the first one reserved. Hours are UTC.
inline Settings two_regions() {
  Settings s;
  for (const std::string name : {"north", "south"}) {
    auto& region = s.regions[name];
    region.sites = {name.substr(0, 1)};
    for (int k = 0; k < 3; ++k)
      region.keepers.push_back(name + std::to_string(k));
    region.reserve = {{name.substr(0, 1), 0}};
    s.hours[name] = {"UTC", 0.5, {}, {}};
  }
  s.hysteresis = 0.1;
  s.ahead = 0s;
  s.plans_every = 1s;
  return s;
}

class World {
 public:
  static constexpr Micros base = std::chrono::hours(24 * 20605);  // Unix time, 2026-06-01

  struct Process : peers::Outbox {
    World* world = nullptr;
    std::size_t index = 0;
    std::string name, site;
    Micros skew{};
    double rate = 1;
    std::unique_ptr<Pools> pools;  // null: crashed
    Micros frozen_until{};
    std::uint64_t start = 0, life = 0;
    std::vector<std::string> seen_as_alive;
    Micros local() const {
      return base + skew + Micros(static_cast<std::int64_t>(static_cast<double>(world->now.count()) * rate));
    }
    void send(peers::Topic, std::string_view to, std::string bytes) override {
      world->carry(*this, to, std::move(bytes));
    }
  };

  World(Settings with, std::uint64_t seed, int routers_each = 3) : settings(std::move(with)), rng(seed) {
    for (const auto& [name, region] : settings.regions)
      for (int c = 0; c < routers_each; ++c) {
        auto one = std::make_unique<Process>();
        one->world = this;
        one->index = processes.size();
        one->name = name + std::to_string(c);
        one->site = region.sites[0];
        // Clocks that show different times, and run differently.
        one->skew = Micros(static_cast<std::int64_t>(rng() % 2'000'000));
        one->rate = rng() % 2 ? 1 + settings.terms.clock_error : 1 - settings.terms.clock_error;
        processes.push_back(std::move(one));
      }
    for (const auto& [name, region] : settings.regions)
      for (const auto& site : region.sites)
        for (int cell = 0; cell < 3; ++cell)
          for (int n = 0; n < 4; ++n)
            nodes.push_back(node(site, cell, n));
    for (auto& one : processes)
      begin(*one);
    look();
  }

  void begin(Process& one) {
    ++one.life;
    one.start = static_cast<std::uint64_t>(one.local().count());
    one.pools = std::make_unique<Pools>(
        Pools::Options{settings, one.name, one.site, {"writer"}, 4s, one.start}, rng());
    one.seen_as_alive.clear();
    show(one);
    one.pools->on_endpoints(nodes, one.local());
    wake(one, one.life);
  }
  void crash(Process& one) {
    one.pools.reset();
    ++one.life;
  }
  void list() {
    for (auto& one : processes)
      if (one->pools)
        one->pools->on_endpoints(nodes, one->local());
  }

  void at(Micros when, std::function<void()> what) { queue.push({when, serial++, std::move(what)}); }
  void run(Micros until) {
    while (!queue.empty() && queue.top().when <= until && broken.empty()) {
      auto event = queue.top();
      queue.pop();
      now = event.when;
      event.what();
      check();
    }
    now = until;
  }

  // Who may send to that pool now, by region; as the serving loops see it.
  std::map<std::string, int> senders(const PoolName& name) {
    std::map<std::string, int> by;
    for (auto& one : processes) {
      if (!one->pools)
        continue;
      const auto laid = one->pools->rights()->overlay(node(name.site, static_cast<int>(name.cell), 0));
      if (!laid.drained && laid.expires_at > one->local())
        ++by[*settings.region_of(one->site)];
    }
    return by;
  }
  void check() {
    std::map<PoolName, std::string> has;
    for (auto& one : processes) {
      if (!one->pools)
        continue;
      for (const auto& [name, entry] : one->pools->rights()->pools()) {
        if (entry.away || entry.until <= one->local())
          continue;
        const auto& region = *settings.region_of(one->site);
        const auto [at, fresh] = has.emplace(name, region);
        if (at->second != region)
          broken = name.text() + " is sent to by two regions at " + std::to_string(now.count());
      }
    }
  }

  Settings settings;
  std::mt19937_64 rng;
  Micros now{};
  std::vector<Node> nodes;
  std::vector<std::unique_ptr<Process>> processes;
  std::function<bool(const Process&, const Process&)> linked = [](auto&, auto&) { return true; };
  double loss = 0;
  std::uint64_t payloads = 0, bytes = 0;
  Digest digest;  // of all that was sent
  std::string broken;

 private:
  bool awake(const Process& one) const { return one.pools && now >= one.frozen_until; }
  void when_awake(Process& one, std::uint64_t life, Micros when, std::function<void()> what) {
    at(when, [this, &one, life, what = std::move(what)] {
      if (one.life != life || !one.pools)
        return;
      if (awake(one))
        what();
      else
        when_awake(one, life, one.frozen_until, what);
    });
  }
  void wake(Process& one, std::uint64_t life) {
    const Micros due = one.pools->next_due() - one.local();
    when_awake(one, life, now + std::max(Micros(1000), due), [this, &one, life] {
      one.pools->run_due(one.local(), one);
      wake(one, life);
    });
  }
  void carry(Process& from, std::string_view to, std::string payload) {
    ++payloads;
    digest.add(now, from.name, to, payload);
    bytes += payload.size();
    if (payload.size() > peers::Outbox::max_payload_bytes)
      broken = "a payload of " + std::to_string(payload.size()) + " bytes";
    for (auto& one : processes) {
      if (one->name != to || !linked(from, *one) || static_cast<double>(rng() % 1000) < loss * 1000)
        continue;
      const Micros delay = Micros(1000 + rng() % 20000);
      when_awake(*one, one->life, now + delay, [&one = *one, sender = from.name, payload] {
        one.pools->receive(one.local(), sender, payload, one);
      });
    }
  }
  void show(Process& one) {
    peers::View view;
    view.version = ++versions;
    view.own_name = one.name;
    std::vector<std::string> alive;
    for (auto& other : processes) {
      peers::Member member;
      member.name = other->name;
      member.site = other->site;
      member.start = other->start;
      const bool there = other.get() == &one || (awake(*other) && linked(one, *other) && linked(*other, one));
      if (!there)
        member.standing = peers::Standing::gone;
      else
        alive.push_back(member.name + std::to_string(member.start));
      view.members.push_back(member);
    }
    std::sort(view.members.begin(), view.members.end(), [](auto& a, auto& b) { return a.name < b.name; });
    if (alive == one.seen_as_alive)
      return;
    one.seen_as_alive = alive;
    one.pools->on_view_change(one.local(), view);
  }
  void look() {
    for (auto& one : processes)
      if (awake(*one))
        show(*one);
    at(now + 2s, [this] { look(); });
  }

  struct Event {
    Micros when;
    std::uint64_t serial;
    std::function<void()> what;
    bool operator<(const Event& other) const {
      return std::pair(when, serial) > std::pair(other.when, other.serial);
    }
  };
  std::priority_queue<Event> queue;
  std::uint64_t serial = 0, versions = 0;
};

}  // namespace lemonroute::pools::test
