// Jobs to be run at a time, in the order of their times.
#pragma once

#include <functional>
#include <map>
#include <optional>
#include <utility>

#include "core/types.h"

namespace lemonroute {

class Timers {
 public:
  using Id = std::pair<Micros, std::uint64_t>;
  Id add(Micros at, std::function<void()> job) {
    const Id id{at, next_++};
    jobs_.emplace(id, std::move(job));
    return id;
  }
  void cancel(const Id& id) { jobs_.erase(id); }
  std::optional<Micros> next_due() const {
    return jobs_.empty() ? std::nullopt : std::optional(jobs_.begin()->first.first);
  }
  void run_due(Micros now) {
    while (!jobs_.empty() && jobs_.begin()->first.first <= now) {
      const auto job = std::move(jobs_.begin()->second);
      jobs_.erase(jobs_.begin());
      job();
    }
  }

 private:
  std::map<Id, std::function<void()>> jobs_;
  std::uint64_t next_ = 0;
};

}  // namespace lemonroute
