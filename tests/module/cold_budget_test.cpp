// Rule 4 in drawn plays: all routers of a fleet against one small world with nodes in slow start. For each
// cold node and each sliding window of the settings' length, the work of all calls that all processes
// together sent there, in calls of mean work, is held against the budget: N + 2 sqrt N + 2 (and, of fewer
// than 30 calls, N + 3 sqrt N + 3), N being fall_multiple x cold_from x what a warm node of the role bears in
// a window.
//
// What a play assumes: all warm nodes of a role bear the same, drawn and told to nobody. Each node serves one
// call after another and turns calls away while its queue is long; a call that is called off leaves the
// queue. The traffic is 0.3 to 2.5 times what the warm nodes bear, so in about half of the plays they turn
// calls away; it may change at once when the node starts. Its work is even, spread, or of two classes ten
// times apart; no call is longer than a third of its window's budget with its slack. A call that a node
// turned away is sent again by its router, one that was refused is often sent again by its client, to any
// router; a node may fail calls at once. Routers share the traffic evenly or very unevenly. Processes may be
// new, or replaced one by one or at once, with or without what the old ones had learned, while the nodes are
// cold. Nodes start together or one after another; they are new or had been there before. All hear of it
// within a tenth of a window.
//
// LEMONROUTE_COLD_PLAYS: plays of each size of fleet (else 60). LEMONROUTE_SEED: the first of the seeds (else
// 1).
#include <algorithm>
#include <cmath>
#include <cstdlib>
#include <deque>
#include <functional>
#include <iostream>
#include <map>
#include <memory>
#include <optional>
#include <random>
#include <set>

#include "support.h"

namespace lemonroute::test {
namespace {

enum class Shares { even, uneven, very_uneven };
enum class Work { equal, spread, wide, two_classes };
enum class Processes { stay, rolling, handed_over, killed, some_killed, join };

constexpr double mean_work = 2000;  // tokens of prompt
constexpr HostId first_of_role = 1, first_other = 50;
constexpr double few_calls = 30;  // below so many the budget has the wider slack
constexpr double windows_warm = 8, most_windows_cold = 6;

double slack(double calls, double per_root) {
  return calls + per_root * std::sqrt(calls) + per_root;
}

// What a play found at its cold nodes.
struct Seen {
  double calls = 0;                  // the budget N
  double most = 0;                   // of any cold node in any window, in calls of mean work
  double sent = 0;                   // to cold nodes, a node and window
  double asked = 0;                  // what a node would be sent then, were it warm
  int tight_breaks = 0, breaks = 0;  // cold nodes sent more than N + 2 sqrt N + 2; than the budget
  std::string drawn;                 // the play in words
  double tight_limit() const { return slack(calls, 2); }
  double limit() const { return slack(calls, calls < few_calls ? 3 : 2); }
};

class Play {
 public:
  Play(std::uint32_t routers, std::uint64_t seed)
      : routers_(routers), seed_(seed), dice_(seed * 7919 + routers) {
    draw_settings();
    draw_nodes();
    draw_traffic();
    processes_ = one_of({Processes::stay, Processes::stay, Processes::rolling, Processes::handed_over,
                         Processes::killed, Processes::some_killed, Processes::join});
  }

  Seen run() {
    for (std::uint32_t me = 0; me < routers_; ++me)
      if (processes_ != Processes::join || me % 2 == 0)
        start(me);
    plan();
    while (!due_.empty()) {
      const auto next = due_.begin();
      now_ = next->first;
      const auto what = std::move(next->second);
      due_.erase(next);
      what();
    }
    for (const auto& [id, most] : most_sent_) {
      seen_.most = std::max(seen_.most, most);
      seen_.tight_breaks += most > seen_.tight_limit();
      seen_.breaks += most > seen_.limit();
    }
    seen_.sent /= in(settings_.cold_for) / window_ * static_cast<double>(starts_.size());
    seen_.asked = std::min(1.0, load_) * capacity_ * window_;
    describe();
    return seen_;
  }

 private:
  using Id = std::pair<RequestId, std::uint16_t>;
  struct Client {
    double work = 0;  // of a mean call
    std::uint16_t cls = 0;
    int tries_left = 0;
    std::uint32_t router = 0;
    std::uint16_t attempts = 0;
    bool answered = false;
  };
  struct Server {  // serves the front of its queue
    std::deque<Id> queue;
    double waiting = 0;  // work in the queue
    std::uint64_t turn = 0;
  };
  struct Process {
    std::unique_ptr<Scheduler> scheduler;
    int life = 0;
  };

