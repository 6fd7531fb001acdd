// Stand-ins on loopback for what surrounds a router: nodes, a discovery agent and clients of both fronts.
// They speak the platform's protocol, keep state as real nodes do, and can be told to drain or to die.
#pragma once

#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

#include "grpc/session.h"
#include "http/client.h"
#include "http/event_stream.h"
#include "net/connection.h"

namespace lemonroute::demo {

using std::chrono::milliseconds;

// What the nodes of a fleet know of each other's states, and what an observer hears of them.
struct Fleet {
  std::map<std::string, std::string> held;  // request: the reader that holds its state
  std::function<void(const std::string&request, const std::string&node)> begun, over, holds, freed;
};

// A reader or a writer: an HTTP/1.1 server.
class Node {
 public:
  Node(net::Loop& loop, Fleet& fleet, std::string name, bool reader);
  ~Node();
  const std::string& name() const { return name_; }
  bool reader() const { return reader_; }
  std::string address() const { return "127.0.0.1:" + std::to_string(port_); }
  // The process dies: its connections are reset and its port refuses. What it held is gone with it.
  void crash();
  bool dead() const { return !listener_; }

  milliseconds read_time{120}, first_time{60}, token_time{40};

 private:
  struct Visit;
  void accept(evutil_socket_t fd);
  void request(Visit& visit);
  void drop(Visit& visit);

  net::Loop& loop_;
  Fleet& fleet_;
  std::string name_;
  bool reader_;
  std::uint16_t port_ = 0;
  std::vector<std::unique_ptr<Visit>> visits_;
  std::unique_ptr<net::Listener> listener_;
};

// The agent that tells of nodes: whole lists, and a watch that waits for changes.
class Discovery {
 public:
  explicit Discovery(net::Loop& loop);
  ~Discovery();
  std::string address() const;
  void tell(const Node& node, const char* lifecycle);  // "active", "leaving" or "left"

 private:
  struct Visit;
  std::string whole() const;
  void answer(Visit& visit);
  struct Entry {
    std::string json;
    bool left = false;
    std::uint32_t since = 0;
  };
  net::Loop& loop_;
  std::uint32_t generation_ = 0;
  std::map<std::string, Entry> entries_;
  std::vector<std::unique_ptr<Visit>> visits_;
  std::unique_ptr<net::Listener> listener_;
};

// One request, over HTTP or gRPC. `event` hears each piece of text, `ended` once how it ended: "served",
// "refused", "failed", "cut".
struct Question {
  std::string id, kind, session, opening;
  int tokens = 0, shared = 0;
  std::chrono::microseconds patience{};
};
struct Heard {
  std::function<void(const std::string& text)> event;
  std::function<void(const std::string& how)> ended;
};
class Client {
 public:
  virtual ~Client() = default;
};
std::unique_ptr<Client> ask_http(net::Loop& loop, http::Client& pool, const std::string& address,
                                 const Question& question, Heard heard);
std::unique_ptr<Client> ask_grpc(net::Loop& loop, const std::string& address, const Question& question,
                                 Heard heard);

}  // namespace lemonroute::demo
