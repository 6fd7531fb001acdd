// Makes a case that fails small: simpler values first, then fewer steps, nodes and expectations.
#include <cmath>
#include <cstdint>
#include <utility>

#include "expect/general.h"

namespace lemonroute::expect {
namespace {

constexpr std::size_t most_tries = 3000;  // cases that are played to shrink one
constexpr int most_halvings = 24;         // of a range, for one variable
constexpr double finest_span = 1000;      // microseconds; spans are not told apart more finely

double as_number(const Value& value) {
  if (const auto* whole = std::get_if<std::int64_t>(&value))
    return static_cast<double>(*whole);
  if (const auto* real = std::get_if<double>(&value))
    return *real;
  const auto span = parse_span(std::get<std::string>(value));
  return span ? static_cast<double>(span->count()) : 0;
}

Value as_value(Variable::Kind kind, double number) {
  if (kind == Variable::Kind::whole)
    return static_cast<std::int64_t>(std::llround(number));
  if (kind == Variable::Kind::number)
    return number;
  return span_text(std::chrono::duration_cast<std::chrono::milliseconds>(Micros(std::llround(number))));
}

class Shrinker {
 public:
  Shrinker(const General& general, std::vector<Value> values,
           const std::function<bool(const toml::table&)>& fails)
      : general_(general), values_(std::move(values)), fails_(fails) {}

  Shrunk shrink() {
    for (std::size_t i = 0; i < values_.size(); ++i)
      simplify(i);
    result_.table = filled(values_);
    for (const char* part : {"steps", "nodes", "expect"})
      leave_out(part);
    return std::move(result_);
  }

 private:
  bool still_fails(const toml::table& table) {
    if (result_.tried >= most_tries)
      return false;
    ++result_.tried;
    return fails_(table);
  }

  toml::table filled(const std::vector<Value>& values) const {
    std::vector<Fault> faults;
    return concrete(general_, values, faults);
  }

  // The first of the variable's values, simplest first, with which the case still fails.
  void simplify(std::size_t i) {
    const Variable& variable = general_.variables[i];
    auto tried = values_;
    for (const auto& simpler : variable.values) {
      if (simpler == values_[i])
        break;
      tried[i] = simpler;
      if (!still_fails(filled(tried)))
        continue;
      values_ = tried;
      break;
    }
    if (variable.kind != Variable::Kind::list && values_[i] != variable.values.front())
      halve(i);
  }

  // Between the simplest value, which passes, and this one lies the least that fails.
  void halve(std::size_t i) {
    const Variable& variable = general_.variables[i];
    const double finest = variable.kind == Variable::Kind::span ? finest_span : 1;
    double passes = as_number(variable.values.front()), bad = as_number(values_[i]);
    for (int k = 0; k < most_halvings && bad - passes > finest; ++k) {
      const double middle = (passes + bad) / 2;
      auto tried = values_;
      tried[i] = as_value(variable.kind, middle);
      if (still_fails(filled(tried))) {
        values_ = tried;
        bad = middle;
      } else {
        passes = middle;
      }
    }
  }

  // Leaves out the parts that the failure does not need; one is always left.
  void leave_out(const char* part) {
    std::size_t i = 0;
    while (true) {
      const auto* node = result_.table.get(part);
      const auto* array = node ? node->as_array() : nullptr;
      if (!array || i >= array->size() || array->size() == 1)
        return;
      toml::table without = result_.table;
      auto* list = without.get(part)->as_array();
      list->erase(list->cbegin() + static_cast<std::ptrdiff_t>(i));
      if (still_fails(without))
        result_.table = std::move(without);
      else
        ++i;
    }
  }

  const General& general_;
  std::vector<Value> values_;
  const std::function<bool(const toml::table&)>& fails_;
  Shrunk result_;
};

}  // namespace

Shrunk shrink(const General& general, std::vector<Value> values,
              const std::function<bool(const toml::table&)>& fails) {
  return Shrinker(general, std::move(values), fails).shrink();
}

}  // namespace lemonroute::expect
