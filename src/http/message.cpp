#include "http/message.h"

#include <algorithm>
#include <charconv>
#include <sstream>

namespace lemonroute::http {
namespace {

constexpr std::size_t most_chunk_line = 256;

char lower(char c) {
  return c >= 'A' && c <= 'Z' ? static_cast<char>(c + 32) : c;
}

bool token_char(char c) {
  return (c >= '0' && c <= '9') || (c >= 'a' && c <= 'z') || (c >= 'A' && c <= 'Z') ||
         std::string_view("!#$%&'*+-.^_`|~").find(c) != std::string_view::npos;
}
bool is_token(std::string_view text) {
  return !text.empty() && std::all_of(text.begin(), text.end(), token_char);
}
bool visible(char c) {
  return c > 0x20 && c < 0x7f;
}

// Whether a comma-separated field names `word`.
bool lists(std::string_view value, std::string_view word) {
  while (!value.empty()) {
    const auto comma = value.find(',');
    if (same_name(trim(value.substr(0, comma)), word))
      return true;
    value.remove_prefix(comma == std::string_view::npos ? value.size() : comma + 1);
  }
  return false;
}

bool parse_version(std::string_view text, int& minor) {
  if (text != "HTTP/1.1" && text != "HTTP/1.0")
    return false;
  minor = text.back() - '0';
  return true;
}

bool parse_request_line(std::string_view line, Head& head) {
  const auto first = line.find(' '), last = line.rfind(' ');
  if (first == std::string_view::npos || first == last)
    return false;
  head.method = line.substr(0, first);
  head.target = line.substr(first + 1, last - first - 1);
  return is_token(head.method) && !head.target.empty() &&
         std::all_of(head.target.begin(), head.target.end(), visible) &&
         parse_version(line.substr(last + 1), head.minor);
}

bool parse_status_line(std::string_view line, Head& head) {
  if (line.size() < 12 || line[8] != ' ' || !parse_version(line.substr(0, 8), head.minor))
    return false;
  if (line.size() > 12 && line[12] != ' ')
    return false;
  const auto digits = line.substr(9, 3);
  const auto [end, error] = std::from_chars(digits.data(), digits.data() + 3, head.status);
  return error == std::errc() && end == digits.data() + 3 && head.status >= 100;
}

bool parse_number(std::string_view text, int base, std::uint64_t& value) {
  if (text.empty() || text.front() == '-' || text.front() == '+')
    return false;
  const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), value, base);
  return error == std::errc() && end == text.data() + text.size();
}

// The length that a head states. Fields that disagree are a fault, not a choice: two readers of the same
// bytes would see different messages.
enum class Length { absent, stated, fault };
Length stated_length(const Head& head, std::uint64_t& length) {
  Length result = Length::absent;
  for (const auto& field : head.all()) {
    if (!same_name(field.name, "Content-Length"))
      continue;
    std::uint64_t value = 0;
    if (!parse_number(field.value, 10, value) || (result == Length::stated && value != length))
      return Length::fault;
    length = value;
    result = Length::stated;
  }
  return result;
}

const char* reason(int status) {
  switch (status) {
    case 200:
      return "OK";
    case 400:
      return "Bad Request";
    case 404:
      return "Not Found";
    case 405:
      return "Method Not Allowed";
    case 408:
      return "Request Timeout";
    case 413:
      return "Content Too Large";
    case 429:
      return "Too Many Requests";
    case 431:
      return "Request Header Fields Too Large";
    case 502:
      return "Bad Gateway";
    case 503:
      return "Service Unavailable";
    case 504:
      return "Gateway Timeout";
  }
  return "Error";
}

}  // namespace

std::string whole_answer(int status, std::string_view fields, std::string_view body) {
  const std::string plain = std::string(reason(status)) + "\n";
  if (body.empty())
    body = plain;
  std::ostringstream text;
  text << "HTTP/1.1 " << status << ' ' << reason(status) << "\r\nContent-Length: " << body.size() << "\r\n"
       << fields;
  if (fields.find("Content-Type:") == std::string_view::npos)
    text << "Content-Type: text/plain\r\n";
  text << "\r\n" << body;
  return text.str();
}

