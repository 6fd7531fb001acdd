#include "expect/read/steps.h"

#include <algorithm>
#include <filesystem>
#include <optional>
#include <utility>
#include <variant>
#include <vector>

#include "config/operator.h"
#include "expect/read/limits.h"
#include "expect/read/names.h"
#include "expect/read/requests.h"

namespace lemonroute::expect {
namespace {

class StepReader {
 public:
  StepReader(Section& in, const Setup& setup, Case& to) : in_(in), case_(to), requests_(setup, to) {}

  std::set<std::string> read() {
    auto list = in_.list("steps");
    if (!in_.has("steps"))
      in_.missing("steps");
    else if (list.size() > most_steps)
      in_.fault("steps", "are more than 20000");
    else
      read_all(list);
    return requests_.asked();
  }

 private:
  template <class List>
  void read_all(List& list) {
    Micros at{};
    for (auto& in : list) {
      in.span("at", at, -farthest, farthest);
      Step step;
      step.at = at;
      step.line = in.line();
      const std::size_t before = in_.faults().size();
      const bool read = read_one(in, step);
      in.end();
      if (read && in_.faults().size() == before)
        case_.steps.push_back(std::move(step));
    }
    auto& steps = case_.steps;
    std::stable_sort(steps.begin(), steps.end(), [](const Step& a, const Step& b) { return a.at < b.at; });
    const bool asks = std::any_of(steps.begin(), steps.end(), [](const Step& step) {
      return std::holds_alternative<step::Now>(step.what);
    });
    if (!asks && in_.faults().empty())
      in_.fault("steps", "ask for nothing: one step must be { ask = { ... } }");
  }

  // The one thing that a step does; empty, with a fault, if it is none or several.
  static std::string verb_of(Section& in) {
    static constexpr const char* verbs[] = {"past",  "ask",    "list",    "report", "ban",
                                            "unban", "script", "restart", "sighup", "leave"};
    std::string verb;
    for (const char* word : verbs) {
      if (!in.has(word))
        continue;
      if (!verb.empty()) {
        in.fault(word, "a step does one thing, and this one has " + verb + " already");
        return {};
      }
      verb = word;
    }
    if (verb.empty())
      in.fault_here(
          "a step needs one of past, ask, list, report, ban, unban, script, restart, sighup, leave");
    return verb;
  }

  // False where there is nothing to be played.
  bool read_one(Section& in, Step& step) {
    const std::string verb = verb_of(in);
    if (verb.empty())
      return false;
    if (verb == "ask")
      return put<step::Now>(requests_.read_now(in), step);
    if (verb == "past")
      return put<step::Past>(requests_.read_past(in), step);
    if (verb == "report")
      return put<step::Past>(requests_.read_report(in), step);
    if (verb == "list")
      return read_list(in, step);
    if (verb == "script")
      return read_script(in, step);
    std::string word;
    if (!in.text(verb, word))
      return false;
    if (verb == "leave")
      return read_leave(in, word, step);
    if (verb == "sighup")
      return read_sighup(in, word, step);
    if (verb == "restart")
      step.what = step::Restart{word};
    else
      step.what = step::Ban{word, verb == "ban"};
    return check_node(in, verb, word, case_.nodes);
  }

  template <class What>
  static bool put(std::optional<Ask> ask, Step& step) {
    if (!ask)
      return false;
    step.what = What{std::move(*ask)};
    return true;
  }

  bool read_leave(Section& in, const std::string& request, Step& step) {
    if (!requests_.asked().count(request))
      in.fault("leave", "no step before asks for '" + request + "'");
    step.what = step::Leave{request};
    return true;
  }

  bool read_list(Section& outer, Step& step) {
    auto in = outer.table("list");
    if (!in)
      return false;
    step::List change;
    if (in->text("node", change.node))
      check_node(*in, "node", change.node, case_.nodes);
    else if (!in->has("node"))
      in->missing("node");
    const bool phase = in->choice("phase", change.phase,
                                  {{"active", EndpointState::ready},
                                   {"leaving", EndpointState::draining},
                                   {"gone", EndpointState::removed}});
    Micros started{};
    if (in->span("started", started, -farthest, step.at))
      change.started = started;
    else if (!phase && !in->has("phase"))
      in->missing("phase");
    in->end();
    step.what = std::move(change);
    return true;
  }

  bool read_script(Section& outer, Step& step) {
    auto in = outer.table("script");
    if (!in)
      return false;
    step::Script what;
    if (!read_node_set(*in, "nodes", case_.nodes, what.nodes) && !in->has("nodes"))
      in->missing("nodes");
    if (!in->choice("how", what.how,
                    {{"refuses", Trouble::refuses},
                     {"silent", Trouble::silent},
                     {"errors", Trouble::errors},
                     {"resets", Trouble::resets},
                     {"loses_read", Trouble::loses_read},
                     {"declines", Trouble::declines},
                     {"forgets", Trouble::forgets},
                     {"breaks", Trouble::breaks},
                     {"slow", Trouble::slow}}) &&
        !in->has("how"))
      in->missing("how");
    in->span("for", what.span, std::chrono::milliseconds(1), farthest);
    if (in->number("factor", what.factor, 0.01, 10000) && what.how != Trouble::slow)
      in->fault("factor", "goes with how = \"slow\"");
    if (what.how == Trouble::slow && !in->has("factor"))
      in->missing("factor");
    in->end();
    step.what = std::move(what);
    return true;
  }

  // The file that a reload takes is read here, relative to the expectation file.
  bool read_sighup(Section& in, const std::string& file, Step& step) {
    const auto path = (std::filesystem::path(in_.file()).parent_path() / file).string();
    if (!case_.reloads.count(file)) {
      std::vector<Fault> faults;
      const auto settings = config::read_operator(path, faults);
      for (auto& fault : faults)
        in_.faults().push_back(std::move(fault));
      if (settings.installation.classes.empty())
        in.fault("sighup", "'" + path + "' states no classes");
      case_.reloads[file] = settings.installation.platform;
    }
    step.what = step::Sighup{file};
    return true;
  }

  Section& in_;
  Case& case_;
  RequestReader requests_;
};

}  // namespace

std::set<std::string> read_steps(Section& table, const Setup& setup, Case& to) {
  return StepReader(table, setup, to).read();
}

}  // namespace lemonroute::expect
