// Simulates the pools extensions of several routers in one thread, on a network with a seeded random
// generator. Routers have clocks of their own, crash and are suspended; the network is partitioned and loses
// messages. Views follow what is reachable within two seconds, as with membership.
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
                 EndpointState state = EndpointState::ready) {
  Node one;
  one.name = site + "-" + std::to_string(cell) + "-" + kind + std::to_string(n);
  one.zone = site;
  one.kind = kind;
  one.endpoint.cell = static_cast<std::uint16_t>(cell);
  one.endpoint.state = one.listed_state = state;
  return one;
}

// Regions "north" (site n) and "south" (site s) with three routers each, which are all grantors. Each site
// has three pools of four decode nodes, of which the first is reserved. Hours are UTC.
inline Settings two_regions() {
  Settings s;
  for (const std::string name : {"north", "south"}) {
    auto& region = s.regions[name];
    region.sites = {name.substr(0, 1)};
    for (int k = 0; k < 3; ++k)
      region.grantors.push_back(name + std::to_string(k));
    region.reserve = {{name.substr(0, 1), 0}};
    s.hours[name] = {"UTC", 0.5, {}, {}};
  }
  s.hysteresis = 0.1;
  s.lead_time = 0s;
  s.plan_interval = 1s;
  return s;
}

class World {
 public:
  static constexpr Micros base = std::chrono::hours(24 * 20605);  // Unix time, 2026-06-01

  // A router process and its clock.
  struct Process : peers::Outbox {
    World* world = nullptr;
    std::size_t index = 0;
    std::string name, site;
    Micros clock_offset{};
    double rate = 1;
    std::unique_ptr<PoolsExtension> extension;  // null: the process has crashed
    Micros suspended_until{};
    std::uint64_t start = 0, incarnation = 0;
    std::vector<std::string> last_alive;
    Micros local() const {
      return base + clock_offset +
             Micros(static_cast<std::int64_t>(static_cast<double>(world->now.count()) * rate));
    }
    void send(peers::Topic, std::string_view to, std::string bytes) override {
      world->deliver(*this, to, std::move(bytes));
    }
  };

  World(Settings with, std::uint64_t seed, int routers_per_region = 3)
      : settings(std::move(with)), rng(seed) {
    for (const auto& [name, region] : settings.regions)
      for (int c = 0; c < routers_per_region; ++c) {
        auto one = std::make_unique<Process>();
        one->world = this;
        one->index = processes.size();
        one->name = name + std::to_string(c);
        one->site = region.sites[0];
        // The clocks differ in time and in rate.
        one->clock_offset = Micros(static_cast<std::int64_t>(rng() % 2'000'000));
        one->rate = rng() % 2 ? 1 + settings.terms.clock_error : 1 - settings.terms.clock_error;
        processes.push_back(std::move(one));
      }
    for (const auto& [name, region] : settings.regions)
      for (const auto& site : region.sites)
        for (int cell = 0; cell < 3; ++cell)
          for (int n = 0; n < 4; ++n)
            nodes.push_back(node(site, cell, n));
    for (auto& one : processes)
      start(*one);
    update_views();
  }

  void start(Process& one) {
    ++one.incarnation;
    one.start = static_cast<std::uint64_t>(one.local().count());
    one.extension = std::make_unique<PoolsExtension>(
        PoolsExtension::Options{settings, one.name, one.site, {"writer"}, 4s, one.start}, rng());
    one.last_alive.clear();
    update_view(one);
    one.extension->on_endpoints(nodes, one.local());
    schedule_due(one, one.incarnation);
  }
  void crash(Process& one) {
    one.extension.reset();
    ++one.incarnation;
  }
  void publish_nodes() {
    for (auto& one : processes)
      if (one->extension)
        one->extension->on_endpoints(nodes, one->local());
  }

