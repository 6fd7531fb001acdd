// Two nodes and many clients on loopback, driven by a thread of their own, before the real front, core and
// node client on the test's loop. Each event carries the time at which its node wrote it.
#pragma once

#include <algorithm>
#include <atomic>
#include <map>
#include <sstream>
#include <thread>
#include <vector>

#include "acceptance/door.h"
#include "base/log.h"
#include "core/router.h"
#include "http/front.h"
#include "http/node_client.h"

namespace lemonroute::acceptance {

using SteadyTime = std::chrono::steady_clock::time_point;

// One stream: its events, and when its client had them.
struct Stream {
  bool slow = false;     // its client never reads
  bool in_turn = false;  // each event is written once its client has the one before it
  std::size_t written = 0, read = 0;
  std::size_t most_in_a_read = 0;
  std::chrono::microseconds most_delay{0};
  bool ended = false;  // with its last chunk
};

class StreamPlay {
 public:
  static constexpr std::size_t slow_event = 8 * 1024;  // bytes of an event for a client that never reads

  // Each stream has `events`, one `every` so often.
  StreamPlay(std::vector<Stream> streams, std::size_t events, std::chrono::milliseconds every)
      : streams_(std::move(streams)), events_(events), every_(every) {
    logging::set_level(logging::Level::error);
    core_.update_endpoints(EndpointListKind::full, 1,
                           {{"r", reader_.address, "a", "r", 0, EndpointState::ready, 1, Micros(0)},
                            {"w", writer_.address, "a", "w", 0, EndpointState::ready, 1, Micros(0)}});
  }
  // Until all streams but the slow ones have ended; false: they didn't.
  bool play() {
    const std::uint16_t port = front_.port();
    std::thread peers([&] { run_peers(port); });
    const bool all = until(
        loop_,
        [&] {
          note_round();
          core_.run_timers();
          return over_.load();
        },
        60s);
    stop_ = true;
    peers.join();
    return all;
  }
  const std::vector<Stream>& streams() const { return streams_; }
  // Of the router's loop, which waits for 1 ms at the most: by the wall clock, and how long its thread ran in
  // it. What is missing it waited for a processor.
  std::chrono::microseconds longest_router_round() const { return longest_router_round_; }
  std::chrono::microseconds ran_in_it() const { return ran_in_it_; }
  // Of the peers' thread: so much of a delay may be theirs.
  std::chrono::microseconds longest_round() const { return longest_round_; }

 private:
  struct Peer {
    int fd;
    std::size_t stream = 0;
    std::string input{}, output{};
    bool streams = false, done = false;
    SteadyTime next{};
  };
  static Settings settings() {
    Settings s;
    s.classes.resize(1);
    s.classes[0].name = "k";
    s.classes[0].latency_objective = 30s;
    s.classes[0].deadline = 60s;
    s.role_by_kind = {Role::prefill, Role::decode};
    s.max_attempts = 6;
    return s;
  }
  void note_round() {
    timespec cpu{};
    clock_gettime(CLOCK_THREAD_CPUTIME_ID, &cpu);
    const std::chrono::microseconds ran(cpu.tv_sec * 1'000'000 + cpu.tv_nsec / 1000);
    const SteadyTime now = std::chrono::steady_clock::now();
    const auto took = std::chrono::duration_cast<std::chrono::microseconds>(now - round_began_);
    if (round_began_ != SteadyTime{} && took > longest_router_round_) {
      longest_router_round_ = took;
      ran_in_it_ = ran - ran_before_;
    }
    round_began_ = now;
    ran_before_ = ran;
  }
  static std::string chunk(const std::string& text) {
    std::ostringstream out;
    out << std::hex << text.size() << "\r\n" << text << "\r\n";
    return out.str();
  }

  // ---- in the thread of the peers ----

