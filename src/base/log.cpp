#include "base/log.h"

#include <array>
#include <chrono>
#include <iomanip>
#include <iostream>

namespace lemonroute::logging {
namespace {

constexpr std::array<std::string_view, 4> names{"debug", "info", "warn", "error"};
Level threshold = Level::info;

}  // namespace

void set_level(Level level) {
  threshold = level;
}
bool enabled(Level level) {
  return level >= threshold;
}

bool parse_level(std::string_view word, Level& level) {
  for (std::size_t i = 0; i < names.size(); ++i)
    if (names[i] == word) {
      level = static_cast<Level>(i);
      return true;
    }
  return false;
}

Line::~Line() {
  if (!on_)
    return;
  using namespace std::chrono;
  const auto since = duration_cast<milliseconds>(system_clock::now().time_since_epoch()).count();
  std::ostringstream whole;
  whole << since / 1000 << '.' << std::setw(3) << std::setfill('0') << since % 1000 << ' '
        << names[static_cast<std::size_t>(level_)] << ' ' << text_.str() << '\n';
  std::clog << whole.str() << std::flush;
}

}  // namespace lemonroute::logging
