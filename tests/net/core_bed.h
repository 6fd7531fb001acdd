// The core on a clock of the test's, with nodes and a client that only take notes.
#pragma once

#undef NDEBUG
#include <cassert>
#include <string>

#include "core/router.h"

namespace lemonroute::test {

using namespace std::chrono_literals;

struct TestClock : Clock {
  Micros at = 1h;
  Micros now() const override { return at; }
};

struct NoteCall : Call {
  explicit NoteCall(std::function<void()> over, std::function<void(bool)> paused = {})
      : over_(std::move(over)), paused_(std::move(paused)) {}
  ~NoteCall() override { over_(); }
  void set_reading_paused(bool paused) override {
    if (paused_)
      paused_(paused);
  }
  std::function<void()> over_;
  std::function<void(bool)> paused_;
};

struct TestNodes : NodeTransport {
  struct Begun {
    EndpointId host;
    AttemptHandler* attempt;
    bool open;
    bool paused = false;
  };
  std::vector<Begun> begun;
  bool many = false;  // several requests under way
  std::vector<std::pair<EndpointId, std::function<void(bool)>>> released;
  std::unique_ptr<Call> start_attempt(const Node& node, const Prompt&, Micros,
                                      AttemptHandler& attempt) override {
    for (const auto& one : begun)
      assert(many || !one.open);  // never two attempts out at once
    begun.push_back({node.id, &attempt, true});
    const std::size_t i = begun.size() - 1;
    return std::make_unique<NoteCall>([this, i] { begun[i].open = false; },
                                      [this, i](bool paused) { begun[i].paused = paused; });
  }
  std::unique_ptr<Call> release_reservation(const Node& node, const std::string&,
                                            std::function<void(bool)> done) override {
    released.emplace_back(node.id, std::move(done));
    return std::make_unique<NoteCall>([] {});
  }
  std::unique_ptr<Call> probe(const Node&, std::function<void(const AttemptResult&)>) override {
    return nullptr;
  }
  std::unique_ptr<Call> adopt_stream(const Node& node, const TransferredConnection&,
                                     AttemptHandler& attempt) override {
    begun.push_back({node.id, &attempt, true});
    return std::make_unique<NoteCall>([this, i = begun.size() - 1] { begun[i].open = false; });
  }
  void close_idle_connections(const Node&) override {}
  void set_limits(const Limits&) override {}
};

struct TestClient : Client {
  std::string seen;
  int answers = 0;
  bool slow = false;
  bool on_data(std::string_view data) override {
    seen += data;
    return !slow;
  }
  void finish() override { ++answers, seen += "|end"; }
  void reject(Micros) override { ++answers, seen += "|refused"; }
  void fail(FailureReason) override { ++answers, seen += "|failed"; }
  void abort_stream() override { ++answers, seen += "|cut"; }
};

inline Settings settings() {
  Settings s;
  ClassSettings c;
  c.name = "k";
  c.latency_objective = 1500ms;
  c.deadline = 6s;
  s.classes = {c};
  s.role_by_kind = {Role::prefill, Role::decode};
  s.kv_cache_tokens_by_kind = {200000, 150000};
  s.report_columns = {"active", "x0"};
  s.max_attempts = 6;
  s.cancellation_allowed = true;
  s.slow_start_duration = 13s;
  s.overload_window = 1s;
  return s;
}

struct Bed {
  TestClock clock;
  TestNodes nodes;
  TestClient client;
  Router core;
  RequestId id = 0;
  std::string next_id = "q";

  static Router::ListedNode node(const std::string& name, EndpointState phase = EndpointState::ready) {
    return {name, "127.0.0.1:1", "a", name.substr(0, 1), 0, phase, 1, Micros(0)};
  }
  explicit Bed(std::vector<std::string> names = {"r", "w"}, Settings limits = settings())
      : core(std::move(limits), {"a"}, {"r", "w"}, 1, clock, nodes) {
    std::vector<Router::ListedNode> list;
    for (const auto& name : names)
      list.push_back(node(name));
    core.update_endpoints(EndpointListKind::full, 1, list);
  }
  std::size_t unhealthy() const { return core.metrics().unhealthy_nodes; }
  void take() {
    ClientRequest client_request;
    client_request.prompt = {next_id, "/", std::make_shared<std::string>("{}")};
    client_request.request_class = "k";
    client_request.prompt_tokens = 100;
    assert(core.submit(client_request, client, id) == Router::SubmitResult::accepted);
  }
  void done(Outcome outcome, std::uint32_t kept = 0) {
    nodes.begun.back().attempt->on_done({outcome, kept, {}, {}});
  }
  void pass(Micros span) {
    clock.at += span;
    core.run_timers();
  }
};

}  // namespace lemonroute::test
