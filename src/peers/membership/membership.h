// SWIM with Lifeguard's additions and anti-entropy, of one router. Free of I/O; the agent gives it times
// and packets and takes what is to be sent. Its parts decide, this class connects them: one file for each
// kind of occasion.
#pragma once

#include <deque>
#include <string>
#include <vector>

#include "peers/agent.h"
#include "peers/membership/counters.h"
#include "peers/membership/detector/health.h"
#include "peers/membership/detector/helping.h"
#include "peers/membership/detector/probe.h"
#include "peers/membership/detector/probe_order.h"
#include "peers/membership/dissemination/news.h"
#include "peers/membership/merge/judge.h"
#include "peers/membership/merge/own_name.h"
#include "peers/membership/table.h"
#include "peers/membership/view/present.h"
#include "peers/wire/packet.h"

namespace lemonroute::peers::membership {

class Membership {
 public:
  Membership(Options options, std::uint64_t seed);

  void start(Micros now);
  bool receive(Micros now,
               const wire::Packet& packet);  // false: not from a member, its payload is not for extensions
  void run_due(Micros now);
  Micros next_due() const { return left_ ? Micros::max() : next_tick_; }
  void leave(Micros now);
  void payload(Topic topic, std::string_view to, std::string bytes);

  std::vector<Datagram> take() { return std::exchange(out_, {}); }
  std::vector<std::string> take_notices() { return std::exchange(notices_, {}); }  // lines for the operator

  std::uint64_t version() const { return table_.version(); }
  const View& view(Micros now) { return present_.view(table_, now); }
  Counters& counters() { return counters_; }
  int health() const { return health_.score(); }
  bool superseded() const { return own_.superseded(); }

 private:
  using Packet = wire::Packet;

  // ticks.cpp
  void tick();
  void begin_period();
  void forget_old();
  // probing.cpp
  void probe();
  void ask_helpers();
  void judge_probe();
  void send_aside();
  void again(std::string_view name);
  void ping_seed();
  // receiving.cpp
  void greet(const Fact& sender);
  void on(const Fact& sender, const wire::Ping& ping);
  void on(const Fact& sender, const wire::Ask& ask);
  void on(const Fact& sender, const wire::Ack& ack);
  void on(const Fact& sender, const wire::Nack& nack);
  void on(const Fact& sender, const wire::Sync& sync);
  void on(const Fact&, const wire::Facts&) {}
  void on(const Fact&, const wire::Payload&) {}
  void heard_from(Entry& entry);
  // facts.cpp
  void take(const Fact& said, const Fact& sender, bool only_good);
  void apply(Verdict verdict, Entry* entry, const Fact& said, const Fact& sender);
  void about_me(const Fact& said);
  Entry* add(const Fact& fact);
  void suspect(Entry& entry, const Fact& said, const Fact& sender, bool by_hearsay = false);
  void confirm(Entry& entry, std::string_view by);
  void hearsay(Entry& entry, const Fact& said, const Fact& sender);
  void older(Entry& entry, const Fact& said, bool first_hand);
  void last_calls();
  void give_up(Micros now);
  void self_changed();
  // sending.cpp
  void send(const std::string& address, wire::Body body, const Entry* about = nullptr, bool with_news = true);
  void send_bucket_facts(const std::string& address, const std::vector<std::size_t>& buckets);
  void sync_with(const std::string& address, bool answer);
  void gossip();
  void notice(std::string line);

  std::uint64_t unix_now() const {
    return options_.start + static_cast<std::uint64_t>((now_ - started_).count());
  }

  Options options_;
  Random random_;
  Micros now_{}, started_{}, next_tick_ = Micros::max();
  std::uint64_t tick_ = 0, period_ends_ = 0, periods_ = 0;
  bool left_ = false;

  Table table_;
  OwnName own_;
  ProbeOrder order_;
  Health health_;
  std::optional<Probe> probe_;
  Helping helping_;
  News news_;
  Present present_;
  std::deque<std::string> again_;
  std::uint32_t sequence_;
  int syncs_answered_ = 0, asides_ = 0, last_calls_ = 0;
  bool synced_ = false;
  std::size_t payloads_ = 0, next_seed_ = 0;
  std::vector<Datagram> out_;
  std::vector<std::string> notices_;
  Counters counters_;
};

}  // namespace lemonroute::peers::membership
