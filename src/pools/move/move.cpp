#include "pools/move/move.h"

namespace lemonroute::pools {

const char* step_text(Step step) {
  switch (step) {
    case Step::planned:
      return "planned";
    case Step::draining:
      return "draining";
    case Step::handed_over:
      return "handed over";
    case Step::cold:
      return "cold";
    case Step::serving:
      break;
  }
  return "serving";
}

void Move::see(const Seen& seen, Micros now) {
  if (seen.owned.ballot != seen_.owned.ballot) {
    planned_.reset();  // this one, or another one's: either way it was planned on what is no longer so
    held_since_.reset();
    idle_since_.reset();
  }
  seen_ = seen;
  if (seen.held) {
    if (!held_since_)
      held_since_ = seen.owned.since > Micros(0) ? seen.owned.since : now;
    idle_since_.reset();
  } else if (!seen.heard) {
    idle_since_.reset();  // nothing is known, and nothing could be proposed
  } else if (!idle_since_) {
    idle_since_ = now;
  }
}

void Move::plan(RegionId to, std::string why) {
  planned_ = to;
  why_ = std::move(why);
}

Step Move::step(Micros now) const {
  if (seen_.owned.ballot.counter > 0 && !held_since_)
    return Step::draining;
  if (planned_ && *planned_ != seen_.owned.owner)
    return Step::planned;
  if (seen_.owned.ballot.counter == 0)
    return Step::serving;
  // The owner's routers learn of it with their next question, those at home with another one.
  if (now < *held_since_ + 2 * terms_.asks_every())
    return Step::handed_over;
  return now < *held_since_ + cold_for_ ? Step::cold : Step::serving;
}

bool Move::undoes(Micros now) const {
  return seen_.owned.owner != home_ && idle_since_ && now >= *idle_since_ + undone_after();
}

std::optional<RegionId> Move::proposal(Micros now) const {
  if (undoes(now))
    return home_;
  if (planned_ && *planned_ != seen_.owned.owner)
    return planned_;
  return std::nullopt;
}

}  // namespace lemonroute::pools
