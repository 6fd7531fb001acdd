// Authenticated encryption of the datagrams between routers: without the key, nobody can read, forge or
// replay one.
//
//   version 1 | key id 4 | sender tag 8 | sender start 8 | sequence 8 | ciphertext | authentication tag 16
//
// All lengths are in bytes. Sender tag, start and sequence are the nonce of XChaCha20-Poly1305, so no nonce
// is used twice with a key. Version and key id are authenticated as associated data. Free of I/O.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "peers/seal/key.h"
#include "peers/seal/replay_window.h"

namespace lemonroute::peers::seal {

/// Format version, the first byte of each datagram.
constexpr std::uint8_t version = 1;
constexpr std::size_t header_bytes = 1 + 4 + 24,  ///< bytes before the ciphertext
    overhead_bytes = header_bytes + 16;           ///< all bytes that sealing adds
/// Longest sealed datagram in bytes: fits into the minimum MTU of IPv6.
constexpr std::size_t max_sealed_bytes = 1232;
/// Longest plaintext in bytes.
constexpr std::size_t max_plain_bytes = max_sealed_bytes - overhead_bytes;

/// Encrypts the datagrams of this process.
class Sealer {
 public:
  /// `self` must be unique among all processes that use the key.
  Sealer(const Key& key, SenderId self) : key_(key), self_(self) {}
  /// Seals a plaintext of at most max_plain_bytes bytes; throws std::length_error for a longer one.
  std::string seal(std::string_view plain);

 private:
  Key key_;
  SenderId self_;
  std::uint64_t sequence_ = 0;
};

/// Why a datagram was not opened; `unknown_key` is an unknown key id, `unknown_version` an unknown format
/// version.
enum class Refusal : std::uint8_t { none, oversize, unknown_version, unknown_key, replayed, forged };

/// Authenticates and decrypts received datagrams, and refuses replayed ones.
class Opener {
 public:
  /// Any of the keys opens a datagram. Replay windows are kept for `most_senders` senders.
  Opener(std::vector<Key> keys, std::size_t most_senders)
      : keys_(std::move(keys)), replay_windows_(most_senders) {}
  /// The plaintext of an authentic datagram that was not received before; otherwise nothing, and the reason
  /// in `why`. Checks that need no cryptography come first.
  std::optional<std::string> open(std::string_view sealed, Refusal& why);
  /// Number of senders whose replay windows are kept.
  std::size_t sender_count() const { return replay_windows_.size(); }

 private:
  std::vector<Key> keys_;
  ReplayWindows replay_windows_;
};

}  // namespace lemonroute::peers::seal
