// Every bound of membership in one place. Times are in periods of the protocol, of ten ticks each.
#pragma once

#include <cstddef>
#include <cstdint>

namespace lemonroute::peers::membership::limits {

inline constexpr std::size_t plain_bytes = 1150;  // of a datagram before it is sealed
inline constexpr std::size_t name_bytes = 64, site_bytes = 64, address_bytes = 64;
inline constexpr std::size_t facts = 40;    // taken from one datagram; a valid one has no room for more
inline constexpr std::size_t offered = 24;  // facts of usual length that fill one
inline constexpr std::size_t buckets = 64;  // of the members' digest
inline constexpr std::size_t seeds = 32;
inline constexpr std::uint64_t incarnation = 1ull << 32;  // beyond it: not believed, a start is taken instead
inline constexpr std::uint64_t start = 1ull << 52;        // Unix us, the year 2112
inline constexpr std::uint64_t ahead =
    86'400'000'000ull;  // a start so far in the future is not believed, 1 day

inline constexpr int ticks = 10;           // in a period
inline constexpr int probe_ticks = 3;      // until others are asked, at local health 0
inline constexpr std::size_t helpers = 3;  // asked for one probe
inline constexpr std::size_t helped = 64;  // pings for others under way
inline constexpr int worst_health = 4;     // probes go up to 1 + this times slower

inline constexpr int gossip_ticks = 5;  // between rounds of gossip while there is news
inline constexpr std::size_t gossip_to = 3;
inline constexpr int retransmit = 4;         // times log10(n + 1), for each fact
inline constexpr std::size_t queued = 4096;  // facts that wait to be told

inline constexpr int suspicion = 4;       // least, times log10(n), 1 at least
inline constexpr int suspicion_most = 6;  // times the least, without confirmations
inline constexpr std::size_t confirmations = 3;
inline constexpr int last_call = 2;   // periods before a deadline, the member is told once more
inline constexpr int last_calls = 8;  // in a period

inline constexpr int slices = 8;              // datagrams of facts for one exchange
inline constexpr int syncs_answered = 4;      // in a period
inline constexpr std::size_t again = 64;      // members that are to be asked next
inline constexpr int asides = 4;              // pings in a period that nobody waits for
inline constexpr std::size_t payloads = 512;  // of extensions, in a period

inline constexpr int gone_ping = 5;    // periods between pings to one of the gone
inline constexpr int seed_ping = 30;   // periods between pings to a seed that is no member
inline constexpr int gone_for = 3600;  // periods for which one who is gone or has left is remembered
inline constexpr int unreachable = 4;  // direct probes in a row that failed where indirect ones did not
inline constexpr int claim = 8;        // periods in which a newer process of one's own name must be heard
inline constexpr int twice = 30;       // periods for which two processes of a name may both go on
inline constexpr std::size_t notices = 16;  // lines for the operator that wait

}  // namespace lemonroute::peers::membership::limits
