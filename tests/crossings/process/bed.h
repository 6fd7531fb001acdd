// The program on loopback among stand-ins that do nothing until the test says so: an agent that holds its
// answers, nodes that hold an accept, a byte or an end, clients that hold the rest of a request.
#pragma once

#include <gtest/gtest.h>

#include <chrono>
#include <functional>
#include <memory>
#include <string>
#include <vector>

#include "cli/program.h"
#include "config/platform.h"
#include "net/connection.h"
#include "net/loop.h"

namespace lemonroute::crossings {

using namespace std::chrono_literals;
using Wall = std::chrono::steady_clock;

// A state that is to come has come by then, also on a busy machine.
constexpr std::chrono::seconds comes_within{10};

// One end of a connection, in the hands of the test.
class Socket {
 public:
  explicit Socket(int fd = -1) : fd_(fd) {}
  Socket(Socket&& other) noexcept;
  Socket& operator=(Socket&& other) noexcept;
  ~Socket() { close(); }
  static Socket connect(std::uint16_t port);

  int fd() const { return fd_; }
  bool open() const { return fd_ >= 0; }
  void send(const std::string& text);
  // All that has come until now.
  const std::string& text();
  bool has(const std::string& text) { return this->text().find(text) != std::string::npos; }
  std::size_t count(const std::string& text);
  bool ended() { return text(), ended_; }  // the other side has ended or reset the connection
  bool was_reset() { return text(), reset_; }
  void close();
  void reset();  // ends it by a RST

 private:
  int fd_;
  bool ended_ = false, reset_ = false;
  std::string text_;
};

// A node, or anything else that listens: it accepts when it is told to.
class Door {
 public:
  // With a queue of 0 a second connection does not come up while the first waits.
  explicit Door(int queue = 16);
  ~Door();
  Door(const Door&) = delete;
  Door& operator=(const Door&) = delete;
  int fd() const { return fd_; }
  std::uint16_t port() const;
  std::string address() const { return "127.0.0.1:" + std::to_string(port()); }
  Socket accept();  // not open if nobody waits

 private:
  int fd_;
};

// A discovery agent on the loop.
class Agent {
 public:
  struct Visit : net::Connection::Handler {
    Visit(Agent& of, evutil_socket_t fd);
    void on_readable() override;
    void on_closed() override { closed = true; }
    void answer(const std::string& body);
    Agent& agent;
    net::Connection connection;
    net::Timer wait;
    std::string target;  // of the call that waits for its answer; none: ""
    bool closed = false;
  };
  explicit Agent(net::Loop& on) : loop(on) {}
  std::string address() const { return "127.0.0.1:" + std::to_string(listener.port()); }
  // Sets one node's state; calls that wait hear of it unless answers are held.
  void list(const std::string& node, const std::string& address, const std::string& lifecycle);
  std::string whole() const;      // the list as it is answered
  void hold(bool on);             // silent; calls that came meanwhile are never answered
  void hang_up();                 // ends every connection
  std::vector<Visit*> waiting();  // calls without an answer, the oldest first

  net::Loop& loop;
  Micros delay{};  // of each answer
  int calls = 0;
  std::uint32_t generation = 1;

 private:
  friend struct Visit;
  void consider(Visit& visit);
  std::string instance_;
  bool held_ = false;
  std::vector<std::unique_ptr<Visit>> visits_;
  net::Listener listener{loop, "127.0.0.1:0", [this](evutil_socket_t fd) {
                           visits_.push_back(std::make_unique<Visit>(*this, fd));
                         }};
};

// `longest` is the one class's deadline. The only node both reads and writes.
config::Platform platform(const std::string& name, const std::string& discovery, const std::string& node,
                          std::chrono::milliseconds longest);

std::string request(const std::string& id, const std::string& deadline = "20");

struct Bed : ::testing::Test {
  Bed();
  ~Bed() override;
  void start(std::chrono::milliseconds longest = 7500ms);
  Socket ask(const std::string& id) { return ask_at(*program, id); }
  Socket ask_at(const cli::Program& at, const std::string& id);
  Socket connect() { return Socket::connect(program->port()); }
  // Runs the loop until `seen`; false if that does not come.
  bool until(const std::function<bool()>& seen, Wall::duration most = comes_within);
  void run(Wall::duration span);  // an absence is watched for so long
  // The program has the agent's newest list, and watches for newer ones.
  bool has_list(Wall::duration most = comes_within);
  // The node's end of the next connection to it, once a request has come whole.
  Socket next_at_node();

  net::Loop loop;
  net::Loop* beside = nullptr;  // runs as well: of another process
  Agent agent{loop};
  Door node;
  config::Platform settings;
  std::unique_ptr<cli::Program> program;
  cli::Reload reload = [this] { return settings; };
};

// What a node writes: the head of a stream, one event of it, its end.
extern const std::string stream_head, stream_end;
std::string stream_event(const std::string& data);

}  // namespace lemonroute::crossings
