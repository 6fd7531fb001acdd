// The core: requests, their attempts and timers, the list of nodes and what is held at them. It puts events
// to the Scheduler and carries its actions out. It decides nothing and knows no protocol.
#pragma once

#include <deque>
#include <functional>
#include <list>
#include <map>
#include <optional>
#include <unordered_map>

#include "core/bans.h"
#include "core/demand.h"
#include "core/figures.h"
#include "core/guide.h"
#include "core/timers.h"
#include "core/types.h"

namespace lemonroute {

class Router {
 public:
  Router(Settings settings, std::vector<std::string> zones, std::vector<std::string> kinds,
         std::uint64_t seed, const Clock& clock, Nodes& nodes);
  ~Router();
  Router(const Router&) = delete;
  Router& operator=(const Router&) = delete;

  // ---- for discovery ----
  struct Listed {
    std::string name, address, zone, kind;
    std::uint16_t cell = 0;
    Phase phase = Phase::ready;
    float weight = 1;
    Micros started{};
  };
  void update(ListKind kind, std::uint32_t version, const std::vector<Listed>& listed);

  // ---- for operators ----
  // From now on. Requests that were taken keep their class and their most attempts.
  void retune(Settings settings, std::vector<std::string> zones, std::vector<std::string> kinds);
  enum class Ordered { done, never_listed, not_stored };
  Ordered take_out(
      const std::string& node);  // no new work to it, whatever discovery lists, until it is put back
  Ordered put_back(const std::string& node);
  void keep_bans(std::string path, LockFile& lock);  // takes those that are there
  void refresh_bans();                               // takes what another process of this router has changed
  Figures figures() const;
  std::string name_of(HostId id) const;  // of a listed node; "" for any other
  // From now on `to` hears of each choice of the module's, before what comes of it. An empty one ends that.
  void explain(std::function<void(const Choice&)> to) { scheduler_.explain(std::move(to)); }

  // ---- for what routers know together ----
  void guide(std::shared_ptr<const Guide> guide);  // from now on; none: what discovery and operators say
  void observer(
      NodeObserver* observer);  // hears what is seen of nodes; outlives this, or is taken back with null

  // ---- for fronts ----
  enum class Taken { yes, unknown_kind, duplicate, late };  // late: its time was over before it was whole
  // Takes a request; its one answer goes to `client`. Unless it says yes, nothing was taken.
  Taken take(const ClientRequest& client_request, Client& client, RequestId& id);
  void gone(RequestId id);     // the client has gone: it is told nothing more
  void drained(RequestId id);  // the client can take more events

  // ---- for another process of this router ----
  // Gives away streams that stand between two events, each once `give` has sent it; the others stay.
  void pass_streams(const std::function<bool(const PassedStream&)>& give);
  bool adopt(const PassedStream& stream, Client& client, RequestId& id);  // goes on with one that was given
  HandoverState handover_state() const;                 // of ready nodes, where there is something to tell
  void take_over(const HandoverState& handover_state);  // what another process told
  // The process is ended soon after `at`: no request waits for its first event longer, one taken later
  // included.
  void end_waits(Micros at);

  // ---- for the loop ----
  std::optional<Micros> next_due() const { return timers_.next(); }
  void run_due();
  std::function<void()> on_change;  // after anything that may have moved next_due, or made it idle

  std::size_t open() const { return open_; }  // requests taken and not answered
  std::size_t known() const { return known_.size(); }
  bool idle() const { return requests_.empty() && releases_.empty(); }
  std::size_t ready_nodes() const;

 private:
  struct AttemptState;
  struct RequestState;
  struct StateHolder;
  struct PendingRelease;
  // When a node last answered here, and when it last failed to; 0 = never.
  struct Liveness {
    Micros answered{}, failed{};
  };

  void put(Event event);
  void pump();
  void decide(const Event& event);
  void act(const Send& send);
  void act(const Refuse& refuse);
  void act(const Fail& fail);
  void act(const Cancel& cancel);
  void act(const Sleep& sleep);
  void act(const Probe& probe);
  void act(const HangUp& hang_up);
  void act(const Log& log);
  void act(const Release& release);
  void act(const Evict&) {}  // the module never asks for these, whatever the settings allow
  void act(const SetAside&) {}
  void act(const Tell&) {}
  void act(const Subscribe&) {}  // the watch is always on here
  void act(const Snapshot&) {}