  void at(Micros when, std::function<void()> what) { queue.push({when, serial++, std::move(what)}); }
  void run(Micros until) {
    while (!queue.empty() && queue.top().when <= until && failure.empty()) {
      auto event = queue.top();
      queue.pop();
      now = event.when;
      event.what();
      check();
    }
    now = until;
  }

  // Number of routers that may send to the pool now, by region, as their serving loops see it.
  std::map<std::string, int> senders(const PoolName& name) {
    std::map<std::string, int> senders_by_region;
    for (auto& one : processes) {
      if (!one->extension)
        continue;
      const auto overlay =
          one->extension->lease_snapshot()->overlay(node(name.site, static_cast<int>(name.cell), 0));
      if (!overlay.drained && overlay.expires_at > one->local())
        ++senders_by_region[*settings.region_of(one->site)];
    }
    return senders_by_region;
  }
  // Records a failure if routers of two regions may send to one pool.
  void check() {
    std::map<PoolName, std::string> region_of_pool;
    for (auto& one : processes) {
      if (!one->extension)
        continue;
      for (const auto& [name, entry] : one->extension->lease_snapshot()->pools()) {
        if (entry.drained || entry.expires_at <= one->local())
          continue;
        const auto& region = *settings.region_of(one->site);
        const auto [found, inserted] = region_of_pool.emplace(name, region);
        if (found->second != region)
          failure = name.text() + " is sent to by two regions at " + std::to_string(now.count());
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
  std::uint64_t payloads_sent = 0, bytes_sent = 0;
  Digest digest;  // of all payloads that were sent
  std::string failure;

 private:
  bool running(const Process& one) const { return one.extension && now >= one.suspended_until; }
  void run_when_awake(Process& one, std::uint64_t incarnation, Micros when, std::function<void()> what) {
    at(when, [this, &one, incarnation, what = std::move(what)] {
      if (one.incarnation != incarnation || !one.extension)
        return;
      if (running(one))
        what();
      else
        run_when_awake(one, incarnation, one.suspended_until, what);
    });
  }
  void schedule_due(Process& one, std::uint64_t incarnation) {
    const Micros due = one.extension->next_due() - one.local();
    run_when_awake(one, incarnation, now + std::max(Micros(1000), due), [this, &one, incarnation] {
      one.extension->run_due(one.local(), one);
      schedule_due(one, incarnation);
    });
  }
  void deliver(Process& from, std::string_view to, std::string payload) {
    ++payloads_sent;
    digest.add(now, from.name, to, payload);
    bytes_sent += payload.size();
    if (payload.size() > peers::Outbox::max_payload_bytes)
      failure = "a payload of " + std::to_string(payload.size()) + " bytes";
    for (auto& one : processes) {
      if (one->name != to || !linked(from, *one) || static_cast<double>(rng() % 1000) < loss * 1000)
        continue;
      const Micros delay = Micros(1000 + rng() % 20000);
      run_when_awake(*one, one->incarnation, now + delay, [&one = *one, sender = from.name, payload] {
        one.extension->receive(one.local(), sender, payload, one);
      });
    }
  }
  // Gives the process a new view if the reachable routers have changed.
  void update_view(Process& one) {
    peers::View view;
    view.version = ++versions;
    view.own_name = one.name;
    std::vector<std::string> alive;
    for (auto& other : processes) {
      peers::Member member;
      member.name = other->name;
      member.site = other->site;
      member.start = other->start;
      const bool reachable =
          other.get() == &one || (running(*other) && linked(one, *other) && linked(*other, one));
      if (!reachable)
        member.standing = peers::Standing::gone;
      else
        alive.push_back(member.name + std::to_string(member.start));
      view.members.push_back(member);
    }
    std::sort(view.members.begin(), view.members.end(), [](auto& a, auto& b) { return a.name < b.name; });
    if (alive == one.last_alive)
      return;
    one.last_alive = alive;
    one.extension->on_view_change(one.local(), view);
  }
  void update_views() {
    for (auto& one : processes)
      if (running(*one))
        update_view(*one);
    at(now + 2s, [this] { update_views(); });
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
