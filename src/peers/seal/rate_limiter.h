// Rate limiting of received datagrams, applied before any of them is authenticated. Free of I/O; bounded
// memory.
//
// Limits per second, whatever is sent by whom: at most `reads` datagrams are read from the socket. Of those,
// at most `authenticated` are opened from addresses that sent an authentic datagram within
// `authenticated_ttl`, and at most `unknown` from all other addresses together.
#pragma once

#include <array>
#include <cstdint>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

#include "lemonroute/scheduler.h"

namespace lemonroute::peers::seal {

/// A token bucket with a burst of half a second's tokens.
class TokenBucket {
 public:
  /// Takes one token, refilled at `rate` tokens per second. False: none is left.
  bool take(Micros now, double rate);

 private:
  double spent_ = 0;  // tokens taken and not refilled yet
  Micros updated_at_{};
};

/// Rate limiter of the datagrams that are read and authenticated, per address and in total.
class RateLimiter {
 public:
  /// Limits in datagrams per second.
  struct Rates {
    double reads = 20000,      ///< datagrams read, from all addresses
        authenticated = 8000,  ///< datagrams opened from all authenticated addresses
        unknown = 500,         ///< datagrams opened from all other addresses
        per_address = 500;     ///< datagrams opened from a single address
  };
  /// Authenticated addresses that are kept at once.
  static constexpr std::size_t max_addresses = 8192;
  /// For how long an address counts as authenticated after its last authentic datagram.
  static constexpr Micros authenticated_ttl = std::chrono::seconds(60);

  /// Random key of the address hash, so that an attacker cannot pick addresses that share a bucket with
  /// another sender.
  using Secret = std::array<unsigned char, 16>;
  /// Takes the limits and the key of the address hash.
  RateLimiter(Rates rates, const Secret& secret) : rates_(rates), secret_(secret), unknown_buckets_(1024) {}

  /// False: the limit of reads is reached, so pause reading.
  bool allow_read(Micros now) { return read_bucket_.take(now, rates_.reads); }
  /// False: drop the datagram without authenticating it.
  bool allow_open(Micros now, std::string_view address);
  /// Records that an authentic datagram came from the address.
  void record_authentic(Micros now, std::string_view address);
  /// Number of authenticated addresses that are kept.
  std::size_t authenticated_addresses() const { return authenticated_.size(); }

 private:
  struct AuthenticatedAddress {
    TokenBucket bucket;
    Micros authenticated_at{};
  };
  Rates rates_;
  Secret secret_;
  TokenBucket read_bucket_, all_authenticated_, all_unknown_;
  std::unordered_map<std::string, AuthenticatedAddress> authenticated_;
  std::vector<TokenBucket> unknown_buckets_;
  Micros swept_at_{};
};

}  // namespace lemonroute::peers::seal
