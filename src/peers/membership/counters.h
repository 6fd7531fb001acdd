// Event counters of one agent, for operators. No decision reads them.
#pragma once

#include <cstdint>

namespace lemonroute::peers::membership {

/// Totals since the start of the process, shown in the management JSON under these names (`payloads` as
/// "parcels").
struct Counters {
  std::uint64_t received = 0,     ///< datagrams received
      sent = 0,                   ///< datagrams sent
      sent_bytes = 0;             ///< bytes sent, before sealing
  std::uint64_t unreadable = 0,   ///< datagrams refused: not parsable
      unknown_version = 0,        ///< datagrams refused: of another protocol version
      bad_field = 0,              ///< datagrams refused: a field is out of bounds
      facts_left_out = 0,         ///< invalid facts left out of a packet
      implausible = 0;            ///< facts refused: the start is too far in the future
  std::uint64_t probes = 0,       ///< probes sent
      indirect = 0,               ///< indirect probes requested
      probes_failed = 0,          ///< probes without any ack
      overslept = 0;              ///< wake-ups so late that the running probe was abandoned
  std::uint64_t suspected = 0,    ///< suspicions begun
      refuted = 0,                ///< claims about this router refuted
      gone = 0,                   ///< members declared gone
      returned = 0;               ///< members that returned
  std::uint64_t syncs = 0,        ///< exchanges started
      syncs_refused = 0,          ///< exchanges refused
      members_refused = 0,        ///< members refused for lack of room
      from_the_gone = 0;          ///< packets from members that are held gone or left
  std::uint64_t names_twice = 0,  ///< names held by two routers
      superseded = 0,             ///< newer processes of this router's name
      reclaimed = 0;              ///< times this router took its name back
  std::uint64_t payloads = 0,     ///< payloads of extensions sent
      payloads_dropped = 0;       ///< payloads of extensions dropped
};

}  // namespace lemonroute::peers::membership
