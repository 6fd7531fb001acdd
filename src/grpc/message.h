// gRPC's own framing on HTTP/2: messages with a prefix of five bytes, statuses, time-outs.
#pragma once

#include <chrono>
#include <functional>
#include <optional>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace lemonroute::grpc {

using Headers = std::vector<std::pair<std::string, std::string>>;
std::string_view find(const Headers& headers, std::string_view name);  // empty where there is none

enum class Status : int {
  ok = 0,
  cancelled = 1,
  invalid_argument = 3,
  deadline_exceeded = 4,
  not_found = 5,
  already_exists = 6,
  resource_exhausted = 8,
  failed_precondition = 9,
  aborted = 10,
  unimplemented = 12,
  internal = 13,
  unavailable = 14,
};

constexpr std::size_t most_message = 256 * 1024 + 4096;  // a body of 256 KiB and its fields

enum class Encoding { identity, gzip, deflate };

std::string frame(std::string_view message);
// Compressed, if that makes it smaller and it is long enough to be worth it.
std::string frame(std::string_view message, Encoding encoding);
template <class Message>
requires requires(const Message& message) {
  message.SerializeAsString();
}
std::string frame(const Message& message) {
  return frame(std::string_view(message.SerializeAsString()));
}

// Puts messages together again. A fault ends the call with its status.
class MessageReader {
 public:
  void encoding(Encoding encoding) { encoding_ = encoding; }  // of messages that say they are compressed
  std::optional<Status> feed(std::string_view piece, const std::function<void(std::string_view)>& message);
  bool between() const { return pending_.empty(); }
  /// Returns the bytes of memory that an incomplete message holds.
  std::size_t held() const { return pending_.capacity(); }

 private:
  std::string pending_;
  Encoding encoding_ = Encoding::identity;
};

// The value of grpc-timeout: up to eight digits and a unit.
std::optional<std::chrono::microseconds> parse_timeout(std::string_view text);
std::string timeout_text(std::chrono::microseconds span);

}  // namespace lemonroute::grpc
