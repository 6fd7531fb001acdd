// Datagrams between routers, sealed: nobody without the key reads one, makes one, or sends one a second time.
//
//   version 1 | id of the key 4 | tag of the sender 8 | its start 8 | sequence 8 | sealed text | proof 16
//
// Tag, start and sequence are the nonce of XChaCha20-Poly1305, so none is ever used twice with a key; version
// and id of the key are proven with the text. Free of I/O.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "peers/seal/key.h"
#include "peers/seal/window.h"

namespace lemonroute::peers::seal {

constexpr std::uint8_t version = 1;
constexpr std::size_t head = 1 + 4 + 24, overhead = head + 16;
constexpr std::size_t most_sealed = 1232;  // within the least MTU of IPv6
constexpr std::size_t most_plain = most_sealed - overhead;

class Sealer {
 public:
  Sealer(const Key& key, Sender self) : key_(key), self_(self) {}
  std::string seal(std::string_view plain);  // most_plain bytes at the most

 private:
  Key key_;
  Sender self_;
  std::uint64_t sequence_ = 0;
};

enum class Refusal : std::uint8_t { none, oversize, version, key, replay, forged };

class Opener {
 public:
  Opener(std::vector<Key> keys, std::size_t most_senders) : keys_(std::move(keys)), windows_(most_senders) {}
  // The text of a datagram that is proven and has not come before; otherwise why not. What can be told
  // without a computation of the proof is told first.
  std::optional<std::string> open(std::string_view sealed, Refusal& why);
  std::size_t senders() const { return windows_.size(); }

 private:
  std::vector<Key> keys_;
  Windows windows_;
};

}  // namespace lemonroute::peers::seal