  // ---- What is drawn ----
  double draw(double from, double to) { return std::uniform_real_distribution<double>(from, to)(dice_); }
  bool odds(double of_one) { return draw(0, 1) < of_one; }
  template <class T>
  T one_of(std::initializer_list<T> of) {
    return of.begin()[dice_() % of.size()];
  }
  static Micros span(double seconds) { return Micros(static_cast<Micros::rep>(seconds * 1e6)); }
  static double in(Micros time) { return std::chrono::duration<double>(time).count(); }

  void draw_settings() {
    settings_ = settings();
    settings_.siblings = routers_;
    settings_.kind_memory = {1e9, 1e9, 1e9};
    settings_.fall_multiple = draw(2, 4);
    settings_.cold_from = draw(0.2, 0.45);
    window_ = draw(1, 3);
    settings_.fall_window = span(window_);
    settings_.cold_for = span(window_ * draw(3, most_windows_cold));
    seen_.calls = std::exp(draw(std::log(0.5), std::log(60)));
    capacity_ = seen_.calls / (settings_.fall_multiple * settings_.cold_from * window_);
    const double aim = window_ * draw(0.5, 3) + 4 / capacity_;
    most_waiting_ = aim * capacity_ * draw(0.3, 1.5);
    for (auto& one : settings_.classes) {
      one.effect = Effect::safe;
      one.aim = span(aim);
      one.deadline = span(aim * draw(1.2, 2.5));
    }
    begin_ = span(window_ * windows_warm);
  }
  void draw_nodes() {
    role_ = one_of({Role::read, Role::write, Role::both});
    nodes_ = 2 + static_cast<HostId>(dice_() % 5);
    const HostId cold = odds(0.15) ? nodes_ : 1 + static_cast<HostId>(dice_() % (nodes_ - 1));
    restarted_ = odds(0.5) || cold == nodes_;
    const bool together = odds(0.6) || cold == nodes_;
    for (HostId i = 0; i < cold; ++i)
      starts_[first_of_role + nodes_ - 1 - i] =
          begin_ + (together ? Micros(0) : span(draw(0, in(settings_.cold_for))));
    if (cold < nodes_ && odds(0.2))
      failing_ = first_of_role, fails_ = draw(0.3, 1);
  }
  void draw_traffic() {
    load_ = draw(0.3, 2.5);
    later_load_ = odds(0.3) ? draw(0.3, 2.5) : load_;
    work_ = one_of({Work::equal, Work::spread, Work::wide, Work::two_classes});
    shares_ = one_of({Shares::even, Shares::uneven, Shares::very_uneven});
    for (std::uint32_t me = 0; me < routers_; ++me)
      parts_.push_back(shares_ == Shares::even ? 1
                       : shares_ == Shares::uneven
                           ? (me % 5 == 0 ? 5 : 1)
                           : std::exp(std::normal_distribution<double>(0, 1.5)(dice_)));
  }
  void describe() {
    const std::pair<const char*, double> all[] = {{"routers", routers_},
                                                  {"seed", static_cast<double>(seed_)},
                                                  {"role", static_cast<double>(role_)},
                                                  {"N", seen_.calls},
                                                  {"most", seen_.most},
                                                  {"limit", seen_.limit()},
                                                  {"nodes", nodes_},
                                                  {"cold", static_cast<double>(starts_.size())},
                                                  {"restarted", restarted_},
                                                  {"load", load_},
                                                  {"later", later_load_},
                                                  {"work", static_cast<double>(work_)},
                                                  {"shares", static_cast<double>(shares_)},
                                                  {"processes", static_cast<double>(processes_)},
                                                  {"fails", fails_}};
    for (const auto& [name, value] : all) {
      char text[48];
      std::snprintf(text, sizeof text, "%s %.4g, ", name, value);
      seen_.drawn += text;
    }
  }

  // ---- The world ----
  void at_(Micros when, std::function<void()> what) { due_.emplace(std::max(when, now_), std::move(what)); }

