// Whole expectation files: reading them, checking all that they say, and what is told of it.
#pragma once

#include <iosfwd>
#include <memory>
#include <string>
#include <vector>

#include "expect/general.h"

namespace lemonroute::expect {

struct Where {
  std::string config, platform;  // files given on the command line; they win over what a file names itself
};

// One file. Its cases are read and checked; the tables live as long as it does.
struct File {
  std::string path;
  toml::table table;
  Setup setup;
  Fleets fleets;
  std::vector<Case> cases;
  std::vector<General> generals;
};

// The settings of an operator's or a platform's file. Adds faults where they can't be used.
Setup load_setup(const std::string& config, const std::string& platform, std::vector<Fault>& faults);
std::unique_ptr<File> read_file(const std::string& path, const Where& where, std::vector<Fault>& faults);

// A general expectation, played.
struct Generalized {
  Verdict verdict;  // of the shrunk case if one failed
  std::size_t combinations = 0, failed = 0, shrunk_in = 0;
  std::string shrunk;  // to be pasted
};
Generalized check_general(const General& general, const File& file, bool explain, std::vector<Fault>& faults);

// Cases that agree in what is given and can't agree in what is expected; also within one case.
void find_conflicts(const std::vector<std::unique_ptr<File>>& files, std::vector<Fault>& faults);

struct Report {
  std::vector<Verdict> cases;
  std::vector<Generalized> generals;
  bool held() const;
};
enum class Format { text, json, junit };
void write(std::ostream& out, const Report& report, Format format, bool explain);
// The module's own account of the choices of one request, as tables.
void explain(std::ostream& out, const Story& story, const std::string& indent);

// What two configurations decide differently on the same cases.
struct Difference {
  std::string name, file, request, before, after;  // what became of the request, in one line each
  bool held_before = true, held_after = true;
};
std::vector<Difference> compare(const std::vector<std::unique_ptr<File>>& files, const Setup& before,
                                const Setup& after);

// One setting or class term changed in one way, and whether any expectation or rule noticed.
struct Change {
  std::string key, from, to;
  bool noticed = false;    // a case that held fails
  bool matters = false;    // or at least some decision, time or answer of a case is another one
  std::string noticed_by;  // the first case
};
struct Audit {
  std::vector<Change> changes;
  std::size_t keys = 0, guarded = 0,
              silent = 0;  // keys; those noticed; those that no case's course depends on
};
Audit audit(const std::vector<std::unique_ptr<File>>& files);

std::string template_text();  // of a commented file, for `expect init`

}  // namespace lemonroute::expect