std::optional<std::string> query_value(std::string_view target, std::string_view name) {
  const auto mark = target.find('?');
  if (mark == std::string_view::npos)
    return std::nullopt;
  std::string_view rest = target.substr(mark + 1);
  std::optional<std::string> value;
  while (!rest.empty()) {
    const auto item = rest.substr(0, rest.find('&'));
    rest.remove_prefix(std::min(rest.size(), item.size() + 1));
    if (item.substr(0, item.find('=')) != name)
      continue;
    if (value || item.size() == name.size())
      return std::nullopt;
    value.emplace();
    for (std::size_t i = name.size() + 1; i < item.size(); ++i) {
      if (item[i] != '%') {
        *value += item[i] == '+' ? ' ' : item[i];
        continue;
      }
      std::uint64_t byte = 0;
      if (i + 2 >= item.size() || !parse_number(item.substr(i + 1, 2), 16, byte))
        return std::nullopt;
      *value += static_cast<char>(byte);
      i += 2;
    }
  }
  return value;
}

bool same_name(std::string_view a, std::string_view b) {
  return a.size() == b.size() &&
         std::equal(a.begin(), a.end(), b.begin(), [](char x, char y) { return lower(x) == lower(y); });
}

std::string_view trim(std::string_view text) {
  const auto first = text.find_first_not_of(" \t");
  if (first == std::string_view::npos)
    return {};
  return text.substr(first, text.find_last_not_of(" \t") - first + 1);
}

std::string_view Head::field(std::string_view name) const {
  for (const auto& one : all())
    if (same_name(one.name, name))
      return one.value;
  return {};
}
bool Head::has(std::string_view name) const {
  return std::any_of(all().begin(), all().end(), [&](auto& one) { return same_name(one.name, name); });
}
bool Head::closes() const {
  const auto connection = field("Connection");
  return minor == 0 ? !lists(connection, "keep-alive") : lists(connection, "close");
}

Fault parse_head(std::string_view text, Kind kind, Head& head) {
  const auto end = text.find("\r\n");
  const auto line = text.substr(0, end);
  if (!(kind == Kind::request ? parse_request_line(line, head) : parse_status_line(line, head)))
    return Fault::bad;
  head.field_count = 0;
  text.remove_prefix(end == std::string_view::npos ? text.size() : end + 2);
  while (!text.empty()) {
    const auto stop = text.find("\r\n");
    const auto row = text.substr(0, stop);
    text.remove_prefix(stop == std::string_view::npos ? text.size() : stop + 2);
    const auto colon = row.find(':');
    if (colon == std::string_view::npos || !is_token(row.substr(0, colon)))
      return Fault::bad;
    const auto value = trim(row.substr(colon + 1));
    if (std::any_of(value.begin(), value.end(),
                    [](char c) { return c == 0x7f || (c >= 0 && c < 0x20 && c != '\t'); }))
      return Fault::bad;
    if (head.field_count == most_fields)
      return Fault::head_too_large;
    head.fields[head.field_count++] = {row.substr(0, colon), value};
  }
  return Fault::none;
}

HeadScan scan_head(evbuffer* input, Kind kind, std::size_t& scanned) {
  HeadScan result;
  const std::size_t have = evbuffer_get_length(input);
  evbuffer_ptr from{};
  const std::size_t back = scanned < 3 ? 0 : scanned - 3;  // the empty line may be cut in two
  evbuffer_ptr_set(input, &from, back, EVBUFFER_PTR_SET);
  const evbuffer_ptr found = evbuffer_search(input, "\r\n\r\n", 4, have > back ? &from : nullptr);
  if (found.pos < 0 || static_cast<std::size_t>(found.pos) > most_head) {
    scanned = have;
    // Guards against a node that sends noise, or a head that never ends, at its leisure.
    constexpr std::string_view opening = "HTTP/1.";
    char begun[opening.size()];
    const auto copied = evbuffer_copyout(input, begun, sizeof begun);
    if (kind == Kind::answer && copied > 0 &&
        !opening.starts_with({begun, static_cast<std::size_t>(copied)})) {
      result.state = Scan::fault;
      result.fault = Fault::bad;
      return result;
    }
    if (have <= most_head)
      return result;
    result.state = Scan::fault;
    result.fault = Fault::head_too_large;
    return result;
  }
  scanned = 0;
  const auto length = static_cast<std::size_t>(found.pos);
  const auto* bytes = reinterpret_cast<const char*>(evbuffer_pullup(input, found.pos + 4));
  result.length = length + 4;
  result.fault = parse_head({bytes, length}, kind, result.head);
  result.state = result.fault == Fault::none ? Scan::head : Scan::fault;
  return result;
}

