// The module's own account of its choices, put to the stories of the requests that they were made for.
#pragma once

#include <vector>

#include "core/router.h"
#include "expect/play/clock.h"
#include "expect/play/request.h"

namespace lemonroute::expect {

class ChoiceLog {
 public:
  ChoiceLog(const StoppedClock& clock, const Router& router, const PlayedRequests& requests)
      : clock_(clock), router_(router), requests_(requests) {}

  void note(const Choice& choice);
  // A request's number is known once the core has taken it, but its first choice is told before that: call
  // this when numbers may have become known.
  void assign();

 private:
  const StoppedClock& clock_;
  const Router& router_;
  const PlayedRequests& requests_;
  std::vector<Told> pending_;
};

}  // namespace lemonroute::expect
