// Spans of time as people write them in our files: a number and a unit, "250ms", "1.5s", "-20s".
#pragma once

#include <chrono>
#include <optional>
#include <string>
#include <string_view>

namespace lemonroute {

// Units: us, ms, s, m, h. Nothing for a number without a unit, or beyond 1,000 hours either way. "0" needs no
// unit.
std::optional<std::chrono::microseconds> parse_span(std::string_view text);
// The shortest form that parse_span reads back as the same span.
std::string span_text(std::chrono::microseconds span);

// For people: three digits or so, "48.6ms".
std::string readable(std::chrono::microseconds span);

}  // namespace lemonroute