  void plan() {
    std::set<Micros> changes;
    for (const auto& [id, start] : starts_) {
      changes.insert(start);
      if (restarted_)
        changes.insert(start - away());
    }
    // Where nodes are replaced at once, all hear of it at once: none takes a new one for the old one.
    const double late = starts_.size() < nodes_ ? window_ / 10 : 0;
    for (const Micros change : changes)
      for (std::uint32_t me = 0; me < routers_; ++me)
        at_(change + span(draw(0, late)), [this, me] { tell(me); });
    for (const auto& [id, start] : starts_)
      if (restarted_)
        at_(start - away(), [this, id = id] { fall(id); });
    const Micros end = last_start() + settings_.cold_for;
    const double warm = starts_.size() == nodes_ ? nodes_ : nodes_ - static_cast<double>(starts_.size());
    for (double at = 0; at < in(end);) {
      const double rate = (at < in(begin_) ? load_ : later_load_) * capacity_ * warm;
      at += std::exponential_distribution<double>(rate)(dice_);
      at_(span(at), [this] { arrive(); });
    }
    const Micros moment = begin_ + span(draw(0.1, 0.9) * in(settings_.cold_for));
    for (std::uint32_t me = 0; me < routers_; ++me) {
      const Micros own = begin_ + span(draw(0, in(settings_.cold_for)));
      const bool told = processes_ == Processes::rolling || processes_ == Processes::handed_over;
      const bool renewed = processes_ != Processes::stay && processes_ != Processes::join &&
                           (processes_ != Processes::some_killed || me % 3 == 0);
      if (renewed)
        at_(processes_ == Processes::rolling ? own : moment, [this, me, told] { renew(me, told); });
      if (processes_ == Processes::join && me % 2 == 1)
        at_(odds(0.5) ? own : moment, [this, me] { start(me); });
    }
  }
  // How long a node that starts again is not in the list: where all do, it is replaced at once.
  Micros away() const { return starts_.size() < nodes_ ? span(window_ / 2) : Micros(0); }
  void fall(HostId node) {
    std::vector<Id> lost;
    for (const auto& [id, at] : out_)
      if (at.first == node)
        lost.push_back(id);
    for (const Id& id : lost)
      end(clients_[id.first].router, id, Outcome::reset);
  }
  Micros last_start() const {
    Micros last{};
    for (const auto& [id, start] : starts_)
      last = std::max(last, start);
    return last;
  }

  std::vector<ListEntry> list() const {
    std::vector<ListEntry> all;
    const auto kind = static_cast<std::uint8_t>(role_);
    for (HostId id = first_of_role; id < first_of_role + nodes_; ++id) {
      const auto start = starts_.find(id);
      auto entry = host(id, kind);
      if (start != starts_.end() && now_ >= start->second)
        entry.started = epoch_ + start->second;
      else if (start != starts_.end() && (!restarted_ || now_ >= start->second - away()))
        continue;
      all.push_back(entry);
    }
    if (role_ != Role::both)
      for (HostId i = 0; i < 4; ++i)
        all.push_back(host(first_other + i, role_ == Role::read ? writer_kind : reader_kind));
    return all;
  }
  void tell(std::uint32_t me) { feed(me, HostList{ListKind::full, 1, list()}); }
  void start(std::uint32_t me) {
    Settings s = settings_;
    s.me = me;
    auto& one = processes_now_[me];
    ++one.life;
    one.scheduler = std::make_unique<Scheduler>(s, seed_ + me);
    tell(me);
  }
  // The calls of a process that ends are lost, and leave their nodes.
  void renew(std::uint32_t me, bool told) {
    const LearnedRates learned = processes_now_[me].scheduler->learned_rates(epoch_ + now_);
    std::vector<Id> lost;
    for (const auto& [id, node] : out_)
      if (clients_[id.first].router == me)
        lost.push_back(id);
    for (const Id& id : lost)
      leave(id);
    start(me);
    if (told)
      processes_now_[me].scheduler->take_over(epoch_ + now_, learned);
  }

