// lemonroute expect: what should be decided, written beside the configuration and checked without traffic.
#include <filesystem>
#include <iomanip>
#include <nlohmann/json.hpp>
#include <ostream>

#include "base/log.h"
#include "cli/arguments.h"
#include "cli/commands.h"
#include "expect/suite.h"

namespace lemonroute::cli {
namespace {

using config::Fault;
using nlohmann::json;

// The core's own lines would bury the report.
struct Quiet {
  Quiet() { logging::set_level(logging::Level::error); }
  ~Quiet() { logging::set_level(logging::Level::info); }
};

int refuse(std::vector<Fault> faults, std::ostream& err) {
  std::stable_sort(faults.begin(), faults.end(),
                   [](auto& a, auto& b) { return std::tie(a.file, a.line) < std::tie(b.file, b.line); });
  std::string last;
  for (const auto& fault : faults) {
    const std::string text = fault.text();
    if (text != last)
      err << text << '\n';  // two files may share a configuration that is not in order
    last = text;
  }
  return misused;
}

void add_files(Usage& usage) {
  usage.options.add_options()("file", po::value<std::vector<std::string>>()->required(), "expectation files");
  usage.places = {"file"};
  usage.many = true;
}
void add_format(Usage& usage, const char* words) {
  usage.options.add_options()("format", po::value<std::string>()->default_value("text"), words);
}

// A file is read whole; nothing is played of any while one has a fault.
std::vector<std::unique_ptr<expect::File>> read(const po::variables_map& values, const expect::Where& where,
                                                std::vector<Fault>& faults) {
  std::vector<std::unique_ptr<expect::File>> files;
  for (const auto& path : values["file"].as<std::vector<std::string>>())
    files.push_back(expect::read_file(path, where, faults));
  if (faults.empty())
    expect::find_conflicts(files, faults);
  return files;
}

std::string one_of(const po::variables_map& values, std::initializer_list<const char*> words) {
  auto format = values["format"].as<std::string>();
  std::string all;
  for (const char* word : words) {
    if (format == word)
      return format;
    all += (all.empty() ? "" : ", ") + std::string(word);
  }
  throw Misuse("--format: '" + format + "' is none of " + all);
}

// An operator's file or a platform's, told apart by what it is.
expect::Setup setup_of(const std::string& path, std::vector<Fault>& faults) {
  const bool platform = std::filesystem::path(path).extension() == ".json";
  return expect::load_setup(platform ? "" : path, platform ? path : "", faults);
}

}  // namespace

int expect_init_command(const Arguments& arguments, std::ostream& out, std::ostream& err) {
  Usage usage{"expect init [--output FILE] [--force]", "Writes a commented expectation file."};
  usage.options.add_options()("output,o", po::value<std::string>(),
                              "the file to write; otherwise standard output")("force,f", po::bool_switch(),
                                                                              "overwrite the file");
  const auto values = parse(arguments, usage);
  const std::string path = known(values, "output");
  if (path.empty()) {
    out << expect::template_text();
    return fine;
  }
  if (std::filesystem::exists(path) && !values["force"].as<bool>()) {
    err << path << ": is there already; --force overwrites it\n";
    return misused;
  }
  return write_new(path, expect::template_text(), out, err) == fine ? fine : misused;
}

int expect_check_command(const Arguments& arguments, std::ostream& out, std::ostream& err) {
  Usage usage{
      "expect check FILE... [--config OPERATOR.toml] [--platform CONFIG.json] [--only NAME] [--format "
      "text|json|junit]",
      "Plays the expectations of the files on the real core and module, on a clock of their own and without "
      "sockets.\n"
      "Exit code 0: all hold; 1: one fails; 2: a file or the call is not in order, and nothing was played."};
  add_files(usage);
  usage.options.add_options()("config,c", po::value<std::string>(),
                              "an operator's file; wins over the one that a file names")(
      "platform,p", po::value<std::string>(), "a platform's file; wins over the operator's")(
      "only", po::value<std::string>(), "the one expectation of this name")(
      "explain", po::bool_switch(), "the module's account of every choice, not only of cases that fail");
  add_format(usage, "text, json or junit");
  const auto values = parse(arguments, usage);
  const std::string format = one_of(values, {"text", "json", "junit"}), only = known(values, "only");
  const Quiet quiet;
  std::vector<Fault> faults;
  const auto files = read(values, {known(values, "config"), known(values, "platform")}, faults);
  if (!faults.empty())
    return refuse(std::move(faults), err);
  const bool explain_all = values["explain"].as<bool>();
  expect::Report report;
  bool any = false;
  for (const auto& file : files) {
    for (const auto& one : file->cases) {
      if (!only.empty() && one.name != only)
        continue;
      any = true;
      auto verdict = expect::judge(one, file->setup, explain_all);
      if (!verdict.held() && !explain_all) {
        const auto took = verdict.took;
        verdict = expect::judge(one, file->setup, true);  // again, for the account
        verdict.took = took;
      }
      report.cases.push_back(std::move(verdict));
    }
    for (const auto& general : file->generals) {
      if (!only.empty() && general.name != only)
        continue;
      any = true;
      report.generals.push_back(expect::check_general(general, *file, true, faults));
      if (!faults.empty())
        return refuse(std::move(faults), err);
    }
  }
  if (!any)
    throw Misuse("--only: no expectation is named '" + only + "'");
  expect::write(out, report,
                format == "json"    ? expect::Format::json
                : format == "junit" ? expect::Format::junit
                                    : expect::Format::text,
                explain_all);
  return report.held() ? fine : faulty;
}

int expect_compare_command(const Arguments& arguments, std::ostream& out, std::ostream& err) {
  Usage usage{"expect compare --before A --after B FILE... [--format text|json]",
              "Plays the cases of the files with two configurations (an operator's .toml or a platform's "
              ".json) and lists\n"
              "what is decided differently. Exit code 0, whether anything differs or not; 2 if a file is not "
              "in order."};
  add_files(usage);
  usage.options.add_options()("before", po::value<std::string>()->required(), "the one configuration")(
      "after", po::value<std::string>()->required(), "the other one");
  add_format(usage, "text or json");
  const auto values = parse(arguments, usage);
  const std::string format = one_of(values, {"text", "json"});
  const Quiet quiet;
  std::vector<Fault> faults;
  const auto before = setup_of(known(values, "before"), faults),
             after = setup_of(known(values, "after"), faults);
  if (!faults.empty())
    return refuse(std::move(faults), err);
  // The files must be in order with either of them.
  const auto where = [&](const char* key) {
    const std::string path = known(values, key);
    const bool platform = std::filesystem::path(path).extension() == ".json";
    return expect::Where{platform ? "" : path, platform ? path : ""};
  };
  read(values, where("after"), faults);
  const auto files = read(values, where("before"), faults);
  if (!faults.empty())
    return refuse(std::move(faults), err);
  const auto all = expect::compare(files, before, after);
  if (format == "json") {
    json list = json::array();
    for (const auto& one : all)
      list.push_back({{"case", one.name},
                      {"at", one.file},
                      {"request", one.request},
                      {"before", one.before},
                      {"after", one.after},
                      {"held_before", one.held_before},
                      {"held_after", one.held_after}});
    out << json{{"before", before.origin}, {"after", after.origin}, {"changed", std::move(list)}}.dump(2)
        << '\n';
    return fine;
  }
  const auto held = [](bool yes) { return yes ? "holds" : "FAILS"; };
  for (const auto& one : all)
    out << one.file << ": " << one.name << ", request " << one.request << "\n  before  "
        << held(one.held_before) << "  " << one.before << "\n  after   " << held(one.held_after) << "  "
        << one.after << '\n';
  out << all.size() << " requests are decided differently with " << after.origin << " than with "
      << before.origin << '\n';
  return fine;
}

int expect_audit_command(const Arguments& arguments, std::ostream& out, std::ostream& err) {
  Usage usage{
      "expect audit FILE... [--config OPERATOR.toml] [--platform CONFIG.json] [--format text|json]",
      "Changes each setting and class term in turn (halved, doubled, dropped, another word) and tells which "
      "changes\n"
      "no expectation notices. Exit code 0; 1 if a case fails to begin with; 2 if a file is not in order."};
  add_files(usage);
  usage.options.add_options()("config,c", po::value<std::string>(),
                              "an operator's file; wins over the one that a file names")(
      "platform,p", po::value<std::string>(), "a platform's file; wins over the operator's");
  add_format(usage, "text or json");
  const auto values = parse(arguments, usage);
  const std::string format = one_of(values, {"text", "json"});
  const Quiet quiet;
  std::vector<Fault> faults;
  const auto files = read(values, {known(values, "config"), known(values, "platform")}, faults);
  if (!faults.empty())
    return refuse(std::move(faults), err);
  for (const auto& file : files)
    for (const auto& one : file->cases)
      if (!expect::judge(one, file->setup, false).held()) {
        err << one.file << ':' << one.line << ": " << one.name << ": fails as it is; see expect check\n";
        return faulty;
      }
  const auto audit = expect::audit(files);
  const std::size_t matter = audit.keys - audit.silent;
  if (format == "json") {
    json list = json::array();
    for (const auto& one : audit.changes)
      list.push_back({{"key", one.key},
                      {"from", one.from},
                      {"to", one.to},
                      {"noticed", one.noticed},
                      {"matters", one.matters},
                      {"noticed_by", one.noticed_by}});
    out << json{{"terms", audit.keys},
                {"guarded", audit.guarded},
                {"without_effect", audit.silent},
                {"changes", std::move(list)}}
               .dump(2)
        << '\n';
    return fine;
  }
  for (const auto& one : audit.changes)
    out << std::left << std::setw(9)
        << (one.noticed   ? "noticed"
            : one.matters ? "MISSED"
                          : "no effect")
        << ' ' << std::setw(38) << one.key << ' ' << std::setw(20) << (one.from + " -> " + one.to)
        << (one.noticed ? " " + one.noticed_by : "") << '\n';
  const auto missed = std::count_if(audit.changes.begin(), audit.changes.end(),
                                    [](auto& one) { return one.matters && !one.noticed; });
  const auto noticed =
      std::count_if(audit.changes.begin(), audit.changes.end(), [](auto& one) { return one.noticed; });
  out << audit.keys << " settings and class terms, " << audit.changes.size() << " changes: " << noticed
      << " noticed, " << missed << " missed, "
      << audit.changes.size() - static_cast<std::size_t>(noticed + missed) << " without effect on any case\n"
      << "guarded: " << audit.guarded << " of " << audit.keys << " terms ("
      << (audit.keys ? 100 * audit.guarded / audit.keys : 0) << " %); of the " << matter
      << " that change something in a case, " << audit.guarded << '\n';
  return fine;
}

}  // namespace lemonroute::cli
