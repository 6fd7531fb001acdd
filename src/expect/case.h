// One expectation case, read: a fleet of scripted nodes, what happens in which order, and what is expected of
// it. Times count from the case's zero; what came before has negative ones.
#pragma once

#include <map>
#include <optional>
#include <string>
#include <utility>
#include <variant>
#include <vector>

#include "config/installation.h"
#include "config/section.h"
#include "lemonroute/scheduler.h"

namespace lemonroute::expect {

using config::Fault;
using config::Section;

struct Bounds {
  Micros least{}, most{};
  bool holds(Micros value) const { return least <= value && value <= most; }
};

struct ScriptedNode {
  std::string name, zone = "a", kind;
  std::uint16_t cell = 0;
  EndpointState phase = EndpointState::ready;
  float weight = 1;
  std::optional<Micros> started;  // none: long ago
  Role role = Role::mixed;
  Micros rate = std::chrono::microseconds(40);   // a prompt token, as a reader
  Micros first = std::chrono::milliseconds(50);  // to the first event, as a writer
  Micros token = std::chrono::milliseconds(20);  // an output token
  std::int64_t slots = 0;                        // streams at once; 0: any number
  double capacity = 0;  // prompt tokens a second once warm, for the budget of a cold node
  std::size_t line = 0;
};

// What a node does instead of serving.
enum class Trouble { refuses, silent, errors, resets, loses_read, declines, forgets, breaks, slow };

// A request, in the past or now.
struct Ask {
  std::string name, cls, tenant, session, opening;
  double tokens = 1000, shared = 0, output = 20;
  Micros budget{};  // 0: what its class allows
  bool repeat = false, resumed = false;
  // of the past only: where it went, by the listing of that moment, how long the read took and what answers
  // said
  std::string reader, writer, reader_load, writer_load;
  std::optional<Micros> took;
};

namespace step {
struct Past {
  Ask ask;
};
struct Now {
  Ask ask;
};
struct List {
  std::string node;
  EndpointState phase = EndpointState::ready;
  std::optional<Micros> started;
};
struct Ban {
  std::string node;
  bool out = true;
};
struct Script {
  std::vector<std::string> nodes;
  Trouble how = Trouble::silent;
  Micros span{};  // 0: to the end
  double factor = 1;
};
struct Restart {
  std::string node;
};  // the process: its memory and what it did are gone, and nobody is told
struct Sighup {
  std::string file;
};
struct Leave {
  std::string request;
};
}  // namespace step

struct Step {
  Micros at{};
  std::size_t line = 0;
  std::variant<step::Past, step::Now, step::List, step::Ban, step::Script, step::Restart, step::Sighup,
               step::Leave>
      what;
};

enum class Answer { served, refused, failed, cut, none };
const char* word(Answer answer);

struct Share {
  std::vector<std::string> nodes;
  Role of = Role::prefill;
  double least = 0, most = 1;
};

// Each field that is there must hold.
struct Expectation {
  std::size_t line = 0;
  std::string request;
  std::optional<std::vector<std::string>> reader, writer;  // the last of each stage is one of these
  std::vector<std::string> never;                          // no attempt at these
  bool reader_holds = false;                               // the reader is one that holds most of the prompt
  enum class Near { any, zone, cell } near = Near::any;    // writer to reader
  std::optional<std::pair<std::int64_t, std::int64_t>> attempts;
  std::optional<std::vector<std::string>> order;  // nodes of all attempts; "*" any one, "..." any number
  std::optional<Answer> answer;
  std::optional<Bounds> retry_after, answered, first;
  std::optional<Micros> released;  // nothing is held for it any more so long after its answer
  std::optional<Share> share;
};

struct Case {
  std::string name, file;
  std::size_t line = 0;
  std::vector<ScriptedNode> nodes;
  std::vector<Step> steps;  // in the order of their times
  std::vector<Expectation> expectations;
  std::int64_t seeds = 1;
  std::map<std::string, config::Platform> reloads;  // by the file that a SIGHUP step names
  bool watched = true;                              // the monitor's breaches fail the case
};

// The settings that a case is played with.
struct Setup {
  config::Platform platform;
  std::string origin;  // the file they came from
};

// Lists of nodes that cases of a file share, by their names in the file.
using Fleets = std::map<std::string, const toml::array*>;

// Reads a case and checks all that can be checked without playing it: names, classes, nodes, spans, and
// whether each expectation can be reached at all. Where it adds faults, the case must not be played.
Case read_case(Section table, const Setup& setup, const Fleets& fleets);

// Only the nodes of such a table.
std::vector<ScriptedNode> read_nodes(Section table, const Setup& setup, const Fleets& fleets);
// The nodes that a word names: a name, "zone:a", "cell:3", "kind:reader" or "all".
std::vector<std::string> names_by(const std::string& word, const std::vector<ScriptedNode>& nodes);

}  // namespace lemonroute::expect
