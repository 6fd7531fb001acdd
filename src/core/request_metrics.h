/// \file
/// Request counters by class, and the metrics of a router. Used on the serving thread only.
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

/// The numbers of requests of one class that have ended since the process started. A request whose client has
/// disconnected is not counted.
struct RequestCounts {
  std::uint64_t answered = 0;  ///< the client received the complete answer
  std::uint64_t rejected = 0;  ///< rejected so that the client may retry
  std::uint64_t failed = 0;    ///< failed, or the stream was interrupted
};

/// A snapshot of a router's metrics.
struct RouterMetrics {
  std::map<std::string, RequestCounts> classes;  ///< request counts by class name
  std::uint64_t sent_attempts = 0;               ///< attempts whose request was completely written to a node
  std::size_t open_requests = 0;                 ///< accepted requests that are not answered yet
  std::size_t listed_nodes = 0;                  ///< nodes in the endpoint list
  std::size_t unhealthy_nodes = 0;  ///< listed nodes that operators have drained or the Scheduler has ejected
};

/// The counters of all classes. Requests share ownership of them: a request is counted for the class that it
/// was accepted with, even if the settings no longer name that class.
class RequestMetrics {
 public:
  /// Returns the counters of the class, and creates them if there are none yet. Never null.
  std::shared_ptr<RequestCounts> counts_of(const std::string& name) {
    auto& counts = counts_[name];
    if (!counts)
      counts = std::make_shared<RequestCounts>();
    return counts;
  }
  /// Applies the classes of new settings. Of the classes that the settings no longer name, only the 64 that
  /// were removed last keep their counters, so that memory stays bounded however often classes are renamed.
  void set_classes(const std::vector<ClassSettings>& classes) {
    for (const auto& request_class : classes) {
      counts_of(request_class.name);
      std::erase(removed_classes_, request_class.name);
    }
    for (const auto& [name, counts] : counts_) {
      const auto has_name = [&name = name](const auto& other) { return other == name; };
      if (std::none_of(classes.begin(), classes.end(), [&](auto& other) { return has_name(other.name); }) &&
          std::none_of(removed_classes_.begin(), removed_classes_.end(), has_name))
        removed_classes_.push_back(name);
    }
    for (; removed_classes_.size() > max_removed_classes; removed_classes_.pop_front())
      counts_.erase(removed_classes_.front());
  }
  /// Returns a copy of all counters, by class name.
  std::map<std::string, RequestCounts> all() const {
    std::map<std::string, RequestCounts> copy;
    for (const auto& [name, counts] : counts_)
      copy[name] = *counts;
    return copy;
  }

 private:
  static constexpr std::size_t max_removed_classes = 64;
  std::map<std::string, std::shared_ptr<RequestCounts>> counts_;
  std::deque<std::string> removed_classes_;  // names, the most recently removed at the back
};

}  // namespace lemonroute
