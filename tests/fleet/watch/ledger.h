// Every request of a scene, and the monitor of the rules over all processes at once. Nodes are told to the
// monitor as DEVICE@ROUTER, since each router learns of a drain by itself.
#pragma once

#include <functional>
#include <map>
#include <set>
#include <string>

#include "rules/monitor.h"
#include "stand_ins/device.h"

namespace lemonroute::rig {

// Where a request was put: one process of one router.
struct Asked {
  std::string router, region;
  unsigned generation = 0;
  Prompt prompt;
};

class Ledger {
 public:
  // `running`: whether that process of the router is there and not frozen. What is asked of any other one is
  // owed nothing: its clients have gone.
  using Running = std::function<bool(const std::string& router, unsigned generation)>;
  Ledger(const rules::Limits& limits, Running running) : monitor_(limits), running_(std::move(running)) {}

  void told(Micros now, const std::string& router, const std::string& device, const std::string& lifecycle,
            Micros started);
  void asked(Micros now, const std::string& request, const Asked& asked, Micros deadline);
  void first(Micros now, const std::string& request);
  void answered(Micros now, const std::string& request, const std::string& how);
  void left(Micros now, const std::string& request);
  void begun(Micros now, const std::string& request, const std::string& device);
  void over(Micros now, const std::string& request, const std::string& device);
  void holds(Micros now, const std::string& request, const std::string& device);
  void freed(Micros now, const std::string& request, const std::string& device);
  void read(const std::string& device, const Prompt& prompt, std::uint32_t cached);
  // The process has ended or is frozen: its clients go, and what it holds is not its fault.
  void away(Micros now, const std::string& router);
  // It goes on: drains that it was told of meanwhile count from now, and what it holds does too.
  void back(Micros now, const std::string& router);

  void advance(Micros now) { monitor_.advance(now); }
  void finish(Micros now);  // nothing more will happen

  const Prompt& prompt(const std::string& request) const { return requests_.at(request).asked.prompt; }
  std::size_t answers(const std::string& how) const;
  std::size_t readers_of(
      const std::string& opening) const;             // that had none of it when they were asked to read it
  std::size_t owed() const;                          // states held for requests of processes that run
  std::size_t open() const { return open_.size(); }  // requests whose clients wait
  const std::vector<rules::Breach>& breaches() const { return monitor_.breaches(); }

 private:
  struct Entry {
    Asked asked;
    bool frozen = false;  // its client went while its process could not notice
    std::set<std::string> holders;
  };
  // The name that the monitor knows it by; empty where the process is gone and nothing is watched any more.
  std::string watched(Micros now, const std::string& request, Entry& entry);
  std::string node(const std::string& device, const Entry& entry) const {
    return device + "@" + entry.asked.router;
  }

  rules::Monitor monitor_;
  Running running_;
  std::map<std::string, Entry> requests_;
  std::set<std::string> open_, again_;  // again: watched a second time, after their process was frozen
  std::map<std::string, std::size_t> answers_;
  std::map<std::string, std::set<std::string>> read_;  // opening: readers
  struct Told {
    EndpointState phase;
    Micros started;
  };
  std::map<std::string, std::map<std::string, Told>> told_;  // router, device
};

}  // namespace lemonroute::rig