std::optional<Body> Body::of_request(const Head& head, Fault& fault) {
  fault = Fault::none;
  Body body;
  body.limit_ = most_body;
  const auto length = stated_length(head, body.left_);
  const bool encoded = head.has("Transfer-Encoding");
  if (length == Length::fault || (encoded && length == Length::stated) ||
      (encoded && (!same_name(head.field("Transfer-Encoding"), "chunked") || head.minor == 0))) {
    fault = Fault::bad;
  } else if (encoded) {
    body.framing_ = Framing::chunked;
  } else if (length == Length::stated) {
    body.framing_ = Framing::length;
    if (body.left_ > most_body)
      fault = Fault::too_large;
  }
  return fault == Fault::none ? std::optional(body) : std::nullopt;
}

std::optional<Body> Body::of_answer(const Head& head) {
  Body body;
  if (head.status < 200 || head.status == 204 || head.status == 304)
    return body;
  const auto length = stated_length(head, body.left_);
  if (length == Length::fault)
    return std::nullopt;
  if (head.has("Transfer-Encoding")) {
    if (!same_name(head.field("Transfer-Encoding"), "chunked") || length == Length::stated)
      return std::nullopt;
    body.framing_ = Framing::chunked;
    body.chunk_limit_ = most_chunk;
  } else {
    body.framing_ = length == Length::stated ? Framing::length : Framing::until_close;
  }
  return body;
}

Body Body::going_on() {
  Body body;
  body.framing_ = Framing::chunked;
  body.chunk_limit_ = most_chunk;
  return body;
}

Body::State Body::fail(Fault fault) {
  fault_ = fault;
  return State::fault;
}

// Up to left_ bytes; false when told to stop.
bool Body::take_bytes(evbuffer* input, const std::function<bool(std::string_view)>& piece) {
  while (left_ > 0 && evbuffer_get_length(input) > 0) {
    const auto contiguous = evbuffer_get_contiguous_space(input);
    const auto size = std::min<std::uint64_t>(contiguous, left_);
    const auto* bytes = reinterpret_cast<const char*>(evbuffer_pullup(input, static_cast<ev_ssize_t>(size)));
    const bool go_on = piece({bytes, static_cast<std::size_t>(size)});
    evbuffer_drain(input, static_cast<std::size_t>(size));
    left_ -= size;
    taken_ += size;
    if (!go_on)
      return false;
  }
  return true;
}

Body::State Body::take(evbuffer* input, const std::function<bool(std::string_view)>& piece) {
  switch (framing_) {
    case Framing::none:
      return State::whole;
    case Framing::length:
      if (!take_bytes(input, piece))
        return State::more;
      return left_ == 0 ? State::whole : State::more;
    case Framing::until_close:
      left_ = evbuffer_get_length(input);
      take_bytes(input, piece);
      return State::more;
    case Framing::chunked:
      return take_chunked(input, piece);
  }
  return State::more;
}

Body::State Body::take_chunked(evbuffer* input, const std::function<bool(std::string_view)>& piece) {
  for (;;) {
    if (chunk_ == Chunk::data) {
      if (!take_bytes(input, piece) || left_ > 0)
        return State::more;
      chunk_ = Chunk::data_end;
      continue;
    }
    std::size_t ending = 0;
    const evbuffer_ptr found = evbuffer_search_eol(input, nullptr, &ending, EVBUFFER_EOL_CRLF_STRICT);
    if (found.pos < 0) {
      return evbuffer_get_length(input) > most_chunk_line ? fail(Fault::bad) : State::more;
    }
    const auto length = static_cast<std::size_t>(found.pos);
    if (length > most_chunk_line)
      return fail(Fault::bad);
    const std::string_view line(reinterpret_cast<const char*>(evbuffer_pullup(input, found.pos + 2)), length);
    const bool empty = line.empty();
    if (chunk_ == Chunk::size) {
      if (!parse_number(trim(line.substr(0, line.find(';'))), 16, left_))
        return fail(Fault::bad);
      if (limit_ > 0 && (left_ > limit_ || taken_ + left_ > limit_))
        return fail(Fault::too_large);
      // Guards against a chunk that is said to hold gigabytes and keeps coming: no event in it would be
      // whole.
      if (chunk_limit_ > 0 && left_ > chunk_limit_)
        return fail(Fault::too_large);
    }
    evbuffer_drain(input, length + 2);
    switch (chunk_) {
      case Chunk::size:
        chunk_ = left_ > 0 ? Chunk::data : Chunk::trailer;
        break;
      case Chunk::data_end:
        if (!empty)
          return fail(Fault::bad);
        chunk_ = Chunk::size;
        break;
      case Chunk::trailer:
        if (empty)
          return State::whole;
        if ((trailer_ += length) > most_head)
          return fail(Fault::head_too_large);
        break;
      case Chunk::data:
        break;
    }
  }
}

}  // namespace lemonroute::http
