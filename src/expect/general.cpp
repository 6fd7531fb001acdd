#include "expect/general.h"

#include <algorithm>
#include <charconv>
#include <cmath>
#include <random>
#include <set>
#include <sstream>

namespace lemonroute::expect {
namespace {

constexpr std::int64_t most_rows = 1000000;
constexpr std::size_t most_values = 10000, most_tries = 3000;

std::string plain(double value) {
  char buffer[32];
  const auto [end, error] = std::to_chars(buffer, buffer + sizeof buffer, value);
  static_cast<void>(error);
  return {buffer, end};
}

void read_variable(const std::string& name, const toml::node& node, Section& in,
                   const std::vector<ScriptedNode>& nodes, General& to) {
  Variable variable;
  variable.name = name;
  variable.line = node.source().begin.line;
  const auto wrong = [&](const std::string& what) { in.fault(name, what); };
  if (const auto* list = node.as_array()) {
    for (const auto& item : *list) {
      if (const auto whole = item.value_exact<std::int64_t>())
        variable.values.emplace_back(*whole);
      else if (const auto number = item.value_exact<double>())
        variable.values.emplace_back(*number);
      else if (const auto word = item.value_exact<std::string>())
        variable.values.emplace_back(*word);
      else
        return wrong("must be a list of numbers or of texts");
    }
    if (variable.values.empty())
      return wrong("has no values");
    to.variables.push_back(std::move(variable));
    return;
  }
  const auto* table = node.as_table();
  if (!table)
    return wrong("must be a list of values, { from, to, count } or { nodes }");
  Section range(*table, in.file(), in.full(name), in.faults());
  if (range.has("nodes")) {
    std::vector<std::string> words;
    range.texts("nodes", words);
    range.end();
    for (const auto& word : words) {
      const auto names = names_by(word, nodes);
      if (names.empty())
        range.fault("nodes", "'" + word + "' names no node of this case");
      for (const auto& one : names)
        variable.values.emplace_back(one);
    }
    if (!variable.values.empty())
      to.variables.push_back(std::move(variable));
    return;
  }
  std::int64_t count = 5;
  range.whole("count", count, 2, static_cast<std::int64_t>(most_values));
  const auto *from = range.any("from"), *least = from, *last = range.any("to");
  range.end();
  if (!from || !last)
    return range.missing(from ? "to" : "from");
  const auto spread = [&](double low, double high, const std::function<Value(double)>& make) {
    if (low >= high)
      return range.fault("from", "must be below to");
    for (std::int64_t i = 0; i < count; ++i) {
      Value value = make(low + (high - low) * static_cast<double>(i) / static_cast<double>(count - 1));
      if (variable.values.empty() || variable.values.back() != value)
        variable.values.push_back(std::move(value));
    }
    to.variables.push_back(std::move(variable));
  };
  if (const auto a = least->value_exact<std::int64_t>(), b = last->value_exact<std::int64_t>(); a && b) {
    variable.kind = Variable::Kind::whole;
    return spread(static_cast<double>(*a), static_cast<double>(*b),
                  [](double v) { return Value(std::int64_t(std::llround(v))); });
  }
  const auto a = least->value_exact<std::string>(), b = last->value_exact<std::string>();
  const auto low = a ? parse_span(*a) : std::nullopt, high = b ? parse_span(*b) : std::nullopt;
  if (low && high) {
    variable.kind = Variable::Kind::span;
    return spread(static_cast<double>(low->count()), static_cast<double>(high->count()),
                  [](double v) { return Value(span_text(Micros(std::llround(v)))); });
  }
  if (least->is_number() && last->is_number()) {
    variable.kind = Variable::Kind::number;
    return spread(*least->value<double>(), *last->value<double>(), [](double v) { return Value(v); });
  }
  range.fault("from", "and to must both be numbers, or both times with units");
}

// ---- Putting values in ----

class Filler {
 public:
  Filler(const General& general, const std::vector<Value>& values, std::vector<Fault>& faults)
      : general_(general), values_(values), faults_(faults) {}

  void fill(toml::table& table) {
    const auto* noted = table.get(Section::line_note);
    if (noted)
      line_ = static_cast<std::size_t>(noted->value_or<std::int64_t>(0));
    for (auto&& [key, node] : table) {
      key_ = std::string(key.str());
      visit(node, [&, name = std::string(key.str())](auto value) {
        table.insert_or_assign(name, std::move(value));
      });
    }
  }
  void fill(toml::array& array) {
    for (std::size_t i = 0; i < array.size(); ++i)
      visit(*array.get(i), [&](auto value) {
        array.replace(array.cbegin() + static_cast<std::ptrdiff_t>(i), std::move(value));
      });
  }

