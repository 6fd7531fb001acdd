// Which combinations of the variables' values are played.
#include <array>
#include <cstddef>
#include <random>
#include <set>
#include <utility>

#include "expect/general.h"

namespace lemonroute::expect {
namespace {

using Rows = std::vector<std::vector<std::size_t>>;

// A greedy cover of all pairs of values of two variables.
class Pairwise {
 public:
  Pairwise(const General& general, std::mt19937_64& random) : random_(random) {
    for (const auto& variable : general.variables)
      sizes_.push_back(variable.values.size());
    for (std::size_t a = 0; a < sizes_.size(); ++a)
      for (std::size_t b = a + 1; b < sizes_.size(); ++b)
        add_pairs(a, b);
  }

  Rows cover() {
    Rows all;
    while (!left_.empty())
      all.push_back(next_row());
    return all;
  }

 private:
  using Row = std::vector<std::size_t>;
  using Pair =
      std::array<std::size_t, 4>;  // a variable, the index of its value, a later variable, its value's
  static constexpr std::size_t open = static_cast<std::size_t>(-1);  // a variable that has no value yet

  void add_pairs(std::size_t a, std::size_t b) {
    for (std::size_t x = 0; x < sizes_[a]; ++x)
      for (std::size_t y = 0; y < sizes_[b]; ++y)
        left_.insert({a, x, b, y});
  }

  // Each row begins with a pair that is still open, so that every row covers one at least.
  Row next_row() {
    const auto [a, x, b, y] = *left_.begin();
    Row row(sizes_.size(), open);
    row[a] = x;
    row[b] = y;
    for (std::size_t i = 0; i < row.size(); ++i)
      if (row[i] == open)
        row[i] = best_value(row, i);
    for (std::size_t i = 0; i < row.size(); ++i)
      for (std::size_t j = i + 1; j < row.size(); ++j)
        left_.erase({i, row[i], j, row[j]});
    return row;
  }

  // The value that covers most open pairs with those chosen so far; of equal ones the first from a drawn
  // start.
  std::size_t best_value(const Row& row, std::size_t variable) {
    std::size_t best = 0, best_count = 0;
    const std::size_t begin = random_() % sizes_[variable];
    for (std::size_t k = 0; k < sizes_[variable]; ++k) {
      const std::size_t value = (begin + k) % sizes_[variable];
      const std::size_t count = newly_covered(row, variable, value);
      if (k > 0 && count <= best_count)
        continue;
      best = value;
      best_count = count;
    }
    return best;
  }

  std::size_t newly_covered(const Row& row, std::size_t variable, std::size_t value) const {
    std::size_t count = 0;
    for (std::size_t j = 0; j < row.size(); ++j)
      if (row[j] != open)
        count +=
            left_.count(j > variable ? Pair{variable, value, j, row[j]} : Pair{j, row[j], variable, value});
    return count;
  }

  std::mt19937_64& random_;
  std::vector<std::size_t> sizes_;
  std::set<Pair> left_;
};

// Every combination.
Rows product(const std::vector<Variable>& variables) {
  Rows all;
  std::vector<std::size_t> row(variables.size(), 0);
  std::size_t i = 0;
  while (i < variables.size()) {
    all.push_back(row);
    for (i = 0; i < variables.size() && ++row[i] == variables[i].values.size(); ++i)
      row[i] = 0;
  }
  return all;
}

std::vector<std::size_t> random_row(const std::vector<Variable>& variables, std::mt19937_64& random) {
  std::vector<std::size_t> row;
  row.reserve(variables.size());
  for (const auto& variable : variables)
    row.push_back(random() % variable.values.size());
  return row;
}

}  // namespace

Rows rows(const General& general) {
  std::mt19937_64 random(static_cast<std::uint64_t>(general.seed));
  Rows all;
  const auto& variables = general.variables;
  const bool pairwise = general.strategy == Strategy::pairwise;
  if (general.strategy == Strategy::all || (pairwise && variables.size() == 1))
    all = product(variables);
  else if (pairwise)
    all = Pairwise(general, random).cover();
  for (std::int64_t i = 0; i < general.extra; ++i)
    all.push_back(random_row(variables, random));
  if (all.size() > static_cast<std::size_t>(general.most))
    all.resize(static_cast<std::size_t>(general.most));
  return all;
}

}  // namespace lemonroute::expect
