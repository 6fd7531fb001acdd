// HTTP/1.1 messages: heads parsed in place, and the framing of bodies.
#pragma once

#include <event2/buffer.h>

#include <array>
#include <cstdint>
#include <functional>
#include <optional>
#include <span>
#include <string>
#include <string_view>

namespace lemonroute::http {

constexpr std::size_t most_head = 16 * 1024;
constexpr std::size_t most_body = 256 * 1024;
constexpr std::size_t most_fields = 64;
constexpr std::size_t most_chunk = 1024 * 1024;  // of an answer, whose length as a whole is not bounded

struct Field {
  std::string_view name, value;
};

// A head. Its views point into the parsed bytes, and last as long as they do.
struct Head {
  std::string_view method, target;  // of a request
  int status = 0;                   // of an answer
  int minor = 1;                    // HTTP/1.minor
  std::array<Field, most_fields> fields;
  std::size_t field_count = 0;

  std::span<const Field> all() const { return {fields.data(), field_count}; }
  std::string_view field(std::string_view name) const;  // empty where there is none
  bool has(std::string_view name) const;
  bool closes() const;  // whether the connection ends after this message
};

bool same_name(std::string_view a, std::string_view b);  // field names ignore case
std::string_view trim(std::string_view text);

// What is wrong with a message, as the status that tells the client; 0 = nothing.
enum class Fault : int { none = 0, bad = 400, too_large = 413, head_too_large = 431 };

enum class Scan { more, head, fault };
enum class Kind { request, answer };

// Looks for a whole head at the start of `input`. On Scan::head the views are good until `length` bytes are
// drained. Only the bytes that came since `scanned` are searched.
struct HeadScan {
  Scan state = Scan::more;
  Fault fault = Fault::none;
  Head head;
  std::size_t length = 0;
};
// An answer that does not begin like one is a fault before its head has an end.
HeadScan scan_head(evbuffer* input, Kind kind, std::size_t& scanned);
Fault parse_head(std::string_view text, Kind kind, Head& head);  // text without the empty line

// Takes a body out of a buffer as its framing tells.
class Body {
 public:
  enum class State { more, whole, fault };
  Body() = default;
  // Which framing a head announces. `limit` bounds the body, 0 = unbounded.
  static std::optional<Body> of_request(const Head& head, Fault& fault);
  static std::optional<Body> of_answer(const Head& head);

  // Hands on what there is, piece by piece; `piece` returns false to stop (the state is then more).
  State take(evbuffer* input, const std::function<bool(std::string_view)>& piece);
  static Body going_on();  // of an answer in chunks, between two of them
  bool between_chunks() const { return framing_ == Framing::chunked && chunk_ == Chunk::size; }
  Fault fault() const { return fault_; }
  bool until_close() const { return framing_ == Framing::until_close; }

 private:
  enum class Framing { none, length, chunked, until_close };
  enum class Chunk { size, data, data_end, trailer };
  State fail(Fault fault);
  State take_chunked(evbuffer* input, const std::function<bool(std::string_view)>& piece);
  bool take_bytes(evbuffer* input, const std::function<bool(std::string_view)>& piece);

  Framing framing_ = Framing::none;
  Chunk chunk_ = Chunk::size;
  std::uint64_t left_ = 0, taken_ = 0, limit_ = 0, chunk_limit_ = 0;  // 0 = unbounded
  std::size_t trailer_ = 0;
  Fault fault_ = Fault::none;
};

// The value of the one parameter `name` in a target's query, decoded; nothing if it is absent, twice there or
// odd.
std::optional<std::string> query_value(std::string_view target, std::string_view name);

// An answer with its body, which without one says what the status means. `fields` end in \r\n each.
std::string whole_answer(int status, std::string_view fields, std::string_view body = {});

}  // namespace lemonroute::http
