// Server-sent events out of pieces that may be cut anywhere.
#pragma once

#include <functional>
#include <string>
#include <string_view>
#include <utility>

namespace lemonroute::http {

class EventStream {
 public:
  // Each returns false to stop: the rest of the piece is then not looked at.
  std::function<bool(std::string_view data)> on_event;
  std::function<bool(std::string_view text)> on_comment;

  // False if an event grew beyond what is allowed, or a line is none of an event stream.
  bool feed(std::string_view piece);
  bool between() const { return line_.empty() && !has_data_; }  // two events

 private:
  bool line(std::string_view text);  // false: stop
  std::string line_, data_;
  bool has_data_ = false, stopped_ = false, malformed_ = false;
};

}  // namespace lemonroute::http
