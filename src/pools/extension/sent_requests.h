// Records the lease requests of this router, so that a lease is counted from when its request was sent.
#pragma once

#include <deque>
#include <optional>
#include <string>
#include <string_view>

#include "pools/leases/terms.h"

namespace lemonroute::pools {

/// Lease requests that this router sent within the last lease.
class SentRequests {
 public:
  /// `seed`: start of the nonces.
  SentRequests(LeaseTerms terms, std::uint64_t seed) : terms_(terms), last_nonce_(seed) {}

  /// Records a request to the grantor that is sent now. Returns the request's nonce.
  std::uint64_t add(std::string_view grantor, Micros now);
  /// When the request was sent that the grantor answers; nothing if there was no such request, or if it is
  /// older than a lease.
  std::optional<Micros> sent_at(std::string_view grantor, std::uint64_t nonce, Micros now) const;

 private:
  static constexpr std::size_t max_requests = 1024;
  struct Request {
    std::uint64_t nonce;
    std::string grantor;
    Micros sent_at;
  };
  LeaseTerms terms_;
  std::uint64_t last_nonce_;
  std::deque<Request> requests_;  // the oldest first
};

}  // namespace lemonroute::pools
