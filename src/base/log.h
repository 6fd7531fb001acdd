// Log lines on standard error, with a level filter. A line is put together by << and written whole when the
// statement ends: logging::warn() << "node " << name << " refused";
#pragma once

#include <sstream>
#include <string_view>

namespace lemonroute::logging {

enum class Level { debug, info, warn, error };

void set_level(Level level);
bool enabled(Level level);
bool parse_level(std::string_view word, Level& level);  // false: no such level

class Line {
 public:
  explicit Line(Level level) : level_(level), on_(enabled(level)) {}
  ~Line();
  Line(const Line&) = delete;
  Line& operator=(const Line&) = delete;
  template <class T>
  Line& operator<<(const T& value) {
    if (on_)
      text_ << value;
    return *this;
  }

 private:
  Level level_;
  bool on_;
  std::ostringstream text_;
};

inline Line debug() {
  return Line(Level::debug);
}
inline Line info() {
  return Line(Level::info);
}
inline Line warn() {
  return Line(Level::warn);
}
inline Line error() {
  return Line(Level::error);
}

}  // namespace lemonroute::logging