 private:
  template <class Put>
  void visit(toml::node& node, Put put) {
    if (auto* table = node.as_table())
      return fill(*table);
    if (auto* array = node.as_array())
      return fill(*array);
    const auto* word = node.as_string();
    if (!word || word->get().find('$') == std::string::npos)
      return;
    const std::string text = word->get();
    if (text.size() > 1 && text[0] == '$' && text[1] != '{') {
      if (const Value* value = find(text.substr(1)))
        std::visit([&](const auto& one) { put(one); }, *value);
      return;
    }
    std::string made;
    for (std::size_t i = 0; i < text.size(); ++i) {
      const auto end = text.compare(i, 2, "${") == 0 ? text.find('}', i) : std::string::npos;
      if (end == std::string::npos) {
        made += text[i];
        continue;
      }
      if (const Value* value = find(text.substr(i + 2, end - i - 2)))
        made += expect::text(*value);
      i = end;
    }
    put(made);
  }
  const Value* find(const std::string& name) {
    for (std::size_t i = 0; i < general_.variables.size(); ++i)
      if (general_.variables[i].name == name)
        return &values_[i];
    faults_.push_back(
        {general_.file, line_ ? line_ : general_.line, key_, "'$" + name + "' is no variable of over"});
    return nullptr;
  }

  const General& general_;
  const std::vector<Value>& values_;
  std::vector<Fault>& faults_;
  std::size_t line_ = 0;
  std::string key_;
};

// ---- Rows ----

using Rows = std::vector<std::vector<std::size_t>>;

class Pairwise {
 public:
  Pairwise(const General& general, std::mt19937_64& random) : random_(random) {
    for (const auto& variable : general.variables)
      sizes_.push_back(variable.values.size());
    for (std::size_t a = 0; a < sizes_.size(); ++a)
      for (std::size_t b = a + 1; b < sizes_.size(); ++b)
        for (std::size_t x = 0; x < sizes_[a]; ++x)
          for (std::size_t y = 0; y < sizes_[b]; ++y)
            left_.insert({a, x, b, y});
  }
  Rows cover() {
    Rows all;
    while (!left_.empty()) {
      // Each row begins with a pair that is still open, so that every row covers one at least.
      const auto [a, x, b, y] = *left_.begin();
      constexpr std::size_t open = static_cast<std::size_t>(-1);
      std::vector<std::size_t> row(sizes_.size(), open);
      row[a] = x;
      row[b] = y;
      for (std::size_t i = 0; i < row.size(); ++i) {
        if (row[i] != open)
          continue;
        std::size_t best = 0, best_count = 0;
        const std::size_t begin = random_() % sizes_[i];
        for (std::size_t k = 0; k < sizes_[i]; ++k) {
          const std::size_t value = (begin + k) % sizes_[i];
          std::size_t count = 0;
          for (std::size_t j = 0; j < row.size(); ++j)
            if (row[j] != open)
              count += left_.count(i < j ? Pair{i, value, j, row[j]} : Pair{j, row[j], i, value});
          if (k == 0 || count > best_count) {
            best = value;
            best_count = count;
          }
        }
        row[i] = best;
      }
      for (std::size_t i = 0; i < row.size(); ++i)
        for (std::size_t j = i + 1; j < row.size(); ++j)
          left_.erase({i, row[i], j, row[j]});
      all.push_back(std::move(row));
    }
    return all;
  }

