/// \file
/// What the requests of this router are like: how much work arrives, how long prompts are, and how much work
/// one request of a class is. It owns these averages; work is counted in prompt tokens. Used on the serving
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
  /// Returns whether there was an attempt.
  [[nodiscard]] bool knows_usual_prompt() const { return usual_prompt_tokens_.known; }
  /// Returns the mean prompt length of recent attempts of the request's class in tokens, or 0 before the
  /// first.
  [[nodiscard]] double mean_work_of_class(const RequestState& request) const;
  /// Returns the work that a request counts as towards the budget of a node in slow start: its prompt's
  /// length, and at least the mean of its class.
  [[nodiscard]] double estimated_work(const RequestState& request) const;

  /// Drops the averages of classes that the settings in force do not have.
  void forget_removed_classes();

 private:
  const Context& context_;
  estimation::DecayingRate arrival_rate_;
  estimation::DecayingAverage usual_prompt_tokens_;
  std::map<std::string, estimation::DecayingAverage> work_by_class_;  // by ClassSettings::name
};

}  // namespace lemonroute::decisions
