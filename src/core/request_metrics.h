// What the router counts from its start on, for each class.
#pragma once

#include <algorithm>
#include <cstdint>
#include <deque>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "lemonroute/scheduler.h"

namespace lemonroute {

struct RequestCounts {
  std::uint64_t answered = 0, rejected = 0, failed = 0;  // requests served, refused, failed
};

// What is true of the whole at one moment.
struct RouterMetrics {
  std::map<std::string, RequestCounts> classes;
  std::uint64_t sent_attempts = 0;  // attempts written whole to nodes
  std::size_t open_requests = 0;    // requests taken and not ended
  std::size_t listed_nodes = 0;     // nodes in the list
  std::size_t unhealthy_nodes = 0;  // of them, those avoided: by hand, or by the module's choice
};

// The counts by class. A request holds on to the counts of the class that it was taken with, whatever becomes
// of that class meanwhile.
class RequestMetrics {
 public:
  std::shared_ptr<RequestCounts> counts_of(const std::string& name) {
    auto& counts = counts_[name];
    if (!counts)
      counts = std::make_shared<RequestCounts>();
    return counts;
  }
  // Guards against a sidecar that is retuned for years under ever new names: of the classes that have
  // vanished, only the last ones keep their counts.
  void set_classes(const std::vector<ClassSettings>& classes) {
    for (const auto& one : classes) {
      counts_of(one.name);
      std::erase(vanished_, one.name);
    }
    for (const auto& [name, counts] : counts_) {
      const auto is = [&name = name](const auto& one) { return one == name; };
      if (std::none_of(classes.begin(), classes.end(), [&](auto& one) { return is(one.name); }) &&
          std::none_of(vanished_.begin(), vanished_.end(), is))
        vanished_.push_back(name);
    }
    for (; vanished_.size() > most_vanished; vanished_.pop_front())
      counts_.erase(vanished_.front());
  }
  std::map<std::string, RequestCounts> all() const {
    std::map<std::string, RequestCounts> copy;
    for (const auto& [name, counts] : counts_)
      copy[name] = *counts;
    return copy;
  }

 private:
  static constexpr std::size_t most_vanished = 64;
  std::map<std::string, std::shared_ptr<RequestCounts>> counts_;
  std::deque<std::string> vanished_;
};

}  // namespace lemonroute
