// A long run of the core on a clock of the test's: 100,000 requests of every ending, nodes that come and go.
// What is held afterwards is what was held early on, to a few kilobytes, and with nothing open the core is
// idle.
#include <gtest/gtest.h>
#include <malloc.h>

#include <cstdlib>
#include <iostream>
#include <map>
#include <new>
#include <random>

#include "base/log.h"
#include "core/router.h"

namespace {
std::size_t live = 0;  // bytes held, as the allocator counts them
}
void* operator new(std::size_t size) {
  void* const at = std::malloc(size);
  if (!at)
    throw std::bad_alloc();
  live += malloc_usable_size(at);
  return at;
}
void operator delete(void* at) noexcept {
  if (at)
    live -= malloc_usable_size(at);
  std::free(at);
}
void operator delete(void* at, std::size_t) noexcept {
  operator delete(at);
}

namespace lemonroute {
namespace {

using namespace std::chrono_literals;

struct Stopped : Clock {
  Micros at = 24h;
  Micros now() const override { return at; }
};

// Each call is answered by hand; a release has always arrived.
struct Nodes1 : NodeTransport {
  struct Run : Call {
    explicit Run(Nodes1& of) : nodes(of) {}
    ~Run() override { nodes.out = nullptr; }
    Nodes1& nodes;
  };
  std::unique_ptr<Call> start_attempt(const Node&, const Prompt&, Micros, AttemptHandler& attempt) override {
    EXPECT_EQ(out, nullptr);
    out = &attempt;
    return std::make_unique<Run>(*this);
  }
  std::unique_ptr<Call> release_reservation(const Node&, const std::string&,
                                            std::function<void(bool)> done) override {
    releases.push_back(std::move(done));
    return std::make_unique<Call>();
  }
  std::unique_ptr<Call> probe(const Node&, std::function<void(const AttemptResult&)>) override {
    ADD_FAILURE() << "probes are priced";
    return nullptr;
  }
  void close_idle_connections(const Node&) override {}
  void set_limits(const Limits&) override {}
  AttemptHandler* out = nullptr;
  std::vector<std::function<void(bool)>> releases;
};

struct Asker : Client {
  bool on_data(std::string_view) override { return true; }
  void finish() override { ++answers; }
  void reject(Micros) override { ++answers; }
  void fail(FailureReason) override { ++answers; }
  void abort_stream() override { ++answers; }
  int answers = 0;
};

class Soak {
 public:
  Soak() : core_(settings(), {"a"}, {"r", "w"}, 1, clock_, nodes_) {
    for (int i = 0; i < 8; ++i)
      list(i);
  }
  void run(int requests) {
    for (int i = 0; i < requests; ++i) {
      if (one_in(50))
        list(static_cast<int>(random_() % 8));
      ask();
      pass(40ms);
    }
  }
  std::size_t rest() {
    pass(1min);
    EXPECT_TRUE(core_.idle());
    EXPECT_EQ(core_.open_request_count(), 0u);
    EXPECT_EQ(core_.listed_node_count(), 8u);
    EXPECT_EQ(core_.next_timer(), std::nullopt) << "no timer is left";
    return live;
  }
  std::map<int, int> endings;

 private:
  static Settings settings() {
    Settings s;
    ClassSettings c;
    c.name = "k";
    c.latency_objective = 1500ms;
    c.deadline = 6s;
    s.classes = {c};
    s.role_by_kind = {Role::prefill, Role::decode};
    s.kv_cache_tokens_by_kind = {200000, 150000};
    s.report_columns = {"x0"};
    s.report_x0_is_memory = true;
    s.max_attempts = 6;
    s.cancellation_allowed = s.retry_after_allowed = true;
    s.max_retry_after = 500ms;
    s.reservation_release_timeout = 1s;
    s.overload_window = 1s;
    return s;
  }
  bool one_in(std::uint64_t n) { return random_() % n == 0; }
  // A node in the place of another: a new name, as every release of the nodes brings.
  void list(int place) {
    std::vector<Router::ListedNode> changes;
    const auto entry = [&](int number, EndpointState phase) {
      const std::string kind = place % 2 ? "w" : "r";
      changes.push_back({kind + std::to_string(place) + "-" + std::to_string(number), "127.0.0.1:1", "a",
                         kind, 0, phase, 1, Micros(0)});
    };
    if (numbers_[place])
      entry(numbers_[place], EndpointState::removed);
    entry(++numbers_[place], EndpointState::ready);
    core_.update_endpoints(EndpointListKind::incremental, ++version_, changes);
  }
  void ask() {
    Asker asker;
    ClientRequest client_request;
    client_request.prompt = {"q" + std::to_string(asked_++), "/", std::make_shared<std::string>("{}")};
    client_request.request_class = "k";
    client_request.session_key = 1 + random_() % 500;
    client_request.shared_prefix_key = 1 + random_() % 20;
    client_request.prompt_tokens = static_cast<double>(500 + random_() % 4000);
    client_request.shared_prefix_tokens = 400;
    RequestId id = 0;
    ASSERT_EQ(core_.submit(client_request, asker, id), Router::SubmitResult::accepted);
    bool reads = true;
    while (nodes_.out) {
      clock_.at += 5ms;
      const auto how = random_() % 20;
      if (how == 0) {  // its time is over, at whatever stage
        pass(7s);
      } else if (how == 1) {
        core_.client_disconnected(id);
        ++asker.answers;
      } else if (how <= 4) {
        nodes_.out->on_done({how == 2   ? Outcome::reset
                             : how == 3 ? Outcome::error
                                        : Outcome::rejected_over_capacity,
                             0,
                             {},
                             "x"});
      } else if (reads) {
        reads = false;
        nodes_.out->on_done({Outcome::prefill_done, 100, "x0=0.1", {}});
      } else {
        AttemptHandler& stream = *nodes_.out;
        stream.on_data("a");
        if (how == 5)
          pass(5s);  // it falls silent
        else
          stream.on_done({how == 6 ? Outcome::reset : Outcome::ok, 0, "x0=0.1", {}});
      }
      ++endings[static_cast<int>(how)];
    }
    EXPECT_EQ(asker.answers, 1);
    for (const auto& done : std::exchange(nodes_.releases, {}))
      done(true);
  }
  void pass(Micros span) {
    const Micros until = clock_.at + span;
    for (auto due = core_.next_timer(); due && *due <= until; due = core_.next_timer()) {
      clock_.at = std::max(clock_.at, *due);
      core_.run_timers();
      for (const auto& done : std::exchange(nodes_.releases, {}))
        done(true);
    }
    clock_.at = until;
  }

  std::mt19937_64 random_{3};
  Stopped clock_;
  Nodes1 nodes_;
  Router core_;
  std::uint32_t version_ = 0;
  int asked_ = 0, numbers_[8] = {};
};

TEST(Soak, TablesReturnToTheirSize) {
  logging::set_level(logging::Level::error);
  Soak soak;
  soak.run(25000);
  const std::size_t early = soak.rest();
  soak.run(75000);
  const std::size_t late = soak.rest();
  std::cout << "held after 25,000 requests " << early << " bytes, after 100,000 " << late << "\n";
  EXPECT_LT(late, early + 64 * 1024);
  EXPECT_LT(late, 4u * 1024 * 1024);
  for (int how = 0; how < 8; ++how)
    EXPECT_GT(soak.endings[how], 1000) << how;
}

}  // namespace
}  // namespace lemonroute