  void run_peers(std::uint16_t port) {
    for (std::size_t i = 0; i < streams_.size(); ++i)
      connect_client(port, i);
    while (!stop_) {
      const SteadyTime began = std::chrono::steady_clock::now();
      wait();
      for (const Door* door : {&reader_, &writer_})
        while (readable(door->fd))
          nodes_.push_back({accept4(door->fd, nullptr, nullptr, SOCK_NONBLOCK | SOCK_CLOEXEC)});
      for (Peer& node : nodes_)
        serve(node);
      for (Peer& client : clients_)
        read_events(client);
      over_ = std::all_of(streams_.begin(), streams_.end(),
                          [](const Stream& one) { return one.slow || one.ended; });
      longest_round_ = std::max(longest_round_, std::chrono::duration_cast<std::chrono::microseconds>(
                                                    std::chrono::steady_clock::now() - began));
    }
    for (const auto* peers : {&nodes_, &clients_})
      for (const Peer& peer : *peers)
        close(peer.fd);
  }
  void wait() {
    std::vector<pollfd> all{{reader_.fd, POLLIN, 0}, {writer_.fd, POLLIN, 0}};
    for (const Peer& node : nodes_)
      all.push_back({node.fd, POLLIN, 0});
    for (const Peer& client : clients_)
      if (!streams_[client.stream].slow)
        all.push_back({client.fd, POLLIN, 0});
    poll(all.data(), all.size(), 1);
  }
  void connect_client(std::uint16_t port, std::size_t i) {
    const int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    const int small = 4096;
    if (streams_[i].slow)
      setsockopt(fd, SOL_SOCKET, SO_RCVBUF, &small, sizeof small);
    const net::SocketAddress to("127.0.0.1:" + std::to_string(port));
    EXPECT_EQ(connect(fd, to.address(), static_cast<socklen_t>(to.length())), 0);
    say(fd, "POST /v1/chat/completions HTTP/1.1\r\nReq-Id: q" + std::to_string(i) +
                "\r\nReq-Kind: k\r\nContent-Length: 2\r\n\r\n{}");
    clients_.push_back({fd, i});
  }
  // Takes what a client's node is asked, and writes the next event when it is due.
  void serve(Peer& node) {
    node.input += hear(node.fd).text;
    if (node.input.ends_with("\r\n\r\n{}")) {
      const auto id = node.input.find("Req-Id: q") + 9;
      node.stream = std::stoul(node.input.substr(id));
      node.input.clear();
      if (begun_[node.stream]++ == 0) {
        node.output += "HTTP/1.1 202 Accepted\r\nContent-Length: 19\r\n\r\n{\"cached_tokens\": 0}";
      } else {
        node.output +=
            "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n";
        node.streams = true;
      }
    }
    if (node.streams && node.output.empty())
      write_event(node);
    const auto sent = send(node.fd, node.output.data(), node.output.size(), MSG_DONTWAIT | MSG_NOSIGNAL);
    if (sent > 0)
      node.output.erase(0, static_cast<std::size_t>(sent));
  }
  void write_event(Peer& node) {
    Stream& stream = streams_[node.stream];
    const SteadyTime now = std::chrono::steady_clock::now();
    if (stream.slow) {
      node.output = chunk("data: " + std::string(slow_event, 'x') + "\n\n");
      ++stream.written;
      return;
    }
    if (now < node.next || (stream.in_turn && stream.read < stream.written))
      return;
    if (stream.written == events_) {
      node.output = chunk("data: [DONE]\n\n") + "0\r\n\r\n";
      node.streams = false;
      return;
    }
    node.next = now + (stream.in_turn ? 0ms : every_);
    node.output = chunk("data: " + std::to_string(now.time_since_epoch().count()) + "\n\n");
    ++stream.written;
  }
  void read_events(Peer& client) {
    Stream& stream = streams_[client.stream];
    if (stream.slow || stream.ended)
      return;
    client.input += hear(client.fd).text;
    const SteadyTime now = std::chrono::steady_clock::now();
    std::size_t events = 0, at = 0;
    for (;;) {
      const auto found = client.input.find("data: ", at);
      const auto end = found == std::string::npos ? found : client.input.find("\n\n", found);
      if (end == std::string::npos)
        break;
      at = end + 2;
      if (client.input.compare(found + 6, 6, "[DONE]") == 0)
        continue;
      const SteadyTime wrote{std::chrono::nanoseconds(std::stoll(client.input.substr(found + 6)))};
      stream.most_delay =
          std::max(stream.most_delay, std::chrono::duration_cast<std::chrono::microseconds>(now - wrote));
      ++events;
    }
    client.input.erase(0, at);
    stream.read += events;
    stream.most_in_a_read = std::max(stream.most_in_a_read, events);
    stream.ended = client.input.ends_with("\r\n0\r\n\r\n");
  }

  std::vector<Stream> streams_;
  const std::size_t events_;
  const std::chrono::milliseconds every_;
  Door reader_{256}, writer_{256};
  std::vector<Peer> nodes_, clients_;
  std::map<std::size_t, int> begun_;  // attempts, by stream
  SteadyTime round_began_{};
  std::chrono::microseconds longest_round_{0}, longest_router_round_{0}, ran_in_it_{0}, ran_before_{0};
  std::atomic<bool> over_{false}, stop_{false};
  net::Loop loop_;
  http::NodeClient node_client_{loop_, http::ClientLimits{}};
  SystemClock clock_;
  Router core_{settings(), {"a"}, {"r", "w"}, 1, clock_, node_client_};
  http::Front front_{loop_, core_, http::Front::Options{{"127.0.0.1:0"}, 1024}};
};

}  // namespace lemonroute::acceptance
