/// \file
/// Encoding and decoding of the payloads that routers exchange (proto/tiers.proto).
#pragma once

#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "tiers/merge/holder_selection.h"

namespace lemonroute::tiers {

/// Kind of a payload: votes for collectors, advertised entries, cache epochs, an anti-entropy digest of all
/// cache epochs, or a request for advertised entries. The numbers are those of proto/tiers.proto.
enum class PayloadKind { votes = 1, entries = 2, epochs = 3, digest = 4, entries_request = 5 };

/// A key with its holders, as a vote or as an advertised entry.
struct CacheEntry {
  KeyId key = 0;                          ///< the key
  std::uint8_t weight = 0;                ///< logarithmic weight of the key
  std::vector<AdvertisedHolder> holders;  ///< at most 3, in votes 2; empty: withdrawn
};

/// A decoded payload. Times are on this router's clock.
struct Payload {
  PayloadKind kind = PayloadKind::epochs;                    ///< its kind
  Tier tier = Tier::site;                                    ///< the tier it belongs to
  VoteStamp stamp;                                           ///< orders votes
  std::vector<std::pair<NameId, CacheEpoch>> device_epochs;  ///< devices with their cache epochs
  std::vector<CacheEntry> entries;                           ///< votes or advertised entries
  std::uint64_t digest = 0;  ///< anti-entropy digest of the sender's cache epochs
};

/// Decodes a payload. Rejects it as a whole if any field exceeds its bound; `why` is then the name of the
/// counter of dropped payloads.
std::optional<Payload> decode_payload(std::string_view bytes, Micros now, const char*& why);

/// Fills one payload with entries or cache epochs until it is full.
class PayloadEncoder {
 public:
  PayloadEncoder(PayloadKind kind, Tier tier, VoteStamp stamp);
  ~PayloadEncoder();
  PayloadEncoder(PayloadEncoder&&) noexcept;
  PayloadEncoder& operator=(PayloadEncoder&&) noexcept;
  /// Adds an entry with the devices it refers to; returns false if there is no room.
  bool add(const CacheEntry& cache_entry, Micros now);
  /// Adds the cache epoch of a device; returns false if there is no room.
  bool add(NameId device, const CacheEpoch& epoch);
  /// Whether nothing was added.
  bool empty() const;
  /// Returns the encoded payload.
  std::string encode(std::uint64_t digest = 0) const;

 private:
  struct Parts;
  std::unique_ptr<Parts> parts_;
};

}  // namespace lemonroute::tiers
