// What the files of the world share: an attempt on its way, a call that releases a state, a client.
#pragma once

#include "held/world.h"

namespace lemonroute::held {

constexpr Micros hop = Micros(1000);  // one way

struct World::Sending : Call {
  Sending(World& world, Host& host, Asker& asker, AttemptHandler& attempt, property::Drawn draw)
      : world(world),
        host(host),
        process(host.process),
        asker(asker),
        attempt(attempt),
        draw(std::move(draw)) {
    host.attempts.insert(this);
  }
  ~Sending() override { world.let_go(*this); }
  bool not_sent() const override { return !sent; }
  World& world;
  Host& host;
  int process;
  Asker& asker;
  AttemptHandler& attempt;
  property::Drawn draw;
  bool sent = false, arrived = false, over = false;
  bool released = false;  // while it ran
  std::optional<Timers::Id> timer;
  std::shared_ptr<bool> open = std::make_shared<bool>(true);
};

struct World::Releasing : Call {
  explicit Releasing(World& world) : world(world) {}
  ~Releasing() override { *open = false; }
  World& world;
  std::shared_ptr<bool> open = std::make_shared<bool>(true);
};

struct World::Asker : Client {
  Asker(World& world, std::string name, std::size_t router)
      : world(world), name(std::move(name)), router(router) {}
  bool on_data(std::string_view) override { return true; }
  void finish() override { ++world.seen_.served, answered(0, Micros(0)); }
  void reject(Micros retry_after) override { ++world.seen_.refused, answered(1, retry_after); }
  void fail(FailureReason) override { ++world.seen_.failed, answered(2, Micros(0)); }
  void abort_stream() override { ++world.seen_.failed, answered(3, Micros(0)); }
  void answered(int how, Micros retry_after) {
    open = false;
    world.digest_.add(world.clock_.at, name, how, retry_after);
  }
  World& world;
  std::string name;
  std::size_t router;
  RequestId id = 0;
  double tokens = 0;
  std::uint64_t calls = 0;  // attempts and releases so far
  bool open = true;
};

}  // namespace lemonroute::held
