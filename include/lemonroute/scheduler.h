/// \file
/// The public interface of the decision module: a Scheduler turns events into actions. It makes every
/// decision of the router; src/module implements it. It performs no I/O and reads no clock.
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

/// Rates that one Scheduler has learned and that stay valid for its successor process.
struct LearnedRates {
  std::vector<std::pair<Role, double>>
      prefill_times_per_token;  ///< usual microseconds per prompt token, by role
  /// Prompt tokens per microsecond that this router sends to each endpoint.
  std::vector<std::pair<EndpointId, double>> work_rates;
};

/// Makes the decisions of one router. Deterministic: the same calls give the same actions. Not thread-safe.
///
/// Times that are passed in must not decrease from one call to the next.
class Scheduler {
 public:
  /// Starts without nodes and requests; the first event should be the endpoint list. `seed` is reserved for
  /// random decisions and has no effect yet.
  Scheduler(Settings settings, std::uint64_t seed);
  /// Discards open requests without emitting actions for them.
  ~Scheduler();
  /// A moved-from Scheduler may only be destroyed or assigned to.
  Scheduler(Scheduler&&) noexcept;
  /// See the move constructor.
  Scheduler& operator=(Scheduler&&) noexcept;

  /// Handles one event and appends the actions that follow from it to `actions`.
  void handle(Micros now, const Event& event, std::vector<Action>& actions);

  /// Replaces the settings. Learned state is kept, and open requests keep the class settings of their
  /// arrival.
  void update_settings(Settings settings);

  /// Calls `observer` with each choice, before the resulting action. An empty function removes the observer.
  void set_choice_observer(std::function<void(const Choice&)> observer);

  /// Returns the learned rates, for adopt_learned_rates() of the successor process.
  [[nodiscard]] LearnedRates learned_rates(Micros now) const;

  /// Adopts the rates of another Scheduler where this one has too few samples of its own.
  void adopt_learned_rates(Micros now, const LearnedRates& learned_rates);

  /// Returns the ready endpoints that get no requests because attempts failed there (outlier ejection).
  [[nodiscard]] std::vector<EndpointId> ejected_endpoints(Micros now) const;

 private:
  struct Core;
  std::unique_ptr<Core> core_;
};

}  // namespace lemonroute