  double work_of(std::uint16_t cls) {
    const double sigma = work_ == Work::equal ? 0 : work_ == Work::wide ? 1 : 0.5;
    double work = std::lognormal_distribution<double>(-sigma * sigma / 2, sigma)(dice_);
    // Nine in ten are a tenth as long as the others, and the mean is one.
    if (work_ == Work::two_classes)
      work *= cls == 1 ? 10 / 1.9 : 1 / 1.9;
    return std::min(work, seen_.tight_limit() / 3);
  }
  void arrive() {
    const std::uint16_t cls = work_ == Work::two_classes && odds(0.1) ? 1 : 0;
    ask({.work = work_of(cls), .cls = cls, .tries_left = odds(0.5) ? 2 : 0});
  }
  void ask(Client client) {
    std::discrete_distribution<std::uint32_t> who(parts_.begin(), parts_.end());
    do
      client.router = who(dice_);
    while (!processes_now_.count(client.router));
    Request r;
    r.id = next_++;
    r.cls = client.cls;
    r.session = r.id * 104729;
    r.budget = settings_.classes[r.cls].deadline;
    r.prompt = static_cast<float>(mean_work * client.work);
    r.max_output = 100;
    clients_[r.id] = client;
    at_(now_ + r.budget, [this, id = r.id, life = processes_now_[client.router].life] { give_up(id, life); });
    feed(client.router, r);
  }
  void give_up(RequestId id, int life) {
    auto& client = clients_[id];
    if (client.answered || processes_now_[client.router].life != life)
      return;
    client.answered = true;
    feed(client.router, Abandoned{id});
  }
  void ask_again(RequestId id, Micros after) {
    Client client = clients_[id];
    clients_[id].answered = true;
    if (client.tries_left-- <= 0)
      return;
    client.attempts = 0;
    at_(now_ + std::max(after, Micros(50ms)), [this, client] { ask(client); });
  }

  void feed(std::uint32_t me, const Event& event) {
    const auto one = processes_now_.find(me);
    if (one == processes_now_.end())
      return;
    std::vector<Action> actions;
    one->second.scheduler->handle(epoch_ + now_, event, actions);
    for (const auto& action : actions) {
      if (const auto* sleep = std::get_if<Sleep>(&action))
        later(me, sleep->after, [this, me, cookie = sleep->cookie] { feed(me, Alarm{cookie}); });
      else if (const auto* send = std::get_if<Send>(&action))
        begin(me, send->id, send->host);
      else if (const auto* probe = std::get_if<Probe>(&action))
        put_down(probe->host, 1);
      else if (const auto* refuse = std::get_if<Refuse>(&action))
        ask_again(refuse->id, refuse->stay_away);
      else if (const auto* cancel = std::get_if<Cancel>(&action))
        later(me, 1ms, [this, me, id = Id{cancel->id, cancel->attempt}] { end(me, id, Outcome::cancelled); });
    }
  }
  void later(std::uint32_t me, Micros after, std::function<void()> what) {
    at_(now_ + after, [this, me, life = processes_now_[me].life, what = std::move(what)] {
      if (processes_now_[me].life == life)
        what();
    });
  }

  // ---- The nodes ----
  double speed(HostId node) const {  // calls of mean work a second
    if (node >= first_other)
      return capacity_ * nodes_;
    const auto start = starts_.find(node);
    if (start == starts_.end() || now_ < start->second)
      return capacity_;
    const double age = in(now_ - start->second) / in(settings_.cold_for);
    return capacity_ * std::min(1.0, settings_.cold_from + (1 - settings_.cold_from) * age);
  }
  void begin(std::uint32_t me, RequestId id, HostId node) {
    auto& client = clients_[id];
    const Id attempt{id, client.attempts++};
    put_down(node, client.work);
    out_[attempt] = {node, now_};
    auto& server = servers_[node];
    if (node == failing_ && odds(fails_))
      return later(me, 5ms, [this, me, attempt] { end(me, attempt, Outcome::error); });
    if (server.waiting > most_waiting_ && node < first_other)
      return later(me, 2ms, [this, me, attempt] { end(me, attempt, Outcome::full); });
    server.queue.push_back(attempt);
    server.waiting += client.work;
    if (server.queue.size() == 1)
      serve(node);
  }
  void serve(HostId node) {
    auto& server = servers_[node];
    ++server.turn;
    if (server.queue.empty())
      return;
    const Id front = server.queue.front();
    const bool reads = node >= first_other ? role_ == Role::write : role_ == Role::read;
    at_(now_ + span(clients_[front.first].work / speed(node)),
        [this, front, node, reads, turn = server.turn] {
          if (servers_[node].turn == turn)
            end(clients_[front.first].router, front, reads ? Outcome::read : Outcome::ok);
        });
  }
  // Takes an attempt from its node; where and since when it was there.
  std::optional<std::pair<HostId, Micros>> leave(const Id& id) {
    const auto found = out_.find(id);
    if (found == out_.end())
      return {};
    const auto at = found->second;
    out_.erase(found);
    auto& server = servers_[at.first];
    const auto place = std::ranges::find(server.queue, id);
    if (place != server.queue.end()) {
      const bool front = place == server.queue.begin();
      server.queue.erase(place);
      server.waiting -= clients_[id.first].work;
      if (front)
        serve(at.first);
    }
    return at;
  }
  void end(std::uint32_t me, const Id& id, Outcome how) {
    const auto at = leave(id);
    if (!at)
      return;
    const auto [node, since] = *at;
    if (how == Outcome::ok) {
      clients_[id.first].answered = true;
      feed(me, First{id.first, node, id.second, now_ - since});
    }
    feed(me, Completed{id.first, how, how == Outcome::ok, now_ - since, node, 0, id.second, {}});
  }

