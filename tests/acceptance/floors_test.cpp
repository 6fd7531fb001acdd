// Who is refused when not all can be had: over drawn loads and waits, no length of prompt, class or session
// may be singled out beyond the limits that each test states. The Scheduler alone; the draws are seeded.
#include <algorithm>
#include <iostream>
#include <random>

#include "module/support.h"

namespace lemonroute::test {
namespace {

struct Drawn {
  double tokens = 0;
  std::uint16_t cls = 0, tenant = 0;
  Key session = 0;
  bool taken = false;
};

// Five readers and five writers, whose reports are drawn anew for each request.
class Fleet {
 public:
  Fleet() : bed_(stated()) {
    std::vector<Endpoint> hosts;
    for (EndpointId id = 1; id <= 5; ++id) {
      hosts.push_back(make_endpoint(id, prefill_kind));
      hosts.push_back(make_endpoint(10 + id, decode_kind));
    }
    bed_.update_endpoints(hosts);
    for (int i = 0; i < 40; ++i)
      bed_.serve(bed_.make_request(4000), 200ms);
  }
  double unit() { return std::uniform_real_distribution<>(0, 1)(random_); }
  // The wait at a reader in seconds, and the share of a writer's memory that others hold.
  template <class Wait, class Load>
  void draw(Wait wait, Load load) {
    bed_.now += 1s;
    report([] { return 0.0; }, [] { return 0.0; });
    bed_.serve(bed_.make_request(2000),
               100ms);  // what was learned of reads is fresh: 20 thousand tokens a second
    report(wait, load);
  }
  template <class Wait, class Load>
  void report(Wait wait, Load load) {
    for (EndpointId id = 1; id <= 5; ++id) {
      const float unread = static_cast<float>(wait() * 20), held = static_cast<float>(load());
      for (int i = 0; i < 6; ++i) {
        bed_.handle(HealthResult{id, Outcome::ok, 1ms, {0, unread}});
        bed_.handle(HealthResult{10 + id, Outcome::ok, 1ms, {held, 0}});
      }
    }
  }
  // Asked, and given up at once, so that the next one meets what is drawn and nothing else.
  bool taken(const Drawn& drawn) {
    Request r = bed_.make_request(static_cast<float>(drawn.tokens), drawn.cls, drawn.session);
    r.tenant_index = drawn.tenant;
    const EndpointId at = SchedulerFixture::sent_to(bed_.handle(r));
    if (at) {
      bed_.handle(ClientDisconnected{r.id});
      bed_.complete_attempt(r.id, 0, at, Outcome::cancelled, 1ms, 0, true);
    }
    bed_.timers.clear();
    return at != 0;
  }
  Drawn draw_request() {
    std::lognormal_distribution<> length(8.3, 0.7);  // 4,000 tokens in the middle
    return {std::clamp(length(random_), 200.0, 30000.0), static_cast<std::uint16_t>(random_() % 3), 0,
            random_(), false};
  }

 private:
  static Settings stated() {
    Settings s = settings();
    s.report_columns = {"x0", "x1"};
    s.report_x0_is_memory = s.report_x1_is_queued_tokens = true;
    for (auto& c : s.classes)
      c.latency_objective = 1500ms, c.deadline = 7500ms, c.priority_weight = 1;
    s.classes[1].priority_weight = 0.25;
    return s;
  }
  std::mt19937_64 random_{7};
  SchedulerFixture bed_;
};

template <class Holds>
double share(const std::vector<Drawn>& all, Holds holds) {
  double count = 0, taken = 0;
  for (const auto& one : all)
    if (holds(one))
      ++count, taken += one.taken;
  return taken / std::max(1.0, count);
}

// Over every load there may be, and every wait up to two aims.
std::vector<Drawn> all_states() {
  Fleet fleet;
  std::vector<Drawn> all;
  for (int i = 0; i < 1500; ++i) {
    const double wait = 3 * fleet.unit(), load = fleet.unit();
    fleet.draw([&] { return wait; }, [&] { return load; });
    Drawn one = fleet.draw_request();
    one.taken = fleet.taken(one);
    all.push_back(one);
  }
  return all;
}

TEST(Floors, LongPromptsHaveTheirPart) {
  const auto all = all_states();
  std::vector<double> lengths;
  for (const auto& one : all)
    lengths.push_back(one.tokens);
  std::sort(lengths.begin(), lengths.end());
  const double tenth = lengths[lengths.size() * 9 / 10], fifth = lengths[lengths.size() * 7 / 10];
  const auto plain = [](const Drawn& one) { return one.cls != 1; };
  const double usual = share(all, plain);
  const double longest = share(all, [&](auto& one) { return plain(one) && one.tokens >= tenth; });
  const double next =
      share(all, [&](auto& one) { return plain(one) && one.tokens >= fifth && one.tokens < tenth; });
  std::cout << "taken: all " << usual << ", longest tenth " << longest << ", next fifth " << next << "\n";
  EXPECT_GT(usual, 0.3);
  EXPECT_LT(usual, 0.9) << "the draws have to put it to the test";
  EXPECT_GE(longest, usual * 0.85);
  EXPECT_GE(next, usual * 0.85);
}

TEST(Floors, EachClassHasItsPart) {
  const auto all = all_states();
  double of[3];
  for (std::uint16_t cls = 0; cls < 3; ++cls)
    of[cls] = share(all, [&](auto& one) { return one.cls == cls; });
  std::cout << "taken by class, worth 1, 0.25, 1 and not to be repeated: " << of[0] << ' ' << of[1] << ' '
            << of[2] << "\n";
  EXPECT_GE(of[1], of[0] / 2) << "a class worth a quarter yields, and is not shut out";
  EXPECT_GE(of[2], of[0] * 0.85) << "one that may not be repeated is worth as much";
}

// Three turns each, at loads and waits drawn for each turn, and for each reader on its own.
TEST(Floors, SessionsAreNotSingledOut) {
  Fleet fleet;
  constexpr int sessions = 300, turns = 3;
  std::vector<int> refused(sessions);
  std::vector<Drawn> all(sessions);
  for (auto& one : all)
    one = fleet.draw_request(), one.cls = 0, one.tokens = std::min(one.tokens, 6000.0);
  for (int turn = 0; turn < turns; ++turn)
    for (std::size_t i = 0; i < all.size(); ++i) {
      const double load = 0.5 + 0.5 * fleet.unit();
      fleet.draw([&] { return 3 * fleet.unit(); }, [&] { return load; });
      all[i].tokens += 300;
      refused[i] += !fleet.taken(all[i]);
    }
  double sum = 0, whole = 0;
  for (const int count : refused)
    sum += count, whole += count == turns;
  const double part = sum / (sessions * turns), by_chance = part * part * part;
  std::cout << "refused " << part << ", sessions refused at every turn " << whole / sessions << ", by chance "
            << by_chance << "\n";
  EXPECT_GT(part, 0.05);
  EXPECT_LE(whole / sessions, by_chance + 0.06);
}

}  // namespace
}  // namespace lemonroute::test
