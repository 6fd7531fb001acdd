/// \file
/// The public interface of the decision module: a Scheduler turns events into actions. Every decision of the
/// router is made behind it, in src/module. It performs no I/O and reads no clock.
#pragma once

#include <cstdint>
#include <functional>
#include <memory>
#include <utility>
#include <vector>

#include "lemonroute/actions.h"
#include "lemonroute/events.h"
#include "lemonroute/explanations.h"
#include "lemonroute/settings.h"
#include "lemonroute/types.h"

namespace lemonroute {

/// What one Scheduler has learned that holds for its successor process as well.
struct LearnedRates {
  std::vector<std::pair<Role, double>> prefill_rates;  ///< usual microseconds per prompt token, by role
  /// Prompt tokens per microsecond that this router sends to each endpoint.
  std::vector<std::pair<EndpointId, double>> work_rates;
};

/// Decides for one router. Deterministic: the same calls give the same actions. Not thread-safe.
///
/// Times that are passed in must not decrease from one call to the next.
class Scheduler {
 public:
  /// Starts without nodes and requests; the first event brings the endpoint list. `seed` is reserved for
  /// decisions by chance; there are none today.
  Scheduler(Settings settings, std::uint64_t seed);
  /// Drops open requests without an action.
  ~Scheduler();
  /// A Scheduler that was moved from may only be destroyed or assigned to.
  Scheduler(Scheduler&&) noexcept;
  /// See the move constructor.
  Scheduler& operator=(Scheduler&&) noexcept;

  /// Handles one event and appends the actions that follow from it to `actions`.
  void handle(Micros now, const Event& event, std::vector<Action>& actions);

  /// Replaces the settings. What was learned is kept; open requests keep the terms that they began with.
  void update_settings(Settings settings);

  /// Calls `observer` with each choice, before the action that follows from it; an empty function ends that.
  void set_choice_observer(std::function<void(const Choice&)> observer);

  /// Returns what this Scheduler has learned, for adopt_learned_rates() of its successor.
  [[nodiscard]] LearnedRates learned_rates(Micros now) const;

  /// Adopts what another Scheduler has learned, wherever this one has learned nothing of its own.
  void adopt_learned_rates(Micros now, const LearnedRates& learned_rates);

  /// Returns the listed endpoints that get no requests because attempts failed there (outlier ejection).
  [[nodiscard]] std::vector<EndpointId> ejected_endpoints(Micros now) const;

 private:
  struct Core;
  std::unique_ptr<Core> core_;
};

}  // namespace lemonroute
