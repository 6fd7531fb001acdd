/// \file
/// Counters of requests, by class, and the metrics of a router. Used on the serving thread only.
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

/// The requests of one class that have ended, since the process has started. A request whose client has
/// disconnected counts as none of these.
struct RequestCounts {
  std::uint64_t answered = 0;  ///< the answer was complete
  std::uint64_t rejected = 0;  ///< rejected: the client may try again
  std::uint64_t failed = 0;    ///< failed, or the stream broke off
};

/// The metrics of a router at one moment.
struct RouterMetrics {
  std::map<std::string, RequestCounts> classes;  ///< by the name of the class
  std::uint64_t sent_attempts = 0;               ///< attempts that were written completely to nodes
  std::size_t open_requests = 0;                 ///< requests that were accepted and are not answered
  std::size_t listed_nodes = 0;                  ///< nodes in the endpoint list
  std::size_t unhealthy_nodes = 0;               ///< of these, the ones drained by operators or ejected
};

/// Owns the counters of all classes, together with the requests that use them: a request counts for the class
/// that it was accepted with, even if the settings no longer name that class.
class RequestMetrics {
 public:
  /// Returns the counters of the class, beginning at 0 if there are none yet. Never null.
  std::shared_ptr<RequestCounts> counts_of(const std::string& name) {
    auto& counts = counts_[name];
    if (!counts)
      counts = std::make_shared<RequestCounts>();
    return counts;
  }
  /// Takes the classes of new settings. Of the classes that the settings no longer name, only the 64 that
  /// were removed last keep their counters, so that memory stays bounded however often classes are renamed.
  void set_classes(const std::vector<ClassSettings>& classes) {
    for (const auto& one : classes) {
      counts_of(one.name);
      std::erase(removed_classes_, one.name);
    }
    for (const auto& [name, counts] : counts_) {
      const auto is = [&name = name](const auto& one) { return one == name; };
      if (std::none_of(classes.begin(), classes.end(), [&](auto& one) { return is(one.name); }) &&
          std::none_of(removed_classes_.begin(), removed_classes_.end(), is))
        removed_classes_.push_back(name);
    }
    for (; removed_classes_.size() > max_removed_classes; removed_classes_.pop_front())
      counts_.erase(removed_classes_.front());
  }
  /// Returns a copy of all counters, by the name of the class.
  std::map<std::string, RequestCounts> all() const {
    std::map<std::string, RequestCounts> copy;
    for (const auto& [name, counts] : counts_)
      copy[name] = *counts;
    return copy;
  }

 private:
  static constexpr std::size_t max_removed_classes = 64;
  std::map<std::string, std::shared_ptr<RequestCounts>> counts_;
  std::deque<std::string> removed_classes_;  // the latest at the back
};

}  // namespace lemonroute
