// A key that all routers of a fleet share: 32 bytes, in a file as 64 hexadecimal digits. Whoever holds it is
// one of them. Several may be in use at once, so that they can be changed without a stop.
#pragma once

#include <array>
#include <cstdint>
#include <string>
#include <string_view>
#include <variant>

namespace lemonroute::peers::seal {

struct Key {
  static constexpr std::size_t size = 32;
  std::array<unsigned char, size> bytes{};
  std::uint32_t id = 0;  // a short hash of it, sent in clear: says which key opens, and nothing of the key
};

Key make_key(const std::array<unsigned char, Key::size>& bytes);
// 64 hexadecimal digits, white space after them at the most; otherwise the reason.
std::variant<Key, std::string> parse_key(std::string_view text);
// From a file that its owner alone may read; otherwise the reason.
std::variant<Key, std::string> read_key(const std::string& path);
// Writes a new random one, as a file that was not there. Empty: done; otherwise the reason.
std::string write_new_key(const std::string& path);

}  // namespace lemonroute::peers::seal
