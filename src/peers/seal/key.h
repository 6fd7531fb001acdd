// A symmetric key that all routers of a fleet share: 32 bytes, in a file as 64 hexadecimal digits. Whoever
// holds it can act as a router of the fleet. Several keys may be in use at once, so that keys are rotated
// without an interruption.
#pragma once

#include <array>
#include <cstdint>
#include <string>
#include <string_view>
#include <variant>

namespace lemonroute::peers::seal {

/// A key and its public id.
struct Key {
  /// Length of a key in bytes.
  static constexpr std::size_t size = 32;
  /// The secret itself.
  std::array<unsigned char, size> bytes{};
  /// Short hash of the key, sent in the clear: it selects the key to open with and reveals nothing of it.
  std::uint32_t id = 0;
};

/// Makes a key of its bytes and computes its id.
Key make_key(const std::array<unsigned char, Key::size>& bytes);
/// Parses 64 hexadecimal digits, followed by white space at most. On failure: the reason.
std::variant<Key, std::string> parse_key(std::string_view text);
/// Reads a key from a regular file that only its owner may access. On failure: the reason.
std::variant<Key, std::string> read_key(const std::string& path);
/// Writes a new random key to a file that must not exist yet. Returns an empty string, or the reason of the
/// failure.
std::string write_new_key(const std::string& path);

}  // namespace lemonroute::peers::seal
