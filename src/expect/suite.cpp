#include "expect/suite.h"

#include <algorithm>
#include <filesystem>
#include <fstream>
#include <sstream>

#include "config/operator.h"

namespace lemonroute::expect {

Setup load_setup(const std::string& config, const std::string& platform, std::vector<Fault>& faults) {
  Setup setup;
  config::Operator settings;
  if (!config.empty()) {
    settings = config::read_operator(config, faults);
    setup.origin = config;
    setup.platform = settings.installation.platform;
    if (settings.installation.classes.empty() && platform.empty())
      faults.push_back({config, 0, "classes", "is missing, and no platform's file is given"});
  }
  if (platform.empty())
    return setup;
  try {
    std::ifstream file(platform);
    if (!file)
      throw config::ConfigError("cannot be read");
    std::ostringstream text;
    text << file.rdbuf();
    auto fixed = std::move(setup.platform.known);
    setup.platform = config::parse_platform(text.str());
    if (setup.platform.known.nodes.empty())
      setup.platform.known = std::move(fixed);
    setup.origin = platform;
    if (!config.empty())
      config::check_classes(settings, config, setup.platform, faults);
  } catch (const config::ConfigError& error) {
    faults.push_back({platform, 0, "", error.what()});
  }
  return setup;
}

std::unique_ptr<File> read_file(const std::string& path, const Where& where, std::vector<Fault>& faults) {
  auto file = std::make_unique<File>();
  file->path = path;
  auto parsed = config::parse_toml(path, faults);
  if (!parsed)
    return file;
  file->table = std::move(*parsed);
  note_lines(file->table);
  Section root(file->table, path, "", faults);
  std::string config, platform;
  const auto folder = std::filesystem::path(path).parent_path();
  if (root.text("config", config))
    config = (folder / config).string();
  if (root.text("platform", platform))
    platform = (folder / platform).string();
  if (!where.config.empty() || !where.platform.empty()) {
    config = where.config;
    platform = where.platform;
  }
  if (config.empty() && platform.empty())
    faults.push_back(
        {path, 0, "config",
         "is missing: the file names no configuration, and neither --config nor --platform is given"});
  const std::size_t before = faults.size();
  file->setup = load_setup(config, platform, faults);
  if (auto fleets = root.table("fleets"))
    for (const auto& [key, node] : fleets->toml()) {
      if (key.str() == Section::line_note)
        continue;
      const auto* array = node.as_array();
      if (!array || !std::all_of(array->begin(), array->end(), [](auto& item) { return item.is_table(); }))
        fleets->fault(key.str(), "must be a list of nodes");
      else if (key.str() == "config")
        fleets->fault(key.str(), "is the name of the configuration's own nodes");
      else
        file->fleets[std::string(key.str())] = array;
    }
  auto cases = root.list("case"), generals = root.list("general");
  root.end();
  // Guards against a hundred faults that all come of one: without settings no name in a case is known.
  if (faults.size() != before || file->setup.origin.empty())
    return file;
  if (cases.empty() && generals.empty())
    faults.push_back({path, 0, "case", "is missing: the file expects nothing"});
  std::map<std::string, std::size_t> names;
  const auto unique = [&](const std::string& name, std::size_t line) {
    if (const auto [at, fresh] = names.emplace(name, line); !fresh && !name.empty())
      faults.push_back(
          {path, line, "name",
           "'" + name + "' is the name of the case in line " + std::to_string(at->second) + " already"});
  };
  for (auto& table : cases) {
    file->cases.push_back(read_case(table, file->setup, file->fleets));
    unique(file->cases.back().name, file->cases.back().line);
  }
  for (auto& table : generals) {
    const std::size_t so_far = faults.size();
    file->generals.push_back(read_general(table, file->setup, file->fleets));
    auto& general = file->generals.back();
    unique(general.name, general.line);
    if (faults.size() != so_far)
      continue;
    // Every row's case is read now, so that nothing is played of a file that is not in order.
    for (const auto& row : rows(general)) {
      std::vector<Value> values;
      for (std::size_t i = 0; i < row.size(); ++i)
        values.push_back(general.variables[i].values[row[i]]);
      const auto one = concrete(general, values, faults);
      read_case(Section(one, path, "general", faults), file->setup, file->fleets);
      if (faults.size() != so_far)
        break;
    }
  }
  return file;
}

Generalized check_general(const General& general, const File& file, bool explain,
                          std::vector<Fault>& faults) {
  Generalized result;
  const auto begin = std::chrono::steady_clock::now();
  const auto made = [&](const toml::table& table, std::vector<Fault>& wrong) {
    return read_case(Section(table, general.file, "general", wrong), file.setup, file.fleets);
  };
  std::vector<Value> bad;
  for (const auto& row : rows(general)) {
    std::vector<Value> values;
    for (std::size_t i = 0; i < row.size(); ++i)
      values.push_back(general.variables[i].values[row[i]]);
    const Case one = made(concrete(general, values, faults), faults);
    if (!faults.empty())
      return result;
    auto verdict = judge(one, file.setup, false);
    ++result.combinations;
    result.verdict.runs += verdict.runs;
    if (verdict.held())
      continue;
    if (result.failed++ == 0) {
      result.verdict = std::move(verdict);
      bad = std::move(values);
    }
  }
  if (result.failed > 0) {
    General whole = general;  // with its fleet written out, so that nodes can be left out too
    if (const auto* fleet = whole.body.get("fleet"))
      if (const auto named = file.fleets.find(fleet->value_or<std::string>("")); named != file.fleets.end()) {
        toml::array nodes = *named->second;
        if (const auto* own = whole.body.get("nodes"); own && own->as_array())
          for (const auto& node : *own->as_array())
            nodes.push_back(node);
        whole.body.erase("fleet");
        whole.body.insert_or_assign("nodes", std::move(nodes));
      }
    const Failure wanted = result.verdict.failures.front();
    const auto fails = [&](const toml::table& table) {
      std::vector<Fault> wrong;
      const Case one = made(table, wrong);
      if (!wrong.empty())
        return false;
      const auto verdict = judge(one, file.setup, false);
      return std::any_of(verdict.failures.begin(), verdict.failures.end(),
                         [&](auto& f) { return f.same(wanted); });
    };
    const auto small = shrink(whole, bad, fails);
    std::vector<Fault> wrong;
    const auto runs = result.verdict.runs;
    result.verdict = judge(made(small.table, wrong), file.setup, explain);
    result.verdict.runs = runs;
    result.shrunk = paste(small.table);
    result.shrunk_in = small.tried;
  }
  result.verdict.name = general.name;
  result.verdict.file = general.file;
  result.verdict.line = general.line;
  result.verdict.took = std::chrono::duration_cast<Micros>(std::chrono::steady_clock::now() - begin);
  return result;
}

bool Report::held() const {
  return std::all_of(cases.begin(), cases.end(), [](auto& one) { return one.held(); }) &&
         std::all_of(generals.begin(), generals.end(), [](auto& one) { return one.verdict.held(); });
}

}  // namespace lemonroute::expect
