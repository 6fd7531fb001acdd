// A gRPC node made of raw frames, on the loop of what it tries, and an attempt that takes notes.
#pragma once

#include <gtest/gtest.h>
#include <netinet/tcp.h>

#include <chrono>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "conformance/peer.h"
#include "core/types.h"
#include "proto/lemonroute.pb.h"

namespace lemonroute::crossings {

using namespace conformance;
using Ids = std::vector<string>;
using SteadyClock = std::chrono::steady_clock;

// So many rounds of the loop show that something does not happen.
constexpr int rounds_of_absence = 60;
// The most that a test waits for what has to happen.
constexpr std::chrono::seconds patience{10};

inline bool turn_until(net::Loop& loop, const std::function<bool()>& holds) {
  const auto end = SteadyClock::now() + patience;
  while (!holds()) {
    if (SteadyClock::now() >= end)
      return false;
    event_base_loop(loop.base(), EVLOOP_NONBLOCK);
    usleep(100);
  }
  return true;
}
inline void turn_often(net::Loop& loop) {
  for (int i = 0; i < rounds_of_absence; ++i)
    event_base_loop(loop.base(), EVLOOP_NONBLOCK);
}
// What a stand-in writes leaves at once, so that a delay that is measured is not its own.
inline int no_delay(int fd) {
  const int on = 1;
  setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
  return fd;
}
// Lets time pass with the loop at rest: nothing that has come is handled.
inline void pass(std::chrono::milliseconds span) {
  usleep(static_cast<useconds_t>(std::chrono::microseconds(span).count()));
}

// Listens; each connection that is taken is a Peer, whose frames the test writes.
class StandInNode {
 public:
  explicit StandInNode(net::Loop& loop)
      : loop_(loop), door_(socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC | SOCK_NONBLOCK, 0)) {
    sockaddr_in at{};
    at.sin_family = AF_INET;
    at.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    socklen_t size = sizeof at;
    EXPECT_EQ(bind(door_, reinterpret_cast<sockaddr*>(&at), size), 0);
    EXPECT_EQ(listen(door_, 16), 0);
    getsockname(door_, reinterpret_cast<sockaddr*>(&at), &size);
    address = "127.0.0.1:" + std::to_string(ntohs(at.sin_port));
  }
  ~StandInNode() { close(door_); }
  StandInNode(const StandInNode&) = delete;
  StandInNode& operator=(const StandInNode&) = delete;

  // The next connection, its preface taken and SETTINGS exchanged; null if none comes.
  Peer* accept(std::uint32_t streams = 100, const string& settings = {}) {
    int fd = -1;
    turn_until(loop_, [&] { return (fd = ::accept(door_, nullptr, nullptr)) >= 0; });
    if (fd < 0)
      return nullptr;
    peers.push_back(std::make_unique<Peer>(loop_, no_delay(fd)));
    Peer& peer = *peers.back();
    if (!peer.preface_in())
      return nullptr;
    peer.send(frame(SETTINGS, NONE, 0, setting(3, streams) + settings));
    peer.until([&] { return peer.find(SETTINGS, 0) != nullptr; });
    peer.send(frame(SETTINGS, ACK, 0, ""));
    peer.settle();
    return &peer;
  }
  // No connection waits to be taken.
  bool nobody() {
    turn_often(loop_);
    const int fd = ::accept(door_, nullptr, nullptr);
    if (fd >= 0)
      close(fd);
    return fd < 0;
  }

  string address;
  std::vector<std::unique_ptr<Peer>> peers;

 private:
  net::Loop& loop_;
  int door_;
};

// What a peer has been asked: a field of each request's head, in the order of their coming.
inline Ids asked(const Peer& peer, std::string_view name = "req-id") {
  Ids fields;
  for (const auto& one : peer.seen)
    if (one.type == HEADERS)
      fields.emplace_back(grpc::find(one.headers, name));
  return fields;
}

// ---- what a node says ----
inline string head(Peer& peer, std::uint32_t stream) {
  return frame(HEADERS, END_HEADERS, stream,
               peer.block({{":status", "200"}, {"content-type", "application/grpc"}}));
}
inline string tail(Peer& peer, std::uint32_t stream, const string& status = "0") {
  return frame(HEADERS, END_HEADERS | END_STREAM, stream, peer.block({{"grpc-status", status}}));
}
inline string event(std::uint32_t stream, const string& text) {
  v1::RunEvent one;
  one.set_data(text);
  return frame(DATA, NONE, stream, grpc::frame(one.SerializeAsString()));
}
inline string prefill_done(std::uint32_t stream) {
  v1::RunEvent one;
  one.mutable_read()->set_cached_tokens(0);
  return frame(DATA, NONE, stream, grpc::frame(one.SerializeAsString()));
}
inline string goaway(std::uint32_t last, Code code = NO_ERROR) {
  return frame(GOAWAY, NONE, 0, number(last) + number(code));
}
inline string reset(std::uint32_t stream, Code code) {
  return frame(RST_STREAM, NONE, stream, number(code));
}

struct NotedAttempt : AttemptHandler {
  void on_request_written() override { sent = true; }
  void on_data(std::string_view data) override { text += data; }
  void on_done(AttemptResult result) override {
    outcome = result.outcome;
    call.reset();
    if (then)
      then();
  }
  bool sent = false;
  string text;
  std::optional<Outcome> outcome;
  std::unique_ptr<Call> call;
  std::function<void()> then;  // what whoever is told does next, there and then
};

}  // namespace lemonroute::crossings
