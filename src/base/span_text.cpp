#include "base/span_text.h"

#include <array>
#include <charconv>
#include <cmath>
#include <utility>

namespace lemonroute {
namespace {

constexpr std::array<std::pair<std::string_view, double>, 5> units{
    {{"us", 1}, {"ms", 1e3}, {"s", 1e6}, {"m", 6e7}, {"h", 3.6e9}}};
constexpr double most = 1000 * 3.6e9;

}  // namespace

std::optional<std::chrono::microseconds> parse_span(std::string_view text) {
  if (text == "0")
    return std::chrono::microseconds(0);
  double value = 0;
  const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), value);
  if (error != std::errc() || !std::isfinite(value))
    return std::nullopt;
  const std::string_view unit = text.substr(static_cast<std::size_t>(end - text.data()));
  for (const auto& [name, factor] : units)
    if (unit == name && std::abs(value * factor) <= most)
      return std::chrono::microseconds(std::llround(value * factor));
  return std::nullopt;
}

std::string span_text(std::chrono::microseconds span) {
  const auto count = span.count();
  if (count == 0)
    return "0s";
  const auto whole = [&](long long by, const char* unit) { return std::to_string(count / by) + unit; };
  if (count % 1000000 == 0)
    return whole(1000000, "s");
  if (count % 1000 == 0)
    return whole(1000, "ms");
  return whole(1, "us");
}

std::string readable(std::chrono::microseconds span) {
  const double us = static_cast<double>(span.count()), size = std::abs(us);
  const auto [value, unit] = size >= 1e6   ? std::pair(us / 1e6, "s")
                             : size >= 1e3 ? std::pair(us / 1e3, "ms")
                                           : std::pair(us, "us");
  char buffer[32];
  const auto [end, error] =
      std::to_chars(buffer, buffer + sizeof buffer, value, std::chars_format::general, 4);
  static_cast<void>(error);
  return std::string(buffer, end) + (us == 0 ? "s" : unit);
}

}  // namespace lemonroute
