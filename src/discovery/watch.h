// Keeps the core's list of nodes up to date by watching discovery.
#pragma once

#include <chrono>

#include "core/router.h"
#include "discovery/cadence.h"
#include "http/client.h"

namespace lemonroute::discovery {

class Watch : http::Listener {
 public:
  Watch(net::Loop& loop, std::string address, Router& router, Cadence cadence = Cadence());
  void start() { ask(); }
  void move(std::string address);  // asks there from now on, for the whole list first
  void retune(Lists lists, Micros drain_grace) { cadence_.retune(lists, drain_grace); }
  bool heard() const { return heard_; }  // a list has come since the start

 private:
  void ask();
  void head(const http::Head& head) override { status_ = head.status; }
  void body(std::string_view piece) override;
  void ended(http::Ending how) override;
  void failed(std::string_view why, Cadence::Fault fault);
  void broken(std::string_view why);  // the call that is under way
  void take();

  std::string address_;
  Router& router_;
  http::Client client_;
  net::Timer again_, overdue_, whole_;
  std::unique_ptr<http::Exchange> exchange_;
  Cadence cadence_;
  std::chrono::steady_clock::time_point asked_;
  bool well_ = true, heard_ = false;
  int status_ = 0;
  std::string text_;
};

}  // namespace lemonroute::discovery
