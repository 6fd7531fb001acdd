// Puts the values of one combination into a general expectation.
#include <string>
#include <utility>
#include <variant>

#include "expect/general.h"

namespace lemonroute::expect {
namespace {

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

}  // namespace

toml::table concrete(const General& general, const std::vector<Value>& values, std::vector<Fault>& faults) {
  toml::table table = general.body;
  Filler(general, values, faults).fill(table);
  std::string name = general.name + " [";
  for (std::size_t i = 0; i < values.size(); ++i)
    name += (i ? ", " : "") + general.variables[i].name + " = " + text(values[i]);
  table.insert_or_assign("name", name + "]");
  return table;
}

}  // namespace lemonroute::expect
