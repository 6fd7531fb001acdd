#include "expect/vary/values.h"

#include <charconv>
#include <cmath>
#include <cstdint>
#include <functional>
#include <utility>

namespace lemonroute::expect {
namespace {

constexpr std::int64_t most_values = 10000;  // of a range
constexpr std::int64_t usual_values = 5;     // of a range that states no count

class VariableReader {
 public:
  VariableReader(const std::string& name, Section& in, const std::vector<ScriptedNode>& nodes, General& to)
      : name_(name), in_(in), nodes_(nodes), to_(to) {}

  void read(const toml::node& node) {
    variable_.name = name_;
    variable_.line = node.source().begin.line;
    if (const auto* list = node.as_array())
      return read_list(*list);
    const auto* table = node.as_table();
    if (!table)
      return in_.fault(name_, "must be a list of values, { from, to, count } or { nodes }");
    Section range(*table, in_.file(), in_.full(name_), in_.faults());
    if (range.has("nodes"))
      read_node_names(range);
    else
      read_range(range);
  }

 private:
  void read_list(const toml::array& list) {
    for (const auto& item : list) {
      if (const auto whole = item.value_exact<std::int64_t>())
        variable_.values.emplace_back(*whole);
      else if (const auto number = item.value_exact<double>())
        variable_.values.emplace_back(*number);
      else if (const auto word = item.value_exact<std::string>())
        variable_.values.emplace_back(*word);
      else
        return in_.fault(name_, "must be a list of numbers or of texts");
    }
    if (variable_.values.empty())
      return in_.fault(name_, "has no values");
    add();
  }

  void read_node_names(Section& range) {
    std::vector<std::string> words;
    range.texts("nodes", words);
    range.end();
    for (const auto& word : words) {
      const auto names = names_by(word, nodes_);
      if (names.empty())
        range.fault("nodes", "'" + word + "' names no node of this case");
      for (const auto& one : names)
        variable_.values.emplace_back(one);
    }
    if (!variable_.values.empty())
      add();
  }

  void read_range(Section& range) {
    std::int64_t count = usual_values;
    range.whole("count", count, 2, most_values);
    const auto* from = range.any("from");
    const auto* to = range.any("to");
    range.end();
    if (!from || !to)
      return range.missing(from ? "to" : "from");
    const auto least = from->value_exact<std::int64_t>(), most = to->value_exact<std::int64_t>();
    if (least && most) {
      variable_.kind = Variable::Kind::whole;
      return spread(range, static_cast<double>(*least), static_cast<double>(*most), count,
                    [](double value) { return Value(std::int64_t(std::llround(value))); });
    }
    const auto first = read_span(*from), last = read_span(*to);
    if (first && last) {
      variable_.kind = Variable::Kind::span;
      return spread(range, static_cast<double>(first->count()), static_cast<double>(last->count()), count,
                    [](double value) { return Value(span_text(Micros(std::llround(value)))); });
    }
    if (from->is_number() && to->is_number()) {
      variable_.kind = Variable::Kind::number;
      return spread(range, *from->value<double>(), *to->value<double>(), count,
                    [](double value) { return Value(value); });
    }
    range.fault("from", "and to must both be numbers, or both times with units");
  }

  static std::optional<Micros> read_span(const toml::node& node) {
    const auto text = node.value_exact<std::string>();
    return text ? parse_span(*text) : std::nullopt;
  }

  // So many values at equal distances, those that are written alike once.
  void spread(Section& range, double low, double high, std::int64_t count,
              const std::function<Value(double)>& make) {
    if (low >= high)
      return range.fault("from", "must be below to");
    auto& values = variable_.values;
    for (std::int64_t i = 0; i < count; ++i) {
      Value value = make(low + (high - low) * static_cast<double>(i) / static_cast<double>(count - 1));
      if (values.empty() || values.back() != value)
        values.push_back(std::move(value));
    }
    add();
  }

  void add() { to_.variables.push_back(std::move(variable_)); }

  const std::string& name_;
  Section& in_;
  const std::vector<ScriptedNode>& nodes_;
  General& to_;
  Variable variable_;
};

}  // namespace

void read_variable(const std::string& name, const toml::node& node, Section& in,
                   const std::vector<ScriptedNode>& nodes, General& to) {
  VariableReader(name, in, nodes, to).read(node);
}

std::string plain(double value) {
  char buffer[32];
  const auto [end, error] = std::to_chars(buffer, buffer + sizeof buffer, value);
  static_cast<void>(error);
  return {buffer, end};
}

std::string text(const Value& value) {
  if (const auto* whole = std::get_if<std::int64_t>(&value))
    return std::to_string(*whole);
  if (const auto* number = std::get_if<double>(&value))
    return plain(*number);
  return std::get<std::string>(value);
}

}  // namespace lemonroute::expect
