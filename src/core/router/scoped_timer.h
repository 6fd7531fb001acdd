/// \file
/// A timer that is cancelled when its owner is destroyed. Used on the serving thread only.
#pragma once

#include <functional>
#include <optional>
#include <utility>

#include "core/timers.h"

namespace lemonroute {

/// Owns at most one timer of a Timers object and cancels it when this object is destroyed or another job is
/// set. The Timers object must outlive this object.
class ScopedTimer {
 public:
  ScopedTimer() = default;
  ~ScopedTimer() { cancel(); }
  ScopedTimer(const ScopedTimer&) = delete;
  ScopedTimer& operator=(const ScopedTimer&) = delete;

  /// Cancels the job that was set before and runs `job` at `due_at`, a time on the core's clock.
  void set(Timers& timers, Micros due_at, std::function<void()> job) {
    cancel();
    timers_ = &timers;
    id_ = timers.add(due_at, std::move(job));
  }

  /// Cancels the job if it has not run yet. Does nothing if there is none.
  void cancel() {
    if (id_)
      timers_->cancel(*id_);
    id_.reset();
  }

  /// Returns the time of the job that was set last, even if it has run, or nothing if it was cancelled.
  [[nodiscard]] std::optional<Micros> due_at() const {
    return id_ ? std::optional(id_->first) : std::nullopt;
  }

 private:
  Timers* timers_ = nullptr;
  std::optional<Timers::Id> id_;
};

}  // namespace lemonroute
