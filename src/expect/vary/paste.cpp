// Writes a case as TOML that can be pasted into an expectation file.
#include <algorithm>
#include <iterator>
#include <sstream>
#include <string_view>

#include "expect/general.h"
#include "expect/vary/values.h"

namespace lemonroute::expect {
namespace {

void write(std::ostream& out, const toml::node& node) {
  if (const auto* table = node.as_table()) {
    out << "{ ";
    bool any = false;
    const auto one = [&](std::string_view key, const toml::node& value) {
      out << (any ? ", " : "") << key << " = ";
      any = true;
      write(out, value);
    };
    for (const char* first : {"at", "name", "request"})
      if (const auto* value = table->get(first))
        one(first, *value);
    for (const auto& [key, value] : *table)
      if (key.str() != Section::line_note && key.str() != "at" && key.str() != "name" &&
          key.str() != "request")
        one(key.str(), value);
    out << " }";
  } else if (const auto* array = node.as_array()) {
    out << '[';
    for (std::size_t i = 0; i < array->size(); ++i) {
      if (i)
        out << ", ";
      write(out, *array->get(i));
    }
    out << ']';
  } else if (const auto* text = node.as_string()) {
    out << toml::toml_formatter{*text, toml::format_flags::none};
  } else if (const auto* whole = node.as_integer()) {
    out << whole->get();
  } else if (const auto* real = node.as_floating_point()) {
    const std::string digits = plain(real->get());
    out << digits << (digits.find_first_of(".en") == std::string::npos ? ".0" : "");
  } else if (const auto* flag = node.as_boolean()) {
    out << (flag->get() ? "true" : "false");
  }
}

}  // namespace

std::string paste(const toml::table& table) {
  std::ostringstream out;
  out << "[[case]]\n";
  const auto one = [&](std::string_view key, const toml::node& node) {
    out << key << " = ";
    const auto* array = node.as_array();
    if (array && !array->empty() && array->get(0)->is_table()) {
      out << "[\n";
      for (const auto& item : *array) {
        out << "  ";
        write(out, item);
        out << ",\n";
      }
      out << ']';
    } else {
      write(out, node);
    }
    out << '\n';
  };
  static constexpr const char* order[] = {"name", "fleet", "nodes", "seeds", "watched", "steps", "expect"};
  for (const char* key : order)
    if (const auto* node = table.get(key))
      one(key, *node);
  for (const auto& [key, node] : table)
    if (key.str() != Section::line_note &&
        std::find(std::begin(order), std::end(order), key.str()) == std::end(order))
      one(key.str(), node);
  return out.str();
}

}  // namespace lemonroute::expect
