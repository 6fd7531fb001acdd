/// \file
/// Callbacks that are run at their times. Used on the serving thread only.
#pragma once

#include <functional>
#include <map>
#include <optional>
#include <utility>

#include "core/types.h"

namespace lemonroute {

/// The timers of one router. Owns their callbacks. It reads no clock: the serving loop calls run_due.
class Timers {
 public:
  /// Identifies a timer by its time and its number; unique among all timers of one object.
  using Id = std::pair<Micros, std::uint64_t>;
  /// Adds a timer that runs `callback` once, at `at`. A callback may add and cancel timers.
  Id add(Micros at, std::function<void()> callback) {
    const Id id{at, next_number_++};
    callbacks_.emplace(id, std::move(callback));
    return id;
  }
  /// Removes a timer. Does nothing if it has run or was removed.
  void cancel(const Id& id) { callbacks_.erase(id); }
  /// Returns the time of the first timer; nothing without timers.
  std::optional<Micros> next_due() const {
    return callbacks_.empty() ? std::nullopt : std::optional(callbacks_.begin()->first.first);
  }
  /// Runs the timers whose times are not after `now`, in the order of their times and then of their
  /// additions. Includes those that are added meanwhile.
  void run_due(Micros now) {
    while (!callbacks_.empty() && callbacks_.begin()->first.first <= now) {
      const auto callback = std::move(callbacks_.begin()->second);
      callbacks_.erase(callbacks_.begin());
      callback();
    }
  }

 private:
  std::map<Id, std::function<void()>> callbacks_;
  std::uint64_t next_number_ = 0;
};

}  // namespace lemonroute
