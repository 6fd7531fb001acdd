#include "expect/run.h"

namespace lemonroute::expect {

const Attempted* Story::last(Role stage) const {
  for (auto it = attempts.rbegin(); it != attempts.rend(); ++it)
    if (it->role == stage || it->role == Role::mixed)
      return &*it;
  return nullptr;
}

const Story* Run::find(const std::string& name) const {
  for (const auto& story : requests)
    if (story.name == name)
      return &story;
  return nullptr;
}

std::string Run::decisions() const {
  std::string all;
  for (const auto& story : requests) {
    all += story.name + ":";
    for (const auto& attempt : story.attempts)
      all += " " + attempt.node + "@" + span_text(attempt.at) + " (" + attempt.outcome + ")";
    all += std::string(" ") + word(story.answer) + "@" + span_text(story.answered);
    if (story.retry_after)
      all += " retry-after " + span_text(*story.retry_after);
    all += "\n";
  }
  return all;
}

}  // namespace lemonroute::expect
