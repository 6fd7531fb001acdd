// What happened, for operators. Only counts, none is read by a decision.
#pragma once

#include <cstdint>

namespace lemonroute::peers::membership {

struct Counters {
  std::uint64_t received = 0, sent = 0, sent_bytes = 0;
  std::uint64_t unreadable = 0, unknown_version = 0, bad_field = 0, facts_left_out = 0, implausible = 0;
  std::uint64_t probes = 0, indirect = 0, probes_failed = 0, overslept = 0;
  std::uint64_t suspected = 0, refuted = 0, gone = 0, returned = 0;
  std::uint64_t syncs = 0, syncs_refused = 0, members_refused = 0, from_the_gone = 0;
  std::uint64_t names_twice = 0, superseded = 0, reclaimed = 0;
  std::uint64_t payloads = 0, payloads_dropped = 0;
};

}  // namespace lemonroute::peers::membership
