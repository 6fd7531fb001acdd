// The deterministic world of the schedules: routers (the real core and Scheduler) among nodes behind a
// network that loses, delays and cuts what they say. What arrives at a node is told to the oracle; the
// routers are told what their sockets would tell them.
#pragma once

#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

#include "core/drawn.h"
#include "core/router.h"
#include "core/timers.h"
#include "digest.h"
#include "held/held_oracle.h"
#include "held/schedule.h"

namespace lemonroute::held {

using namespace std::chrono_literals;

// How often each path was walked, over all schedules.
struct Seen {
  int granted = 0, granted_at_close = 0, taken = 0, served = 0, swallowed = 0, delayed = 0,
      released_waiting = 0, released = 0, lost_state = 0, refused = 0, failed = 0;
};

class World : public NodeTransport {
 public:
  World(const Schedule& schedule, Seen& seen);
  ~World() override;
  std::string run();  // the break of the rule, in words; empty: none
  const std::vector<std::string>& trace() const { return trace_; }
  const Digest& digest() const { return digest_; }  // of all that happened, with its times

 private:
  struct Sending;
  struct Releasing;
  struct Asker;
  struct Host {
    std::string name;
    Role role = Role::prefill;
    EndpointState phase = EndpointState::ready;
    Micros started{};
    Micros clock_error{};  // of what it states of its start
    int process = 0;
    bool alive = true;    // its process runs
    bool machine = true;  // its machine answers, if only with a reset
    Micros lost_to_until{}, lost_from_until{}, delayed_until{}, hangs_until{}, slow_until{};
    std::set<Sending*> attempts;
    std::set<std::string> held;
  };
  struct RouterState {
    std::unique_ptr<Router> core;
    Micros list_late_until{};
    std::size_t taken_over_by = 0;  // itself while it takes requests
    std::uint32_t version = 0;
    int processes = 1;
  };
  struct Stopped : Clock {
    Micros at = 24h;
    Micros now() const override { return at; }
  };

  std::unique_ptr<Call> start_attempt(const Node& node, const Prompt& prompt, Micros within,
                                      AttemptHandler& attempt) override;
  std::unique_ptr<Call> release_reservation(const Node& node, const std::string& id,
                                            std::function<void(bool)> done) override;
  std::unique_ptr<Call> probe(const Node&, std::function<void(const AttemptResult&)>) override {
    return nullptr;
  }
  void close_idle_connections(const Node&) override {}
  void set_limits(const Limits&) override {}

  void play(const Step& step);
  void ask(const Step& step);
  void fault(const Step& step);
  void vanish(Host& host, Micros span);
  void restart(Host& host, Micros span);
  void end_process(Host& host);
  void start_process(Host& host);
  void reset(Host& host);
  void drain(Host& host, Micros span);
  void stop_router(std::size_t index);
  void add_router();
  void list(Host& host);
  void tell(std::size_t index, const std::string& name);

  // What is under way to a node: `arrive` runs once its last byte is there, unless `valid` says no by then.
  void carry(Host& host, std::function<bool()> valid, std::function<void()> arrive);
  void arrive(Sending& sending);
  void read(Sending& sending);
  void write(Sending& sending);
  void stream(Sending& sending, int left);
  void grant(Host& host, const std::string& request);
  void free(const std::string& request);
  bool decodes(const std::string& request) const;  // one has arrived and is out
  void end(Sending& sending, AttemptResult result);
  void let_go(Sending& sending);
  void answer(Sending& sending, AttemptResult result);
  void when_it_runs(Sending& sending, std::function<void()> job);
  void later(Sending& sending, Micros after, std::function<void()> job);
  void at(Micros when, std::function<void()> job) { timers_.add(when, std::move(job)); }
  void note(const std::string& line);
  bool swallows(const Host& host) const { return clock_.at < host.lost_to_until || !host.machine; }
  bool hangs(const Host& host) const { return clock_.at < host.hangs_until; }
  bool comes_up(const Host& host) const;
  property::Drawn drawing(const std::string& request);
  std::optional<Micros> connecting(const Host& host, property::Drawn& draw);

  const Schedule& schedule_;
  Seen& seen_;
  Stopped clock_;
  Timers timers_;
  HeldOracle oracle_;
  std::vector<std::string> trace_;
  Digest digest_;
  std::vector<std::unique_ptr<Host>> hosts_;
  std::map<std::string, Host*> by_name_;
  std::map<std::string, std::unique_ptr<Asker>> askers_;
  std::vector<RouterState> routers_;  // last: their calls know all of the above
};

}  // namespace lemonroute::held
