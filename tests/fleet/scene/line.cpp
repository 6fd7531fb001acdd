#include "scene/line.h"

#include <charconv>
#include <cmath>
#include <sstream>

namespace lemonroute::rig {

Line::Line(const std::string& path, std::size_t number, const std::string& text)
    : path_(path), number_(number) {
  std::istringstream in(text);
  for (std::string word; in >> word && word[0] != '#';)
    words_.push_back(word);
}

void Line::fault(const std::string& why) const {
  throw SceneError(path_ + ":" + std::to_string(number_) + ": " + why);
}

const std::string& Line::peek() const {
  static const std::string none;
  return empty() ? none : words_[at_];
}

std::string Line::take(const char* what) {
  if (empty())
    fault(std::string(what) + " is missing");
  return words_[at_++];
}

bool Line::skip(const std::string& word) {
  if (peek() != word)
    return false;
  ++at_;
  return true;
}

void Line::end() const {
  if (!empty())
    fault("'" + peek() + "' is too much");
}

std::string Line::rest() {
  std::string text;
  while (!empty())
    text += (text.empty() ? "" : " ") + words_[at_++];
  return text;
}

std::optional<std::string> Line::option(const std::string& key) {
  if (!peek().starts_with(key + "="))
    return std::nullopt;
  std::string value = words_[at_++].substr(key.size() + 1);
  if (value.empty())
    fault(key + "= has no value");
  return value;
}

double Line::number(const std::string& text, const char* what) const {
  double value = 0;
  const char* begin = text.data() + (text.starts_with('+') ? 1 : 0);
  const auto [end, error] = std::from_chars(begin, text.data() + text.size(), value);
  if (error != std::errc() || end != text.data() + text.size() || !std::isfinite(value))
    fault("'" + text + "' is no " + what);
  return value;
}

std::uint32_t Line::whole(const std::string& word, std::uint32_t least, std::uint32_t most) const {
  const double value = number(word, "whole number");
  if (value != std::floor(value) || value < least || value > most)
    fault("'" + word + "' is no whole number from " + std::to_string(least) + " to " + std::to_string(most));
  return static_cast<std::uint32_t>(value);
}

double Line::part(const std::string& word) const {
  if (!word.ends_with('%'))
    fault("'" + word + "' is no part, as in 30%");
  const double value = number(word.substr(0, word.size() - 1), "part");
  if (value < 0 || value > 100)
    fault("'" + word + "' is not from 0% to 100%");
  return value / 100;
}

double Line::rate(const std::string& word) const {
  if (!word.ends_with("/s"))
    fault("'" + word + "' is no rate, as in 20/s");
  const double value = number(word.substr(0, word.size() - 2), "rate");
  if (value <= 0 || value > 100000)
    fault("'" + word + "' is not above 0/s and up to 100000/s");
  return value;
}

Micros Line::span(const std::string& word) const {
  const double scale = word.ends_with("ms") ? 1e3 : word.ends_with("s") ? 1e6 : 0;
  if (scale == 0)
    fault("'" + word + "' is no span, as in 200ms or 3s");
  const double value = scale * number(word.substr(0, word.size() - (scale == 1e3 ? 2 : 1)), "span");
  if (std::abs(value) > 86400e6)
    fault("'" + word + "' is more than a day");
  return Micros(static_cast<Micros::rep>(value));
}

Names Line::list(const std::string& word) const {
  Names names;
  std::istringstream in(word);
  for (std::string one; std::getline(in, one, ',');) {
    if (one.empty())
      fault("'" + word + "' has an empty name");
    if (const auto many = range(one))
      names.insert(names.end(), many->begin(), many->end());
    else
      names.push_back(one);
  }
  return names;
}

std::optional<Names> Line::range(const std::string& word) {
  const auto dots = word.find("..");
  if (dots == std::string::npos)
    return std::nullopt;
  const std::string first = word.substr(0, dots), last = word.substr(dots + 2);
  const auto digits = first.find_last_not_of("0123456789") + 1;
  const std::string stem = first.substr(0, digits);
  if (digits == first.size() || !last.starts_with(stem) || first.size() - digits > 4 ||
      last.size() - digits > 4 || last.size() == digits ||
      last.find_first_not_of("0123456789", digits) != std::string::npos)
    return std::nullopt;
  Names names;
  for (int i = std::stoi(first.substr(digits)); i <= std::stoi(last.substr(digits)); ++i)
    names.push_back(stem + std::to_string(i));
  return names.empty() ? std::nullopt : std::optional(names);
}

}  // namespace lemonroute::rig
