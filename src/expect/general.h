// General expectations: a case with variables, which is played for combinations of their values. A
// combination that fails is shrunk to a small case that stands by itself.
#pragma once

#include <toml++/toml.h>

#include <cstdint>
#include <functional>
#include <string>
#include <variant>
#include <vector>

#include "expect/judge.h"

namespace lemonroute::expect {

using Value = std::variant<std::int64_t, double, std::string>;
std::string text(const Value& value);

// The values of a variable, the simplest first. Of a range, `from` to `to`, any value between may be tried.
struct Variable {
  std::string name;
  std::size_t line = 0;
  std::vector<Value> values;
  enum class Kind { list, whole, number, span } kind = Kind::list;
};

enum class Strategy { pairwise, all, random };

struct General {
  std::string name, file;
  std::size_t line = 0;
  toml::table body;  // a case, with "$name" for a variable's value and "${name}" within longer texts
  std::vector<Variable> variables;
  Strategy strategy = Strategy::pairwise;
  std::int64_t seed = 1, extra = 0, most = 10000;
};

General read_general(Section table, const Setup& setup, const Fleets& fleets);

// Rows of indexes into the variables' values. Pairwise: each pair of values of two variables is in one row at
// least, by a greedy cover that the seed makes the same every time; `extra` random rows follow.
std::vector<std::vector<std::size_t>> rows(const General& general);
// The case of one combination, a plain one that can be written into a file.
toml::table concrete(const General& general, const std::vector<Value>& values, std::vector<Fault>& faults);

struct Shrunk {
  toml::table table;
  std::size_t tried = 0;
};
// `fails` says whether a table still fails in the same way (false for one that can't be read). The
// combination's values are made simpler one by one, then steps, nodes and expectations are left out, as long
// as it fails.
Shrunk shrink(const General& general, std::vector<Value> values,
              const std::function<bool(const toml::table&)>& fails);

// As TOML that can be pasted into an expectation file.
std::string paste(const toml::table& table);
void note_lines(toml::table& table);  // so that copies still tell where their parts stand

}  // namespace lemonroute::expect
