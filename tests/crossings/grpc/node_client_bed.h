// The gRPC node client with one stand-in node.
#pragma once

#include <csignal>

#include "base/log.h"
#include "crossings/grpc/stand_in_node.h"
#include "grpc/node_client.h"

namespace lemonroute::crossings {

struct NodeClientBed : ::testing::Test {
  NodeClientBed() {
    logging::set_level(logging::Level::error);
    std::signal(SIGPIPE, SIG_IGN);
    node.name = "n";
    node.address = stand_in.address;
  }
  void begin(NotedAttempt& attempt, const string& id, Micros within = std::chrono::seconds(3),
             const string& body = "{}") {
    attempt.call = client.start_attempt(node, {id, "/", std::make_shared<string>(body)}, within, attempt);
  }
  bool until(const std::function<bool()>& holds) { return turn_until(loop, holds); }

  net::Loop loop;
  StandInNode stand_in{loop};
  grpc::NodeClient client{loop, grpc::Session::Limits{std::chrono::seconds(5)}};
  Node node;
};

}  // namespace lemonroute::crossings
