// Which connection at rest carries the next request; and what the rest costs in new connections, on drawn
// schedules.
#include "http/idle_pool.h"

#include <gtest/gtest.h>

#include <iostream>
#include <memory>
#include <queue>
#include <random>

namespace lemonroute::http {
namespace {

using namespace std::chrono_literals;
using Time = std::chrono::steady_clock::time_point;

struct FakeConnection {
  std::string address;
  Time since{};
};
using Pool = IdlePool<FakeConnection>;

constexpr Pool::Span rest = 40ms;
constexpr Time start{1h};

TEST(IdlePool, NoneIsTakenBeforeItHasRested) {
  Pool pool(rest);
  FakeConnection one;
  pool.put("a", one, start);
  EXPECT_EQ(pool.take("a", start), nullptr);
  EXPECT_EQ(pool.take("a", start + rest - 1us), nullptr);
  EXPECT_EQ(pool.take("b", start + rest), nullptr);
  EXPECT_EQ(pool.take("a", start + rest), &one);
  EXPECT_EQ(pool.take("a", start + 1h), nullptr) << "it no longer rests";
  EXPECT_EQ(pool.size(), 0u);
}

TEST(IdlePool, TheLongestAtRestIsTakenFirst) {
  Pool pool(rest);
  FakeConnection first, second, other;
  pool.put("a", first, start);
  pool.put("b", other, start + 1ms);
  pool.put("a", second, start + 2ms);
  EXPECT_EQ(pool.longest(), &first);
  EXPECT_EQ(pool.take("a", start + rest + 2ms), &first);
  EXPECT_EQ(pool.longest(), &other);
  pool.put("a", first, start + rest + 2ms);
  EXPECT_EQ(pool.take("a", start + rest + 3ms), &second);
  EXPECT_EQ(pool.take("a", start + rest + 3ms), nullptr) << "the first has begun its rest anew";
}

TEST(IdlePool, ForgetsWhatIsRemoved) {
  Pool pool(rest);
  FakeConnection first, second;
  pool.put("a", first, start);
  pool.put("a", second, start);
  pool.remove("a", first);
  pool.remove("a", first);
  pool.remove("b", second);
  EXPECT_EQ(pool.all("a"), std::vector<FakeConnection*>{&second});
  pool.remove("a", second);
  EXPECT_TRUE(pool.all("a").empty());
  EXPECT_EQ(pool.longest(), nullptr);
  EXPECT_EQ(pool.size(), 0u);
}

// ---- what it costs ----

struct Load {
  int nodes;
  double requests_a_second;
  std::size_t idle_most;
};
struct Cost {
  int calls = 0, opened = 0;
  std::size_t most_open = 0;
  Pool::Span shortest_rest = Pool::Span::max();
  double opened_of_thousand() const { return 1000.0 * opened / calls; }
};

// A router's calls of two minutes: each request is read at one of a third of the nodes for 50 to 800 ms, and
// then written by one of the others for 0.5 to 4 s. Connections are kept as http::Client keeps them.
class Schedule {
 public:
  Schedule(const Load& load, Pool::Span rest_of_pool) : load_(load), pool_(rest_of_pool) {}
  Cost play() {
    const int readers = std::max(1, load_.nodes / 3);
    std::exponential_distribution<double> between(load_.requests_a_second);
    const Time end = start + 120s;
    for (Time arrival = start; arrival < end; arrival += seconds(between(random_))) {
      end_calls(arrival);
      call("read" + std::to_string(draw(readers)), arrival, seconds(uniform(0.05, 0.8)), true);
    }
    return cost_;
  }

 private:
  struct Call {
    Time ends;
    FakeConnection* connection;
    bool reads;
    bool operator>(const Call& other) const { return ends > other.ends; }
  };
  static Pool::Span seconds(double count) { return Pool::Span(static_cast<std::int64_t>(count * 1e6)); }
  double uniform(double least, double most) {
    return std::uniform_real_distribution<double>(least, most)(random_);
  }
  int draw(int of) { return std::uniform_int_distribution<int>(0, of - 1)(random_); }

  void call(const std::string& address, Time now, Pool::Span lasts, bool reads) {
    ++cost_.calls;
    retire(now);
    FakeConnection* connection = pool_.take(address, now);
    if (connection) {
      cost_.shortest_rest =
          std::min(cost_.shortest_rest, std::chrono::duration_cast<Pool::Span>(now - connection->since));
    } else {
      ++cost_.opened;
      auto made = std::make_unique<FakeConnection>(FakeConnection{address});
      connection = made.get();
      open_[connection] = std::move(made);
      cost_.most_open = std::max(cost_.most_open, open_.size());
    }
    calls_.push({now + lasts, connection, reads});
  }
  void end_calls(Time until) {
    while (!calls_.empty() && calls_.top().ends <= until) {
      const Call ended = calls_.top();
      calls_.pop();
      retire(ended.ends);
      ended.connection->since = ended.ends;
      pool_.put(ended.connection->address, *ended.connection, ended.ends);
      if (pool_.size() > load_.idle_most)
        close(*pool_.longest());
      const int writers = load_.nodes - std::max(1, load_.nodes / 3);
      if (ended.reads)
        call("write" + std::to_string(draw(writers)), ended.ends, seconds(uniform(0.5, 4)), false);
    }
  }
  void retire(Time now) {
    constexpr Pool::Span idle = 4800ms;  // six tenths of 8 s
    while (pool_.longest() && now - pool_.longest()->since >= idle)
      close(*pool_.longest());
  }
  void close(FakeConnection& connection) {
    pool_.remove(connection.address, connection);
    open_.erase(&connection);
  }

  const Load load_;
  Pool pool_;
  std::mt19937 random_{1};
  Cost cost_;
  std::map<FakeConnection*, std::unique_ptr<FakeConnection>> open_;
  std::priority_queue<Call, std::vector<Call>, std::greater<>> calls_;
};

// Opening a connection costs the node work and the request time. With the rest no more than a few of a
// hundred calls need one that would not have needed it.
TEST(IdlePool, TheRestCostsFewConnections) {
  constexpr double most_more_of_thousand = 50;
  for (const Load& load :
       {Load{10, 20, 64}, Load{10, 50, 64}, Load{30, 40, 64}, Load{60, 40, 64}, Load{60, 80, 64},
        Load{10, 20, 120}, Load{10, 50, 120}, Load{30, 40, 120}, Load{60, 40, 120}, Load{60, 80, 120}}) {
    const Cost none = Schedule(load, Pool::Span(0)).play();
    const Cost some = Schedule(load, rest).play();
    std::cout << load.nodes << " nodes, " << load.requests_a_second << " requests/s, " << load.idle_most
              << " idle at the most: opened of 1000 calls " << none.opened_of_thousand() << " without rest, "
              << some.opened_of_thousand() << " with; open at once " << none.most_open << ", "
              << some.most_open << "\n";
    EXPECT_GE(some.shortest_rest, rest);
    EXPECT_LT(some.opened_of_thousand(), none.opened_of_thousand() + most_more_of_thousand);
  }
}

}  // namespace
}  // namespace lemonroute::http
