// Codec of the wire: frames of records, little-endian, no padding. Every record goes both ways, so that
// tests (and other tools) can speak either side.
#pragma once

#include <stdexcept>

#include "lemonroute/scheduler.h"

namespace lemonroute::wire {

struct Create {
  std::uint64_t seed = 0;
  std::string options;
};
struct Shutdown {};
struct Broken {
  std::string line;
};

using AnyEvent =
    std::variant<Create, Shutdown, EndpointListUpdate, Request, FirstTokenReceived, ReservationUpdate,
                 AttemptCompleted, ClientDisconnected, TimerFired, HealthResult, PeerMessage>;
using AnyAction = std::variant<Broken, Send, RejectRequest, FailRequest, CancelAttempt, StartTimer, Probe,
                               CloseIdleConnections, SendPeerMessage, Log, WatchEndpointList,
                               FetchEndpointList, EvictReservation, ReserveCapacity, ReleaseReservation>;

template <class Body>
struct Record {
  std::uint32_t dispatcher = 0;
  Body body;
};

struct Batch {
  Micros now{};
  std::vector<Record<AnyEvent>> records;
};
using Reply = std::vector<Record<AnyAction>>;

// What is wrong with a frame, and where.
struct FrameError : std::runtime_error {
  using std::runtime_error::runtime_error;
};

constexpr std::size_t batch_header = 16;
constexpr std::size_t reply_header = 8;

Batch decode_batch(const std::string& frame);  // skips records of unknown code
std::string encode_batch(const Batch& batch);
std::string encode_reply(const Reply& reply);
Reply decode_reply(const std::string& frame);
std::uint32_t frame_length(const std::string& first_four_bytes);  // of a batch

}  // namespace lemonroute::wire