 private:
  using Pair = std::array<std::size_t, 4>;
  std::mt19937_64& random_;
  std::vector<std::size_t> sizes_;
  std::set<Pair> left_;
};

// Guards memory and time: beyond it a general expectation is refused when it is read.
double product(const General& general) {
  double all = 1;
  for (const auto& variable : general.variables)
    all *= static_cast<double>(variable.values.size());
  return all;
}

}  // namespace

std::string text(const Value& value) {
  if (const auto* whole = std::get_if<std::int64_t>(&value))
    return std::to_string(*whole);
  if (const auto* number = std::get_if<double>(&value))
    return plain(*number);
  return std::get<std::string>(value);
}

void note_lines(toml::table& table) {
  if (const auto line = table.source().begin.line)
    table.insert_or_assign(Section::line_note, static_cast<std::int64_t>(line));
  const auto into = [](toml::node& node, const auto& self) -> void {
    if (auto* inner = node.as_table())
      note_lines(*inner);
    if (auto* array = node.as_array())
      for (auto& item : *array)
        self(item, self);
  };
  for (auto&& [key, node] : table)
    into(node, into);
}

General read_general(Section table, const Setup& setup, const Fleets& fleets) {
  General general;
  general.file = table.file();
  general.line = table.line();
  if (!table.text("name", general.name) && !table.has("name"))
    table.missing("name");
  table.choice("strategy", general.strategy,
               {{"pairwise", Strategy::pairwise}, {"all", Strategy::all}, {"random", Strategy::random}});
  table.whole("seed", general.seed, 0, 1000000000);
  table.whole("extra", general.extra, 0, most_rows);
  table.whole("most", general.most, 1, most_rows);
  general.body = table.toml();
  for (const char* key : {"over", "strategy", "seed", "extra", "most"})
    general.body.erase(key);
  const std::size_t before = table.faults().size();
  const auto nodes = read_nodes(table, setup, fleets);
  if (table.faults().size() != before)
    return general;
  auto over = table.table("over");
  if (!over) {
    if (!table.has("over"))
      table.missing("over");
    return general;
  }
  for (const auto& [key, node] : over->toml())
    if (key.str() != Section::line_note)
      read_variable(std::string(key.str()), node, *over, nodes, general);
  if (general.variables.empty() && table.faults().size() == before)
    table.fault("over", "names no variable");
  if (general.strategy == Strategy::all && product(general) > static_cast<double>(general.most))
    table.fault("strategy", "all makes " + plain(product(general)) + " combinations, and most is " +
                                std::to_string(general.most));
  if (general.strategy == Strategy::random && general.extra == 0)
    table.fault("extra", "says how many random combinations to play; it is missing");
  return general;
}

Rows rows(const General& general) {
  std::mt19937_64 random(static_cast<std::uint64_t>(general.seed));
  Rows all;
  const auto& variables = general.variables;
  if (general.strategy == Strategy::all ||
      (general.strategy == Strategy::pairwise && variables.size() == 1)) {
    std::vector<std::size_t> row(variables.size(), 0);
    for (std::size_t i = 0; i < variables.size();) {
      all.push_back(row);
      for (i = 0; i < variables.size() && ++row[i] == variables[i].values.size(); ++i)
        row[i] = 0;
    }
  } else if (general.strategy == Strategy::pairwise) {
    all = Pairwise(general, random).cover();
  }
  for (std::int64_t i = 0; i < general.extra; ++i) {
    std::vector<std::size_t> row;
    for (const auto& variable : variables)
      row.push_back(random() % variable.values.size());
    all.push_back(std::move(row));
  }
  if (all.size() > static_cast<std::size_t>(general.most))
    all.resize(static_cast<std::size_t>(general.most));
  return all;
}

toml::table concrete(const General& general, const std::vector<Value>& values, std::vector<Fault>& faults) {
  toml::table table = general.body;
  Filler(general, values, faults).fill(table);
  std::string name = general.name + " [";
  for (std::size_t i = 0; i < values.size(); ++i)
    name += (i ? ", " : "") + general.variables[i].name + " = " + text(values[i]);
  table.insert_or_assign("name", name + "]");
  return table;
}

// ---- Shrinking ----

Shrunk shrink(const General& general, std::vector<Value> values,
              const std::function<bool(const toml::table&)>& fails) {
  Shrunk result;
  const auto still = [&](const toml::table& table) {
    return result.tried < most_tries && (++result.tried, fails(table));
  };
  const auto filled = [&](const std::vector<Value>& with) {
    std::vector<Fault> faults;
    return concrete(general, with, faults);
  };
  for (std::size_t i = 0; i < values.size(); ++i) {
    const auto& variable = general.variables[i];
    auto tried = values;
    for (const auto& simpler : variable.values) {
      if (simpler == values[i])
        break;
      tried[i] = simpler;
      if (!still(filled(tried)))
        continue;
      values = tried;
      break;
    }
    // Between the simplest value, which passes, and this one lies the least that fails.
    if (variable.kind == Variable::Kind::list || values[i] == variable.values.front())
      continue;
    const auto number = [](const Value& value) -> double {
      if (const auto* whole = std::get_if<std::int64_t>(&value))
        return static_cast<double>(*whole);
      if (const auto* real = std::get_if<double>(&value))
        return *real;
      const auto span = parse_span(std::get<std::string>(value));
      return span ? static_cast<double>(span->count()) : 0;
    };
    double passes = number(variable.values.front()), bad = number(values[i]);
    for (int k = 0; k < 24 && bad - passes > (variable.kind == Variable::Kind::span ? 1000 : 1); ++k) {
      const double middle = (passes + bad) / 2;
      tried = values;
      if (variable.kind == Variable::Kind::whole)
        tried[i] = static_cast<std::int64_t>(std::llround(middle));
      else if (variable.kind == Variable::Kind::number)
        tried[i] = middle;
      else
        tried[i] =
            span_text(std::chrono::duration_cast<std::chrono::milliseconds>(Micros(std::llround(middle))));
      if (still(filled(tried)))
        values = tried, bad = middle;
      else
        passes = middle;
    }
  }
  result.table = filled(values);
  for (const char* part : {"steps", "nodes", "expect"}) {
    for (std::size_t i = 0;;) {
      const auto* array = result.table.get(part) ? result.table.get(part)->as_array() : nullptr;
      if (!array || i >= array->size() || array->size() == 1)
        break;
      toml::table without = result.table;
      auto* list = without.get(part)->as_array();
      list->erase(list->cbegin() + static_cast<std::ptrdiff_t>(i));
      if (still(without))
        result.table = std::move(without);
      else
        ++i;
    }
  }
  return result;
}

// ---- Writing ----

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
