/// \file
/// A queue of timers. Used on the serving thread only.
#pragma once

#include <functional>
#include <map>
#include <optional>
#include <utility>

#include "core/types.h"

namespace lemonroute {

/// The timers of one router. Owns their callbacks. Reads no clock: the serving loop calls run_due.
class Timers {
 public:
  /// The due time and the sequence number of a timer; unique among all timers of one Timers object.
  using Id = std::pair<Micros, std::uint64_t>;
  /// Adds a timer that runs `callback` once, at time `at`. A callback may add and cancel timers.
  Id add(Micros at, std::function<void()> callback) {
    const Id id{at, next_number_++};
    callbacks_.emplace(id, std::move(callback));
    return id;
  }
  /// Cancels a timer. Does nothing if it has run or was cancelled.
  void cancel(const Id& id) { callbacks_.erase(id); }
  /// Returns the time of the next timer, or nothing if there is none.
  std::optional<Micros> next_due() const {
    return callbacks_.empty() ? std::nullopt : std::optional(callbacks_.begin()->first.first);
  }
  /// Runs all timers that are due at `now`, in the order of their times, and in the order of their addition
  /// where times are equal. Timers that callbacks add are included if they are due.
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
