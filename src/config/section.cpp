#include "config/section.h"

#include <toml++/toml.h>

#include <cmath>
#include <sstream>

namespace lemonroute::config {

std::string Fault::text() const {
  std::ostringstream line_text;
  line_text << file;
  if (line > 0)
    line_text << ':' << line;
  line_text << ": ";
  if (!key.empty())
    line_text << key << ": ";
  line_text << what;
  return line_text.str();
}

std::optional<toml::table> parse_toml(const std::string& path, std::vector<Fault>& faults) {
  try {
    return toml::parse_file(path);
  } catch (const toml::parse_error& error) {
    faults.push_back({path, error.source().begin.line, "", std::string(error.description())});
    return std::nullopt;
  }
}

bool Section::has(std::string_view key) const {
  return table_->contains(key);
}

const toml::node* Section::ask(std::string_view key) {
  asked_.insert(std::string(key));
  return table_->get(key);
}
const toml::node* Section::any(std::string_view key) {
  return ask(key);
}

// A copied table has lost where it stood; whoever copies one may have noted its line in it.
std::size_t Section::line() const {
  if (const auto line = table_->source().begin.line)
    return line;
  const auto* noted = table_->get(line_note);
  return noted ? static_cast<std::size_t>(noted->value_or<std::int64_t>(0)) : 0;
}
std::size_t Section::line(std::string_view key) const {
  const auto* node = table_->get(key);
  const auto line = node ? node->source().begin.line : 0;
  return line ? line : this->line();
}

void Section::fault(std::string_view key, std::string what) {
  fault_at(line(key), full(key), std::move(what));
}
void Section::fault_here(std::string what) {
  fault_at(line(), path_, std::move(what));
}

bool Section::text(std::string_view key, std::string& field) {
  const auto* node = ask(key);
  if (!node)
    return false;
  const auto value = node->value_exact<std::string>();
  if (value && !value->empty()) {
    field = *value;
    return true;
  }
  fault(key, "must be a text that is not empty");
  return false;
}

bool Section::span(std::string_view key, Micros& field, Micros least, Micros most) {
  const auto* node = ask(key);
  if (!node)
    return false;
  const auto text = node->value_exact<std::string>();
  const auto value = text ? parse_span(*text) : std::nullopt;
  if (!value) {
    fault(key, "must be a time with its unit, like \"250ms\" or \"1.5s\"");
    return false;
  }
  if (*value < least || *value > most) {
    fault(key, "'" + *text + "' is not from " + span_text(least) + " to " + span_text(most));
    return false;
  }
  field = *value;
  return true;
}

bool Section::number(std::string_view key, double& field, double least, double most) {
  const auto* node = ask(key);
  if (!node)
    return false;
  const auto value = node->is_number() ? node->value<double>() : std::nullopt;
  if (value && std::isfinite(*value) && *value >= least && *value <= most) {
    field = *value;
    return true;
  }
  std::ostringstream what;
  what << "must be a number from " << least << " to " << most;
  fault(key, what.str());
  return false;
}

bool Section::whole(std::string_view key, std::int64_t& field, std::int64_t least, std::int64_t most) {
  const auto* node = ask(key);
  if (!node)
    return false;
  const auto value = node->value_exact<std::int64_t>();
  if (value && *value >= least && *value <= most) {
    field = *value;
    return true;
  }
  fault(key, "must be a whole number from " + std::to_string(least) + " to " + std::to_string(most));
  return false;
}

bool Section::flag(std::string_view key, bool& field) {
  const auto* node = ask(key);
  if (!node)
    return false;
  const auto value = node->value_exact<bool>();
  if (value)
    field = *value;
  else
    fault(key, "must be true or false");
  return value.has_value();
}

bool Section::texts(std::string_view key, std::vector<std::string>& field) {
  const auto* node = ask(key);
  if (!node)
    return false;
  std::vector<std::string> all;
  bool good = true;
  const auto one = [&](const toml::node& item) {
    const auto value = item.value_exact<std::string>();
    good = good && value && !value->empty();
    if (good)
      all.push_back(*value);
  };
  if (const auto* list = node->as_array())
    for (const auto& item : *list)
      one(item);
  else
    one(*node);
  if (!good || all.empty()) {
    fault(key, "must be a text, or a list of texts that is not empty");
    return false;
  }
  field = std::move(all);
  return true;
}

std::optional<Section> Section::table(std::string_view key) {
  const auto* node = ask(key);
  if (!node)
    return std::nullopt;
  if (const auto* table = node->as_table())
    return Section(*table, file_, full(key), *faults_);
  fault(key, "must be a section, [" + full(key) + "]");
  return std::nullopt;
}

std::vector<std::pair<std::string, Section>> Section::tables(std::string_view key) {
  std::vector<std::pair<std::string, Section>> all;
  const auto section = table(key);
  if (!section)
    return all;
  for (const auto& [name, node] : *section->table_) {
    const std::string word(name.str());
    if (const auto* one = node.as_table())
      all.emplace_back(word, Section(*one, file_, full(key) + "." + word, *faults_));
    else
      fault_at(node.source().begin.line, full(key) + "." + word,
               "must be a section, [" + full(key) + ".NAME]");
  }
  return all;
}

std::vector<Section> Section::list(std::string_view key) {
  std::vector<Section> all;
  const auto* node = ask(key);
  if (!node)
    return all;
  const auto* array = node->as_array();
  const auto wrong = [&](std::size_t line) { fault_at(line, full(key), "must be a list of tables"); };
  if (!array)
    wrong(line(key));
  else
    for (const auto& item : *array) {
      if (const auto* one = item.as_table())
        all.emplace_back(*one, file_, full(key) + "[" + std::to_string(all.size()) + "]", *faults_);
      else
        wrong(item.source().begin.line);
    }
  return all;
}

void Section::end() {
  for (const auto& [key, node] : *table_)
    if (!asked_.count(key.str()) && key.str() != line_note)
      fault(key.str(), "is not a known key");
}

}  // namespace lemonroute::config
