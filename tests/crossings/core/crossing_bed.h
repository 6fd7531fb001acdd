// A router among stand-ins whose attempts are sent or not as the test says, on a clock of the test's.
#pragma once

#include <gtest/gtest.h>

#include "base/log.h"
#include "net/core_bed.h"

namespace lemonroute::test {

// Attempts of the test's that are unsent until it says otherwise, with the time that their node is told.
struct WireNodes : TestNodes {
  struct WireCall : NoteCall {
    WireCall(std::function<void()> over, const bool& unsent) : NoteCall(std::move(over)), unsent_(unsent) {}
    bool not_sent() const override { return unsent_; }
    const bool& unsent_;
  };
  std::unique_ptr<Call> start_attempt(const Node& node, const Prompt&, Micros within,
                                      AttemptHandler& attempt) override {
    told.push_back(within);
    begun.push_back({node.id, &attempt, true});
    return std::make_unique<WireCall>([this, i = begun.size() - 1] { begun[i].open = false; }, unsent);
  }
  bool unsent = false;  // those that are out
  std::vector<Micros> told;
};

struct Crossing : ::testing::Test {
  Crossing() { logging::set_level(logging::Level::error); }
  static Settings limits(Idempotency effect = Idempotency::idempotent, Micros window = 1s) {
    Settings s = settings();
    s.reservation_release_timeout = 1s;
    s.drain_grace = 500ms;
    s.classes[0].idempotency = effect;
    s.classes[0].retry_window = window;
    return s;
  }
  void start(Settings with, std::vector<std::string> names = {"r", "r2", "w", "w2"}) {
    core.reset();
    nodes = {};
    client = {};
    limit = with;
    core.emplace(with, zones, kinds, 1, clock, nodes);
    std::vector<Router::ListedNode> list;
    for (const auto& name : names)
      list.push_back(Bed::node(name));
    core->update_endpoints(EndpointListKind::full, 1, list);
    take("q");
  }
  void take(const std::string& name) {
    ClientRequest request;
    request.prompt = {name, "/", std::make_shared<std::string>("{}")};
    request.request_class = "k";
    request.prompt_tokens = 100;
    ASSERT_EQ(core->submit(request, client, id), Router::SubmitResult::accepted);
  }
  void retune(Settings with) { core->update_settings(with, zones, kinds); }
  void done(Outcome outcome, std::uint32_t kept = 0) {
    nodes.begun.back().attempt->on_done({outcome, kept, {}, {}});
  }
  void pass(Micros span) {
    clock.at += span;
    core->run_timers();
  }
  std::size_t open() const {
    return static_cast<std::size_t>(
        std::count_if(nodes.begun.begin(), nodes.begun.end(), [](const auto& one) { return one.open; }));
  }
  std::string at() const { return core->endpoint_name(nodes.begun.back().host); }
  // Nothing is sent and nobody is told anything any more.
  void expect_quiet(std::size_t begun, int answers) {
    for (int i = 0; i < 80; ++i)
      pass(100ms);
    EXPECT_EQ(nodes.begun.size(), begun);
    EXPECT_EQ(client.answers, answers);
  }

  const std::vector<std::string> zones{"a"}, kinds{"r", "w"};
  TestClock clock;
  WireNodes nodes;
  TestClient client;
  Settings limit;
  std::optional<Router> core;
  RequestId id = 0;
};

}  // namespace lemonroute::test
