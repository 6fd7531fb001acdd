/// \file
/// Statistics on the requests of this router: the arrival rate, the usual prompt length, and the mean work
/// per request of each class. Owns these averages. Work is counted in prompt tokens. Used on the serving
/// thread only.
#pragma once

#include <map>
#include <string>

#include "estimation/decaying_average.h"
#include "estimation/decaying_rate.h"
#include "module/context.h"
#include "module/request_state.h"

namespace lemonroute::decisions {

/// Averages over the requests that this router has received and sent.
class WorkloadStatistics {
 public:
  /// Keeps the reference, which must outlive it.
  explicit WorkloadStatistics(const Context& context) : context_(context) {}

  /// Counts a request that has arrived, whether it will be served or not.
  void record_arrival(const RequestState& request);
  /// Counts an attempt that is being sent.
  void record_attempt(const RequestState& request);

  /// Returns the prompt tokens that arrive per microsecond.
  [[nodiscard]] double arrival_rate() const;
  /// Returns the mean prompt length of recent attempts in tokens, or 0 before the first attempt.
  [[nodiscard]] double usual_prompt_tokens() const { return usual_prompt_tokens_.value; }
  /// Returns whether any attempt was recorded.
  [[nodiscard]] bool knows_usual_prompt() const { return usual_prompt_tokens_.known; }
  /// Returns the mean prompt length in tokens of recent attempts of the request's class, or 0 before the
  /// first attempt.
  [[nodiscard]] double mean_work_of_class(const RequestState& request) const;
  /// Returns the work that a request uses of the budget of a node in slow start: the length of its prompt,
  /// and at least the mean of its class.
  [[nodiscard]] double estimated_work(const RequestState& request) const;

  /// Discards the averages of classes that are not in the current settings.
  void forget_removed_classes();

 private:
  const Context& context_;
  estimation::DecayingRate arrival_rate_;
  estimation::DecayingAverage usual_prompt_tokens_;
  std::map<std::string, estimation::DecayingAverage> work_by_class_;  // by ClassSettings::name
};

}  // namespace lemonroute::decisions
