// The agent that tells one router of devices: whole lists, and a watch that waits for changes. Each router
// has its own, so that what each was told, and when, is known.
#pragma once

#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "scene/scene.h"
#include "stand_ins/server.h"

namespace lemonroute::rig {

struct Listing {
  std::string address, lifecycle;  // "active", "leaving" or "left"
  std::int64_t started_ms = 0;
};

class Discovery {
 public:
  using Told =
      std::function<void(const std::string& device, const Listing&)>;  // it has been written to the router
  Discovery(net::Loop& loop, const std::string& host, Told told);
  ~Discovery();
  std::string address() const { return host_ + ":" + std::to_string(listener_->port()); }
  void list(const DeviceLine& device, const Listing& listing);

 private:
  struct Visit;
  struct Entry {
    DeviceLine device;
    Listing listing;
    std::uint32_t since = 0;
  };
  void answer(Visit& visit);
  net::Loop& loop_;
  std::string host_;
  Told told_;
  std::uint32_t generation_ = 0;
  std::map<std::string, Entry> entries_;
  std::vector<std::unique_ptr<Visit>> visits_;
  std::unique_ptr<net::Listener> listener_;
};

}  // namespace lemonroute::rig
