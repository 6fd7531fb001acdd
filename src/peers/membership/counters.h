// Event counters of one agent, for operators. No decision reads them.
#pragma once

#include <cstdint>

namespace lemonroute::peers::membership {

/// Totals since the start of the process, shown in the management JSON under these names (`payloads` as
/// "parcels").
struct Counters {
  /// Datagrams received and sent, and bytes sent before sealing.
  std::uint64_t received = 0, sent = 0, sent_bytes = 0;
  /// Datagrams or facts refused: not parsable, of another protocol version, with a field out of bounds; facts
  /// left out of a packet; facts with a start too far in the future.
  std::uint64_t unreadable = 0, unknown_version = 0, bad_field = 0, facts_left_out = 0, implausible = 0;
  /// Probes sent, indirect probes requested, probes without any ack, and wake-ups so late that the running
  /// probe was abandoned.
  std::uint64_t probes = 0, indirect = 0, probes_failed = 0, overslept = 0;
  /// Suspicions begun, claims about this router refuted, members declared gone, members that returned.
  std::uint64_t suspected = 0, refuted = 0, gone = 0, returned = 0;
  /// Exchanges started, exchanges refused, members refused for lack of room, packets from members that are
  /// held gone or left.
  std::uint64_t syncs = 0, syncs_refused = 0, members_refused = 0, from_the_gone = 0;
  /// Names held by two routers, newer processes of this router's name, and times it took its name back.
  std::uint64_t names_twice = 0, superseded = 0, reclaimed = 0;
  /// Payloads of extensions sent and dropped.
  std::uint64_t payloads = 0, payloads_dropped = 0;
};

}  // namespace lemonroute::peers::membership
