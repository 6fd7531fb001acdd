#include "pools/migration/migration.h"

namespace lemonroute::pools {

const char* phase_text(MigrationPhase phase) {
  switch (phase) {
    case MigrationPhase::planned:
      return "planned";
    case MigrationPhase::draining:
      return "draining";
    case MigrationPhase::handed_over:
      return "handed over";
    case MigrationPhase::cold:
      return "cold";
    case MigrationPhase::serving:
      break;
  }
  return "serving";
}

void Migration::observe(const Observation& observation, Micros now) {
  if (observation.ownership.ballot != observed_.ownership.ballot) {
    planned_owner_.reset();  // whoever proposed the ballot, the plan was based on the previous owner
    held_since_.reset();
    unheld_since_.reset();
  }
  observed_ = observation;
  if (observation.owner_has_quorum) {
    if (!held_since_)
      held_since_ = observation.ownership.granted_at > Micros(0) ? observation.ownership.granted_at : now;
    unheld_since_.reset();
  } else if (!observation.quorum_answers) {
    unheld_since_.reset();  // the owner's state is unknown, and no proposal could be made
  } else if (!unheld_since_) {
    unheld_since_ = now;
  }
}

void Migration::plan(RegionId to, std::string why) {
  planned_owner_ = to;
  why_ = std::move(why);
}

MigrationPhase Migration::phase(Micros now) const {
  if (observed_.ownership.ballot.counter > 0 && !held_since_)
    return MigrationPhase::draining;
  if (planned_owner_ && *planned_owner_ != observed_.ownership.owner)
    return MigrationPhase::planned;
  if (observed_.ownership.ballot.counter == 0)
    return MigrationPhase::serving;
  // The owner's routers learn of the grants with their next request, the home region's routers with one more.
  if (now < *held_since_ + 2 * terms_.request_interval())
    return MigrationPhase::handed_over;
  return now < *held_since_ + warmup_ ? MigrationPhase::cold : MigrationPhase::serving;
}

bool Migration::returns_home(Micros now) const {
  return observed_.ownership.owner != home_ && unheld_since_ && now >= *unheld_since_ + return_home_after();
}

std::optional<RegionId> Migration::proposal(Micros now) const {
  if (returns_home(now))
    return home_;
  if (planned_owner_ && *planned_owner_ != observed_.ownership.owner)
    return planned_owner_;
  return std::nullopt;
}

}  // namespace lemonroute::pools
