#include "expect/play/request.h"

#include <utility>

namespace lemonroute::expect {

PlayedRequest::PlayedRequest(const Ask& asks, const Step& at_step, bool is_past, std::uint64_t seed,
                             const StoppedClock& clock, rules::Monitor& monitor)
    : ask(asks),
      step(at_step),
      past(is_past),
      wire_name(asks.name + "-" + std::to_string(seed)),
      clock_(clock),
      monitor_(monitor) {
  story.name = ask.name;
  story.asked = clock.at;
}

bool PlayedRequest::on_data(std::string_view) {
  if (!story.first) {
    story.first = clock_.at - story.asked;
    monitor_.first(clock_.at, ask.name);
  }
  return true;
}

void PlayedRequest::reject(Micros away) {
  story.retry_after = away;
  end(Answer::refused);
}

void PlayedRequest::end(Answer answer) {
  story.answer = answer;
  story.answered = clock_.at - story.asked;
  open = false;
  monitor_.answered(clock_.at, ask.name, word(answer));
}

PlayedRequest& PlayedRequests::add(std::unique_ptr<PlayedRequest> request) {
  PlayedRequest& added = *request;
  by_wire_name_[added.wire_name] = &added;
  all_.push_back(std::move(request));
  return added;
}

PlayedRequest* PlayedRequests::by_wire_name(const std::string& wire_name) const {
  const auto found = by_wire_name_.find(wire_name);
  return found == by_wire_name_.end() ? nullptr : found->second;
}

PlayedRequest* PlayedRequests::by_id(RequestId id) const {
  const auto found = by_id_.find(id);
  return found == by_id_.end() ? nullptr : found->second;
}

PlayedRequest* PlayedRequests::open(const std::string& name) const {
  for (const auto& request : all_)
    if (request->ask.name == name && request->open)
      return request.get();
  return nullptr;
}

void PlayedRequests::freed(const std::string& name, Micros now) {
  for (const auto& request : all_)
    if (request->ask.name == name)
      request->story.freed = now - request->story.asked;
}

}  // namespace lemonroute::expect