  void put_down(HostId node, double work) {
    const auto start = starts_.find(node);
    if (start == starts_.end() || now_ < start->second || now_ >= start->second + settings_.cold_for)
      return;
    auto& sent = sent_[node];
    sent.emplace_back(now_, work);
    while (now_ - sent.front().first >= settings_.fall_window)
      sent.pop_front();
    double sum = 0;
    for (const auto& one : sent)
      sum += one.second;
    most_sent_[node] = std::max(most_sent_[node], sum);
    seen_.sent += work;
  }

  const std::uint32_t routers_;
  const std::uint64_t seed_;
  std::mt19937_64 dice_;
  Settings settings_;
  Role role_ = Role::read;  // of the cold nodes
  Shares shares_ = Shares::even;
  Work work_ = Work::equal;
  Processes processes_ = Processes::stay;
  double capacity_ = 1, window_ = 1;     // calls of mean work that a warm node bears a second; seconds
  double load_ = 1, later_load_ = 1;     // of what the warm nodes bear, before and after the first start
  double most_waiting_ = 1, fails_ = 0;  // work in a queue; part of the calls that one warm node fails
  HostId nodes_ = 2, failing_ = 0;
  bool restarted_ = false;  // the cold nodes had been there before
  std::map<HostId, Micros> starts_;
  std::vector<double> parts_;  // of the traffic, by router
  Micros now_{}, begin_{};
  const Micros epoch_ = 1000s;
  std::multimap<Micros, std::function<void()>> due_;
  std::map<std::uint32_t, Process> processes_now_;
  std::map<RequestId, Client> clients_;
  std::map<Id, std::pair<HostId, Micros>> out_;
  std::map<HostId, Server> servers_;
  std::map<HostId, std::deque<std::pair<Micros, double>>> sent_;
  std::map<HostId, double> most_sent_;
  RequestId next_ = 1;
  Seen seen_;
};

std::uint64_t from_environment(const char* name, std::uint64_t otherwise) {
  const char* text = std::getenv(name);
  return text && *text ? std::strtoull(text, nullptr, 10) : otherwise;
}

class ColdBudget : public testing::TestWithParam<std::uint32_t> {};

TEST_P(ColdBudget, BindsInDrawnPlays) {
  const auto plays = from_environment("LEMONROUTE_COLD_PLAYS", 60);
  const auto first = from_environment("LEMONROUTE_SEED", 1);
  int tight_breaks = 0, breaks = 0;
  double used = 0;
  for (std::uint64_t seed = first; seed < first + plays; ++seed) {
    const Seen seen = Play(GetParam(), seed).run();
    tight_breaks += seen.tight_breaks;
    breaks += seen.breaks;
    used += seen.sent / std::min(seen.calls, seen.asked) / static_cast<double>(plays);
    EXPECT_EQ(seen.tight_breaks + seen.breaks, 0) << "a cold node is sent over its budget: " << seen.drawn;
  }
  std::cout << "cold budget, " << GetParam() << " routers, " << plays << " plays from seed " << first << ": "
            << tight_breaks << " nodes over N + 2 sqrt N + 2, " << breaks << " over the budget, used " << used
            << "\n";
}

INSTANTIATE_TEST_SUITE_P(Fleets, ColdBudget, testing::Values(1, 3, 5, 20, 30, 100, 300),
                         [](const auto& size) { return std::to_string(size.param) + "_routers"; });

}  // namespace
}  // namespace lemonroute::test
