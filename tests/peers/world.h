// Many routers in one deterministic world: its own clock, an event queue, and a net between them that does
// what it is told to, all from one seed. Decisions are the real ones (peers::Agent). The same seed and calls
// give the same run.
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
  double lose = 0, repeat = 0, reorder = 0, corrupt = 0;  // shares of the datagrams
};

class World {
 public:
  struct Settings {
    std::uint64_t seed = 1;
    Micros period = std::chrono::seconds(1);
    Link link = {};
    std::size_t seeds = 3;  // of the first so many members each is told the addresses
    std::size_t most_members = 4096;
    bool unsealed = false;  // corrupted datagrams arrive, flipped; else they are dropped, as the service does
                            // by their MAC
  };
  // Extensions of a process that starts; the world keeps them as long as the process.
  using Attach = std::function<std::vector<std::unique_ptr<Extension>>(std::size_t member)>;
  using Members = std::vector<std::size_t>;

  struct Traffic {
    std::uint64_t datagrams = 0, bytes = 0;
    std::size_t largest = 0, most_in_period = 0;
  };

  explicit World(Settings settings);
  World(World&&) noexcept;
  ~World();

  std::size_t add(std::string name, std::string site);  // not started yet
  Members add_many(std::size_t count, std::size_t sites = 1);
  void attach(Attach attach) { attach_ = std::move(attach); }

  void start(std::size_t member);  // a new process: a newer start, nothing remembered
  void start_all();
  void kill(std::size_t member);
  void restart(std::size_t member) { kill(member), start(member); }
  void move(std::size_t member, std::string address);  // from its next start on
  void leave(std::size_t member);                      // says so, then ends
  void freeze(std::size_t member);
  void thaw(std::size_t member);  // its datagrams come in one burst, its timers are late
  // Rate: 0.01 is a clock that gains 1 %. From its next start on.
  void clock(std::size_t member, Micros offset, double rate);

  std::size_t cut(const Members& from, const Members& to, bool both_ways = true);  // a number, for heal
  void heal(std::size_t cut);
  void heal_all();  // every cut, slow link and loss of a single member; the frozen go on
  void slow(std::size_t member, Micros more);  // each datagram from or to it
  void lose(std::size_t member, double share);
  void link(const Link& link) { settings_.link = link; }

  void run_for(Micros time);
  void run_periods(double periods) {
    run_for(Micros(static_cast<std::int64_t>(periods * settings_.period.count())));
  }
  // At most so many periods, looking once in each; the periods that passed, nothing if it did not come true.
  std::optional<double> run_until(const std::function<bool()>& fact, double periods);

  Micros now() const { return now_; }
  Micros local(std::size_t member) const;  // that member's clock
  Micros period() const { return settings_.period; }
  std::size_t size() const { return nodes_.size(); }
  bool running(std::size_t member) const;  // started, neither killed nor left; it may be frozen
  Agent& agent(std::size_t member) const;
  Extension& extension(std::size_t member, Topic topic) const;
  const std::string& name(std::size_t member) const;
  const std::string& address(std::size_t member) const;
  std::size_t find(std::string_view name) const;
  const Traffic& traffic(std::size_t member) const;
  void inject(const std::string& to, std::string bytes, const std::string& from = "6.6.6.6:666");

  // All who run have one view: exactly those who run are there, and all say the same of each. Else what
  // differs, in `why`.
  bool one_view(std::string* why = nullptr) const;
  // Of those who run, the pairs in which one holds the other gone.
  std::size_t false_gone() const;

  // What was done to the world, a line each, with the time in periods: a failing seed's trace.
  const std::vector<std::string>& trace() const { return trace_; }
  const Digest& digest() const { return digest_; }  // of that, and of all datagrams

 private:
  struct Node;
  struct Event;
  struct Later;
  void schedule(std::size_t member);
  void handle(Event& event);
  void flush(std::size_t member);
  void carry(std::size_t from, Datagram datagram);
  void note(std::string line);
  bool is_cut(std::size_t from, std::size_t to) const;

  Settings settings_;
  membership::Random random_;
  Attach attach_;
  Micros now_{};
  std::uint64_t events_ = 0;
  std::vector<std::unique_ptr<Node>> nodes_;
  std::unordered_map<std::string, std::size_t> by_address_;
  struct Cut {
    std::size_t number;
    std::vector<bool> from, to;
  };
  std::vector<Cut> cuts_;
  std::size_t cut_number_ = 0;
  std::vector<Event> queue_;
  std::vector<std::string> trace_;
  Digest digest_;
};

}  // namespace lemonroute::peers
