// Keeps the core's list of nodes up to date by watching discovery.
#pragma once

#include <memory>
#include <string>
#include <string_view>

#include "core/router.h"
#include "discovery/cadence.h"
#include "discovery/list_call.h"
#include "http/client.h"

namespace lemonroute::discovery {

class Watch : ListCall::Events {
 public:
  Watch(net::Loop& loop, std::string address, Router& router, Cadence cadence = Cadence());
  ~Watch() override;
  Watch(const Watch&) = delete;
  Watch& operator=(const Watch&) = delete;

  void start() { ask(); }
  void move(std::string address);  // asks there from now on, for the whole list first
  void retune(Lists lists, Micros drain_grace) { cadence_.retune(lists, drain_grace); }
  bool heard() const { return heard_; }  // a list has come since the start

 private:
  void ask();
  void answered(ListCall& call) override;
  void silent(ListCall& call) override;
  void lost(ListCall& call, std::string_view why) override;
  void failed(std::string_view why, Cadence::Fault fault);
  void take(const Cadence::Answer& answer);
  void drop(std::unique_ptr<ListCall>& call);
  void drop_calls();

  net::Loop& loop_;
  std::string address_;
  Router& router_;
  http::Client client_;
  net::Timer again_;
  Cadence cadence_;
  std::unique_ptr<ListCall> call_;  // the last one; none while it rests
  // One that was followed by others without having been answered. It asks for the whole list, and none is
  // held while it is there: whichever call is answered first is the list.
  std::unique_ptr<ListCall> earlier_;
  bool well_ = true, heard_ = false;
};

}  // namespace lemonroute::discovery
