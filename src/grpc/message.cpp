#include "grpc/message.h"

#include <algorithm>
#include <charconv>

#include "grpc/compression.h"

namespace lemonroute::grpc {
namespace {

constexpr std::size_t prefix_size = 5;

std::uint32_t length_of(std::string_view prefix) {
  std::uint32_t length = 0;
  for (std::size_t i = 1; i < prefix_size; ++i)
    length = length << 8 | static_cast<unsigned char>(prefix[i]);
  return length;
}

constexpr std::size_t worth_compressing = 1024;

std::string framed(std::string_view message, bool compressed) {
  std::string bytes(1, compressed ? '\1' : '\0');
  for (int shift = 24; shift >= 0; shift -= 8)
    bytes += static_cast<char>(message.size() >> shift & 0xff);
  return bytes.append(message);
}

}  // namespace

std::string_view find(const Headers& headers, std::string_view name) {
  const auto found =
      std::find_if(headers.begin(), headers.end(), [&](auto& one) { return one.first == name; });
  return found == headers.end() ? std::string_view() : std::string_view(found->second);
}

std::string frame(std::string_view message) {
  return framed(message, false);
}

std::string frame(std::string_view message, Encoding encoding) {
  if (encoding == Encoding::identity || message.size() < worth_compressing)
    return framed(message, false);
  const std::string smaller = compress(encoding, message);
  return smaller.size() < message.size() ? framed(smaller, true) : framed(message, false);
}

std::optional<Status> MessageReader::feed(std::string_view piece,
                                          const std::function<void(std::string_view)>& message) {
  pending_ += piece;
  std::string_view rest = pending_;
  while (rest.size() >= prefix_size) {
    // A message that says to be compressed where no compression was agreed on is a fault of the peer's.
    const bool compressed = rest[0] == 1;
    if (rest[0] != 0 && (!compressed || encoding_ == Encoding::identity))
      return Status::internal;
    const std::size_t length = length_of(rest);
    if (length > most_message)
      return Status::resource_exhausted;
    if (rest.size() < prefix_size + length)
      break;
    std::string whole;
    if (compressed) {
      // Guards against a small message that would inflate without end.
      if (const auto fault = decompress(encoding_, rest.substr(prefix_size, length), most_message, whole))
        return fault;
      message(whole);
    } else {
      message(rest.substr(prefix_size, length));
    }
    rest.remove_prefix(prefix_size + length);
  }
  pending_.erase(0, pending_.size() - rest.size());
  return std::nullopt;
}

std::optional<std::chrono::microseconds> parse_timeout(std::string_view text) {
  using namespace std::chrono;
  if (text.size() < 2 || text.size() > 9)
    return std::nullopt;
  std::int64_t value = 0;
  const char* last = text.data() + text.size() - 1;
  const auto [end, error] = std::from_chars(text.data(), last, value);
  if (error != std::errc() || end != last || value < 0)
    return std::nullopt;
  switch (*last) {
    case 'H':
      return hours(value);
    case 'M':
      return minutes(value);
    case 'S':
      return seconds(value);
    case 'm':
      return milliseconds(value);
    case 'u':
      return microseconds(value);
    case 'n':
      return duration_cast<microseconds>(nanoseconds(value));
  }
  return std::nullopt;
}

std::string timeout_text(std::chrono::microseconds span) {
  using namespace std::chrono;
  constexpr std::int64_t most = 99999999;
  if (span.count() <= most)
    return std::to_string(std::max<std::int64_t>(span.count(), 1)) + "u";
  return std::to_string(std::min(most, duration_cast<milliseconds>(span).count())) + "m";
}

}  // namespace lemonroute::grpc
