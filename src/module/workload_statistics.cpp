#include "module/workload_statistics.h"

#include <algorithm>

#include "estimation/decaying_average.h"
#include "module/find_or_null.h"

namespace lemonroute::decisions {
namespace {

// Low, because prompt lengths vary widely from one request to the next.
constexpr double prompt_sample_weight = estimation::usual_sample_weight / 4;

}  // namespace

void WorkloadStatistics::record_arrival(const RequestState& request) {
  arrival_rate_.add(request.prompt_tokens, context_.now(), context_.memory_duration());
}

void WorkloadStatistics::record_attempt(const RequestState& request) {
  work_by_class_[request.class_settings->name].add(request.prompt_tokens, context_.now());
  usual_prompt_tokens_.add(request.prompt_tokens, context_.now(), prompt_sample_weight);
}

double WorkloadStatistics::arrival_rate() const {
  return arrival_rate_.value(context_.now(), context_.memory_duration());
}

double WorkloadStatistics::mean_work_of_class(const RequestState& request) const {
  const auto* const work = find_or_null(work_by_class_, request.class_settings->name);
  return work ? work->value : 0;
}

double WorkloadStatistics::estimated_work(const RequestState& request) const {
  return std::max(mean_work_of_class(request), request.prompt_tokens);
}

void WorkloadStatistics::forget_removed_classes() {
  const auto& classes = context_.settings().classes;
  std::erase_if(work_by_class_, [&](const auto& entry) {
    return std::ranges::find(classes, entry.first, &ClassSettings::name) == classes.end();
  });
}

}  // namespace lemonroute::decisions
