// Carries the connections of one router to one device. A cut leaves connections as they are and carries
// nothing, the way a cable that was pulled does; a slow link delays bytes by the same span each way.
#pragma once

#include <list>
#include <memory>
#include <string>

#include "faults/links.h"
#include "net/connection.h"
#include "net/loop.h"

namespace lemonroute::rig {

class StreamRelay {
 public:
  StreamRelay(net::Loop& loop, const std::string& host, Links& links, std::string router, std::string device);
  ~StreamRelay();
  std::string address() const { return host_ + ":" + std::to_string(listener_->port()); }
  void aim(std::string address) {
    to_ = std::move(address);
  }                 // where the device is; new connections go there
  void relinked();  // faults have changed: what was held may go on

 private:
  class Pipe;
  void drop(Pipe& pipe);
  net::Loop& loop_;
  Links& links_;
  std::string host_, router_, device_, to_;
  std::list<std::unique_ptr<Pipe>> pipes_;
  std::unique_ptr<net::Listener> listener_;
};

}  // namespace lemonroute::rig
