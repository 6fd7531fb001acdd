#include "expect/play/choices.h"

#include <utility>

namespace lemonroute::expect {

void ChoiceLog::note(const Choice& choice) {
  Told told{clock_.at - case_zero, choice, {}};
  for (const auto& candidate : choice.candidates)
    told.names[candidate.endpoint] = router_.endpoint_name(candidate.endpoint);
  pending_.push_back(std::move(told));
}

void ChoiceLog::assign() {
  std::vector<Told> rest;
  for (auto& told : pending_) {
    if (PlayedRequest* request = requests_.by_id(told.choice.id))
      request->story.choices.push_back(std::move(told));
    else
      rest.push_back(std::move(told));
  }
  pending_ = std::move(rest);
}

}  // namespace lemonroute::expect
