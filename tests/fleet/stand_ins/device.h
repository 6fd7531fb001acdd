// A reader or a writer: it keeps texts by key and says how much of a prompt it had. It can die, come back as
// a new process, and lose its texts without a word.
#pragma once

#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

#include "net/loop.h"
#include "stand_ins/server.h"

namespace lemonroute::rig {

// What a request asks to be read, as its client made it.
struct Prompt {
  std::string session, opening;
  std::uint32_t tokens = 0, shared = 0;  // shared: of the opening, at its beginning
};

// What the devices of a scene know of each other's states, and what an observer hears of them.
struct Cells {
  std::map<std::string, std::string> held;  // request: the reader that holds its state
  std::function<Prompt(const std::string& request)> prompt;
  std::function<void(const std::string&request, const std::string&device)> begun, over, holds, freed;
  std::function<void(const std::string& device, const Prompt&, std::uint32_t cached)> read;
};

class Device {
 public:
  Device(net::Loop& loop, Cells& cells, const std::string& host, std::string name, bool reader);
  ~Device();
  const std::string& name() const { return name_; }
  std::string address() const { return host_ + ":" + std::to_string(port_); }
  std::int64_t started_ms() const { return started_ms_; }  // Unix time
  bool dead() const { return !listener_; }

  void crash();    // its connections are reset, its port refuses, all that it held is gone
  void restart();  // a new process, at another port
  void flush();    // its texts are gone, and it does not say so

 private:
  struct Visit;
  void request(Visit& visit);
  std::uint32_t keep(const Prompt& prompt);  // how much of it was there already
  void let_go(const std::string& request);
  void listen();

  net::Loop& loop_;
  Cells& cells_;
  std::string host_, name_;
  bool reader_;
  std::uint16_t port_ = 0;
  std::int64_t started_ms_ = 0;
  std::map<std::string, std::uint32_t> texts_;  // by key: tokens
  std::vector<std::unique_ptr<Visit>> visits_;
  std::unique_ptr<net::Listener> listener_;
};

}  // namespace lemonroute::rig
