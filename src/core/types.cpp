#include "core/types.h"

#include <algorithm>
#include <charconv>

namespace lemonroute {

// FNV-1a. The three steps after the loop mix the high bits into the low ones.
std::uint64_t hash_text(std::string_view text) {
  std::uint64_t h = 0xcbf29ce484222325ull;
  for (const unsigned char c : text)
    h = (h ^ c) * 0x100000001b3ull;
  h ^= h >> 32;
  h *= 0xd6e8feb86659fd93ull;
  return h ^ (h >> 32);
}

Key key_from_text(std::string_view text) {
  if (text.empty())
    return 0;
  Key key = 0;
  const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), key, 16);
  return error == std::errc() && end == text.data() + text.size() ? key : hash_text(text);
}

bool is_valid_request_id(std::string_view id) {
  return !id.empty() && id.size() <= 128 && std::all_of(id.begin(), id.end(), [](char c) {
    return (c >= '0' && c <= '9') || (c >= 'a' && c <= 'z') || (c >= 'A' && c <= 'Z') || c == '-' || c == '_';
  });
}

}  // namespace lemonroute
