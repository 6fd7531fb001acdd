// The membership protocol of one router: SWIM with the extensions of Lifeguard, and anti-entropy. Free of
// I/O: the agent passes in times and packets and sends what this class produces. The parts decide, this class
// connects them; its functions are split over one file for each kind of event.
#pragma once

#include <deque>
#include <string>
#include <vector>

#include "peers/agent.h"
#include "peers/membership/counters.h"
#include "peers/membership/detector/indirect_pings.h"
#include "peers/membership/detector/local_health.h"
#include "peers/membership/detector/probe.h"
#include "peers/membership/detector/probe_order.h"
#include "peers/membership/dissemination/broadcast_queue.h"
#include "peers/membership/merge/judge_claim.h"
#include "peers/membership/merge/own_identity.h"
#include "peers/membership/table.h"
#include "peers/membership/view/view_builder.h"
#include "peers/wire/packet.h"

namespace lemonroute::peers::membership {

/// Protocol state machine. Not thread-safe; times passed in must not go back.
class Membership {
 public:
  /// `seed` determines all random choices.
  Membership(AgentOptions options, std::uint64_t seed);

  /// Adds this router to its table and schedules the first tick.
  void start(Micros now);
  /// Handles a packet. False: the sender is not a member, so extensions must not get its payload.
  bool receive(Micros now, const wire::Packet& packet);
  /// Runs the tick that is due, if any.
  void run_due(Micros now);
  /// When run_due() must be called next.
  Micros next_due() const { return left_ ? Micros::max() : next_tick_; }
  /// Announces that this router leaves, and ends the protocol.
  void leave(Micros now);
  /// Queues an extension's payload for a member. Drops and counts it if the member is unknown or a bound is
  /// exceeded.
  void send_payload(Topic topic, std::string_view to, std::string bytes);

  /// Removes and returns the datagrams to send.
  std::vector<Datagram> take_datagrams() { return std::exchange(out_, {}); }
  /// Removes and returns the notices for the operator, one log line each.
  std::vector<std::string> take_notices() { return std::exchange(notices_, {}); }

  /// Changes with each change of the view.
  std::uint64_t version() const { return table_.version(); }
  /// The current view; its contents change with the next call.
  const View& view(Micros now) { return view_builder_.view(table_, now); }
  /// The event counters; the agent counts what it receives.
  Counters& counters() { return counters_; }
  /// Local health score; 0 is healthy.
  int health_score() const { return health_.score(); }
  /// Whether a newer process holds this router's name.
  bool superseded() const { return self_.superseded(); }

 private:
  using Packet = wire::Packet;

  // ticks.cpp
  void tick();
  void begin_period();
  void forget_expired_members();
  // probing.cpp
  void start_probe();
  void request_indirect_pings();
  void finish_probe();
  void send_unawaited_ping();
  void queue_priority_probe(std::string_view name);
  void ping_seed();
  // receiving.cpp
  void merge_sender(const Fact& sender);
  void handle(const Fact& sender, const wire::Ping& ping);
  void handle(const Fact& sender, const wire::PingRequest& ask);
  void handle(const Fact& sender, const wire::Ack& ack);
  void handle(const Fact& sender, const wire::Nack& nack);
  void handle(const Fact& sender, const wire::Sync& sync);
  void handle(const Fact&, const wire::Facts&) {}
  void handle(const Fact&, const wire::Payload&) {}
  void record_heard(Entry& entry);
  // facts.cpp
  void merge(const Fact& claim, const Fact& sender, bool alive_claims_only);
  void apply_verdict(Verdict verdict, Entry* entry, const Fact& claim, const Fact& sender);
  void merge_claim_about_self(const Fact& claim);
  Entry* add_member(const Fact& fact);
  void begin_suspicion(Entry& entry, const Fact& claim, const Fact& sender, bool from_gone_claims = false);
  void confirm_suspicion(Entry& entry, std::string_view by);
  void handle_gone_claim(Entry& entry, const Fact& claim, const Fact& sender);
  void handle_older_process(Entry& entry, const Fact& claim, bool first_hand);
  void send_final_pings();
  void declare_gone(Micros now);
  void update_self();
  // sending.cpp
  void send(const std::string& address, wire::Body body, const Entry* about = nullptr,
            bool with_broadcasts = true);
  void send_bucket_facts(const std::string& address, const std::vector<std::size_t>& buckets);
  void send_sync(const std::string& address, bool answer);
  void gossip();
  void add_notice(std::string line);

  std::uint64_t unix_now() const {
    return options_.start + static_cast<std::uint64_t>((now_ - started_).count());
  }

  AgentOptions options_;
  Random random_;
  Micros now_{}, started_{}, next_tick_ = Micros::max();
  std::uint64_t tick_ = 0, period_ends_ = 0, periods_ = 0;
  bool left_ = false;

  Table table_;
  OwnIdentity self_;
  ProbeOrder probe_order_;
  LocalHealth health_;
  std::optional<Probe> probe_;
  IndirectPings indirect_pings_;
  BroadcastQueue broadcasts_;
  ViewBuilder view_builder_;
  std::deque<std::string> priority_probes_;  // members to probe before the regular order
  std::uint32_t sequence_;
  int syncs_answered_ = 0, unawaited_pings_ = 0, final_pings_ = 0;  // in this period
  bool sync_sent_ = false;                                          // in this period
  std::size_t payloads_sent_ = 0, next_seed_ = 0;
  std::vector<Datagram> out_;
  std::vector<std::string> notices_;
  Counters counters_;
};

}  // namespace lemonroute::peers::membership
