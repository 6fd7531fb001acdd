// Strict reading of TOML tables: each key is asked for once, with its type and range; what was not asked for
// is a fault, and so is whatever does not fit. All faults of a file are gathered, each with its line.
#pragma once

#include <toml++/impl/forward_declarations.h>

#include <optional>
#include <set>
#include <string>
#include <vector>

#include "base/span_text.h"
#include "core/types.h"

namespace lemonroute::config {

// A fault in a configuration file, for a person to find: FILE:LINE: KEY: what is wrong.
struct Fault {
  std::string file;
  std::size_t line = 0;  // 0 = of the file as a whole
  std::string key, what;
  std::string text() const;
};

class Section {
 public:
  static constexpr std::string_view line_note = "@line";

  // `path`: the keys that lead to the table, "" for the whole file.
  Section(const toml::table& table, std::string file, std::string path, std::vector<Fault>& faults)
      : table_(&table), file_(std::move(file)), path_(std::move(path)), faults_(&faults) {}

  bool has(std::string_view key) const;
  std::size_t line() const;
  std::size_t line(std::string_view key) const;
  std::string full(std::string_view key) const {
    return path_.empty() ? std::string(key) : path_ + "." + std::string(key);
  }

  // Each leaves the field alone, and returns false, where the key is absent or its value is a fault.
  bool text(std::string_view key, std::string& field);
  bool span(std::string_view key, Micros& field, Micros least, Micros most);
  bool number(std::string_view key, double& field, double least, double most);
  bool whole(std::string_view key, std::int64_t& field, std::int64_t least, std::int64_t most);
  bool flag(std::string_view key, bool& field);
  bool texts(std::string_view key, std::vector<std::string>& field);  // a text, or a list of texts
  template <class T>
  bool choice(std::string_view key, T& field, std::initializer_list<std::pair<const char*, T>> words) {
    std::string word;
    if (!text(key, word))
      return false;
    std::string all;
    for (const auto& [name, value] : words) {
      if (word == name) {
        field = value;
        return true;
      }
      all += (all.empty() ? "" : name == (words.end() - 1)->first ? " or " : ", ") + std::string(name);
    }
    fault(key, "'" + word + "' is not " + all);
    return false;
  }
  std::optional<Section> table(std::string_view key);                         // a table of its own
  std::vector<std::pair<std::string, Section>> tables(std::string_view key);  // of tables by name, [key.NAME]
  std::vector<Section> list(std::string_view key);                            // an array of tables
  const toml::node* any(std::string_view key);                                // whatever is there, or null

  void fault(std::string_view key, std::string what);
  void fault_here(std::string what);
  void missing(std::string_view key) { fault_at(line(), full(key), "is missing"); }
  void fault_at(std::size_t line, std::string key, std::string what) {
    faults_->push_back({file_, line, std::move(key), std::move(what)});
  }
  void end();  // names each key that was not asked for
  const std::string& file() const { return file_; }
  const toml::table& toml() const { return *table_; }
  std::vector<Fault>& faults() const { return *faults_; }

 private:
  const toml::node* ask(std::string_view key);
  const toml::table* table_;
  std::string file_, path_;
  std::vector<Fault>* faults_;
  std::set<std::string, std::less<>> asked_;
};

// Parses a file. Nothing, and a fault, where it is no TOML or can't be read.
std::optional<toml::table> parse_toml(const std::string& path, std::vector<Fault>& faults);

}  // namespace lemonroute::config