  void event(AttemptState& attempt, std::string_view data);
  void done(AttemptState& attempt, Result result);
  void tell_observer(const RequestState& entry, const AttemptState& ended, const Node& node,
                     const Completed& completed);
  void note_state(RequestState& entry, const AttemptState& ended, const Result& result, bool never_ran);
  void note_liveness(const AttemptState& ended, Outcome outcome);
  void note_answered(HostId host);
  void note_failed(HostId host);
  void watch_silence(AttemptState& attempt);
  void begin_by(AttemptState& attempt, Micros at, Result or_else);
  void hurry_to_leaving();
  void stalled(AttemptState& attempt);
  void timed_out(AttemptState& attempt);
  void end(RequestState& entry);
  void settle();
  void start_release(const RequestState& entry, const std::vector<StateHolder>& holders);
  void let_go_leftovers(RequestState& entry);
  void try_release(PendingRelease& released);
  void ask_to_release(PendingRelease& released, const Node& node);
  void release_answered(std::uint64_t call, bool arrived);
  void try_release_at(PendingRelease& released, Micros at);
  void end_release_by(PendingRelease& released) const;
  void forget_ended_holders(PendingRelease& released) const;
  bool waits_for_attempt(PendingRelease& released) const;
  bool has_place(const PendingRelease& released, HostId host) const;
  void drop_release(PendingRelease& released);
  const Node* asked_to_release(const PendingRelease& released) const;
  const Node* holder_to_ask(const PendingRelease& released) const;
  const Node* other_to_ask(const PendingRelease& released) const;
  bool asks_others_too(const PendingRelease& released) const;
  bool doubtful(HostId host) const;
  bool answered_since(HostId host, Micros since) const;
  Micros release_step(const PendingRelease& released) const;
  Micros release_time() const;
  Micros release_patience() const;
  void close_unanswered(PendingRelease& released);
  Ordered order(const std::string& node, bool out);
  bool lay_over(Node& node);
  void lay_again();
  HostList laid_again();
  Settings live_settings() const;
  std::vector<KeptHint> hints(Key session, Key shared) const;
  void tell_listed();
  void tell_demand();
  void place(Node& node) const;
  HostId id_of(const std::string& name) const;  // the one it has, or one that is free
  Role role(HostId id) const;
  RequestState* find(RequestId id);
  const RequestState* find(RequestId id) const;
  RequestState& enter(const Prompt& prompt, Client& client, const std::string& kind);

  Settings settings_;
  std::vector<std::string> zones_, kinds_;
  const Clock& clock_;
  Nodes& nodes_;
  Scheduler scheduler_;
  Timers timers_;
  std::map<HostId, Node> known_;
  std::uint32_t version_ = 0;  // of the last list
  Bans bans_;
  std::shared_ptr<const Guide> guide_;
  Micros laid_until_ = Micros::max();  // what the guide laid over the list holds until then
  NodeObserver* observer_ = nullptr;
  DemandCount demand_;
  std::unordered_map<std::string, HostId> ids_;  // of the known ones, by name
  std::deque<std::string> left_;                 // names of nodes that have gone, the last one at the back
  std::unordered_map<RequestId, std::unique_ptr<RequestState>> requests_;
  std::unordered_map<std::string, RequestId> by_name_;
  std::list<PendingRelease> releases_;
  std::uint64_t next_release_call_ = 0;
  std::map<HostId, Liveness> liveness_;  // of known nodes
  std::map<std::uint64_t, std::unique_ptr<Call>> probes_;
  std::uint64_t next_probe_ = 0;
  CountsByClass counts_;
  std::uint64_t sends_ = 0;
  std::size_t open_ = 0;
  std::deque<Event> events_;
  std::vector<RequestId> touched_;
  std::optional<Micros> waits_end_;
  bool pumping_ = false;
};

}  // namespace lemonroute
