#include "http/event_stream.h"

#include "http/message.h"

namespace lemonroute::http {

bool EventStream::feed(std::string_view piece) {
  while (!piece.empty() && !stopped_) {
    const auto end = piece.find('\n');
    if (end == std::string_view::npos) {
      line_ += piece;
      return line_.size() <= most_body;
    }
    if (line_.empty()) {
      stopped_ = !line(piece.substr(0, end));
    } else {
      line_ += piece.substr(0, end);
      if (line_.size() > most_body)
        return false;
      const std::string whole = std::exchange(line_, {});
      stopped_ = !line(whole);
    }
    piece.remove_prefix(end + 1);
    if (malformed_ || data_.size() > most_body)
      return false;
  }
  return true;
}

bool EventStream::line(std::string_view text) {
  if (!text.empty() && text.back() == '\r')
    text.remove_suffix(1);
  if (text.empty()) {
    if (!has_data_)
      return true;
    has_data_ = false;
    const std::string data = std::exchange(data_, {});
    return on_event(data);
  }
  if (text.front() == ':')
    return on_comment(trim(text.substr(1)));
  const auto colon = text.find(':');
  const auto name = text.substr(0, colon);
  if (name != "data") {
    // Guards against a chunk whose size does not fit: framing that ends up among the events looks like a
    // field, but like none that an event stream can have.
    malformed_ = name != "event" && name != "id" && name != "retry";
    return !malformed_;
  }
  auto value = colon == std::string_view::npos ? std::string_view() : text.substr(colon + 1);
  if (!value.empty() && value.front() == ' ')
    value.remove_prefix(1);
  if (has_data_)
    data_ += '\n';
  data_ += value;
  has_data_ = true;
  return true;
}

}  // namespace lemonroute::http
