// A deterministic simulation of many routers: a clock, an event queue, and a network with faults, all driven
// by one seed. Each router runs the real membership code (peers::Agent). The same seed and calls give the
// same run.
#pragma once

#include <functional>
#include <memory>
#include <queue>
#include <string>
#include <unordered_map>
#include <vector>

#include "digest.h"
#include "peers/agent.h"
#include "peers/membership/random.h"

namespace lemonroute::peers {

struct Link {
  Micros latency = std::chrono::milliseconds(1), jitter = std::chrono::milliseconds(1);
  double loss = 0, duplication = 0, reordering = 0, corruption = 0;  // probability for each datagram
};

class Simulation {
 public:
  struct Settings {
    std::uint64_t seed = 1;
    Micros period = std::chrono::seconds(1);
    Link link = {};
    std::size_t seed_members = 3;  // each member is given the addresses of so many first members as its seeds
    std::size_t max_members = 4096;
    // Delivers corrupted datagrams with flipped bits. By default they are dropped, as the service drops a
    // datagram with a wrong MAC.
    bool deliver_corrupted = false;
  };
  // Makes the extensions of a process that starts. The simulation keeps them until the process ends.
  using ExtensionFactory = std::function<std::vector<std::unique_ptr<Extension>>(std::size_t member)>;
  using Members = std::vector<std::size_t>;

  struct Traffic {
    std::uint64_t datagrams = 0, bytes = 0;
    std::size_t largest_bytes = 0, max_per_period = 0;  // of one datagram; datagrams in one period
  };

  explicit Simulation(Settings settings);
  Simulation(Simulation&&) noexcept;
  ~Simulation();

  // ---- members, by their number ----
  std::size_t add(std::string name, std::string site);  // not started yet
  Members add_many(std::size_t count, std::size_t sites = 1);
  void set_extension_factory(ExtensionFactory factory) { extension_factory_ = std::move(factory); }

  void start(std::size_t member);  // a new process, which remembers nothing and has a later start time
  void start_all();
  void kill(std::size_t member);
  void restart(std::size_t member) { kill(member), start(member); }
  void change_address(std::size_t member, std::string address);  // call it before start()
  void leave(std::size_t member);                                // tells the others that it leaves, then ends
  void freeze(std::size_t member);
  void resume(std::size_t member);  // its buffered datagrams arrive at once, and its timers run late
  // Sets the clock at once, so the member should be restarted afterwards. A drift of 0.01 gains 1 %.
  void set_clock(std::size_t member, Micros offset, double drift);

  // ---- the network ----
  // Blocks all datagrams from `from` to `to`, and back if both_ways. Returns the partition's number for
  // heal().
  std::size_t partition(const Members& from, const Members& to, bool both_ways = true);
  void heal(std::size_t number);
  // Ends all partitions, and the extra latency and loss of all members; resumes frozen members.
  void heal_all();
  void set_extra_latency(std::size_t member, Micros latency);  // to each datagram from or to the member
  void set_loss(std::size_t member, double loss);  // probability for each datagram from or to the member
  void set_link(const Link& link) { settings_.link = link; }

  void run_for(Micros time);
  void run_periods(double periods) {
    run_for(Micros(static_cast<std::int64_t>(periods * settings_.period.count())));
  }
  // Runs until the condition holds, which is checked once a period. Returns the periods that passed, or
  // nothing if it doesn't hold within `periods`.
  std::optional<double> run_until(const std::function<bool()>& condition, double periods);

  Micros now() const { return now_; }
  Micros local_time(std::size_t member) const;  // on the member's own clock
  Micros period() const { return settings_.period; }
  std::size_t size() const { return nodes_.size(); }
  bool running(std::size_t member) const;  // started and neither killed nor left; it may be frozen
  Agent& agent(std::size_t member) const;
  Extension& extension(std::size_t member, Topic topic) const;
  const std::string& name(std::size_t member) const;
  const std::string& address(std::size_t member) const;
  std::size_t find(std::string_view name) const;  // size(): no member has the name
  const Traffic& traffic(std::size_t member) const;
  // Delivers a datagram to the address `to` as if it came from `from`.
  void inject(const std::string& to, std::string bytes, const std::string& from = "6.6.6.6:666");

  // Returns whether all running members have the same view: exactly the running members are present, and all
  // have the same facts of each. Otherwise sets `why` to the first difference.
  bool converged(std::string* why = nullptr) const;
  // Returns the number of pairs of running members in which the first holds the second to be gone.
  std::size_t count_false_gone() const;

  // The actions on members and the network, one line each with the time in periods.
  const std::vector<std::string>& trace() const { return trace_; }
  const Digest& digest() const { return digest_; }  // of the trace and all datagrams

 private:
  struct Node;
  struct Event;
  struct LaterEvent;
  void schedule_wake(std::size_t member);
  void handle(Event& event);
  void send_outgoing(std::size_t member);
  void transmit(std::size_t from, Datagram datagram);
  void record(std::string line);
  bool is_blocked(std::size_t from, std::size_t to) const;

  Settings settings_;
  membership::Random random_;
  ExtensionFactory extension_factory_;
  Micros now_{};
  std::uint64_t events_ = 0;
  std::vector<std::unique_ptr<Node>> nodes_;
  std::unordered_map<std::string, std::size_t> by_address_;
  struct Partition {
    std::size_t number;
    std::vector<bool> from, to;
  };
  std::vector<Partition> partitions_;
  std::size_t partition_number_ = 0;
  std::vector<Event> queue_;
  std::vector<std::string> trace_;
  Digest digest_;
};

}  // namespace lemonroute::peers
