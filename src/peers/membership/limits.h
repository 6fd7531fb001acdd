// All bounds and timing constants of membership. A protocol period has ten ticks.
#pragma once

#include <cstddef>
#include <cstdint>

namespace lemonroute::peers::membership::limits {

/// Maximum size of a datagram before sealing.
inline constexpr std::size_t max_plain_bytes = 1150;
inline constexpr std::size_t max_name_bytes = 64,  ///< maximum length of the name in a fact
    max_site_bytes = 64,                           ///< maximum length of the site in a fact
    max_address_bytes = 64;                        ///< maximum length of the address in a fact
/// Facts accepted from one datagram; a valid datagram has no room for more.
inline constexpr std::size_t max_facts = 40;
/// Facts offered for one datagram; this many of usual length fill it.
inline constexpr std::size_t facts_per_offer = 24;
/// Buckets of the member table's digest.
inline constexpr std::size_t digest_buckets = 64;
/// Seed addresses that are used.
inline constexpr std::size_t max_seeds = 32;
/// Greatest incarnation that is accepted. A router that would exceed it takes a newer start instead.
inline constexpr std::uint64_t max_incarnation = 1ull << 32;
/// Greatest start that is accepted: Unix time in microseconds, in the year 2112.
inline constexpr std::uint64_t max_start_us = 1ull << 52;
/// A start that is this far in the future is not believed: one day.
inline constexpr std::uint64_t max_start_ahead_us = 86'400'000'000ull;

/// Ticks in a period.
inline constexpr int ticks_per_period = 10;
/// Ticks from a probe's ping to the requests to helpers, at local health 0.
inline constexpr int direct_probe_ticks = 3;
/// Members that are asked to ping the target of one probe.
inline constexpr std::size_t helpers_per_probe = 3;
/// Pings on behalf of other routers in flight.
inline constexpr std::size_t max_indirect_pings = 64;
/// Worst local health score; probes take up to 1 + this times as long.
inline constexpr int max_health_score = 4;

/// Ticks between rounds of gossip while the broadcast queue is not empty.
inline constexpr int gossip_interval_ticks = 5;
/// Members that a round of gossip is sent to.
inline constexpr std::size_t gossip_fanout = 3;
/// Transmissions of each queued fact, times log10(n + 1) rounded up.
inline constexpr int retransmit_multiplier = 4;
/// Facts in the broadcast queue.
inline constexpr std::size_t max_queued_facts = 4096;

/// Minimum suspicion timeout in periods, times log10(n) but at least 1.
inline constexpr int suspicion_multiplier = 4;
/// Maximum suspicion timeout, which holds without confirmations, as a multiple of the minimum.
inline constexpr int max_suspicion_factor = 6;
/// Confirmations that bring the suspicion timeout down to its minimum.
inline constexpr std::size_t max_confirmations = 3;
/// Periods before the suspicion deadline at which the member is told of the suspicion once more.
inline constexpr int final_ping_lead_periods = 2;
/// Such final pings in one period.
inline constexpr int max_final_pings = 8;

/// Datagrams of facts sent for one anti-entropy exchange.
inline constexpr int max_exchange_datagrams = 8;
/// Exchanges of other routers that are answered in one period.
inline constexpr int max_syncs_answered = 4;
/// Members queued to be probed before the regular order.
inline constexpr std::size_t max_priority_probes = 64;
/// Pings without an awaited ack in one period.
inline constexpr int max_unawaited_pings = 4;
/// Payloads of extensions sent in one period.
inline constexpr std::size_t max_payloads = 512;

/// Periods between pings to a gone member.
inline constexpr int gone_ping_periods = 5;
/// Periods between pings to a seed address that belongs to no member.
inline constexpr int seed_ping_periods = 30;
/// Periods for which a gone or left member is remembered.
inline constexpr int gone_retention_periods = 3600;
/// Consecutive probes that only helpers got answered, after which a member counts as unreachable from here.
inline constexpr int unreachable_after_probes = 4;
/// Periods within which a newer process of this router's own name must be heard from.
inline constexpr int reclaim_name_periods = 8;
/// Periods for which two processes of one name may both run, as they do in an upgrade.
inline constexpr int duplicate_name_periods = 30;
/// Notices for the operator that are kept until they are taken.
inline constexpr std::size_t max_notices = 16;

}  // namespace lemonroute::peers::membership::limits
