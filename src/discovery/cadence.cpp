#include "discovery/cadence.h"

namespace lemonroute::discovery {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

// Guards against a watch whose connection has gone silent: nothing tells that apart from a list that does not
// change, so it goes unnoticed for as long as discovery may wait. What is told meanwhile counts as told 6 s after the
// silence began, or 2 s after that wait, whichever is later. The agent is on this machine, and a call costs it nothing.
constexpr Micros wait_at_discovery = seconds(1);
constexpr Micros answer_within = seconds(1);       // beyond that wait
constexpr Micros list_within = milliseconds(500);  // for a call that does not wait
// Guards against an answer that comes by drops: it is never silent for long, and never told.
constexpr Micros length_of_answer = milliseconds(1500);

}  // namespace

Cadence::Call Cadence::next() const {
  if (!version_) return {"/v1/servers", Micros(0), list_within, list_within + length_of_answer};
  const auto wait = std::chrono::duration_cast<milliseconds>(wait_at_discovery);
  return {"/v1/servers?index=" + std::to_string(*version_) + "&wait=" + std::to_string(wait.count()), wait_at_discovery,
          wait_at_discovery + answer_within, wait_at_discovery + length_of_answer};
}

}  // namespace lemonroute::discovery
