#include "expect/case.h"

#include <algorithm>
#include <filesystem>
#include <set>

#include "config/operator.h"
#include "core/load_report.h"

namespace lemonroute::expect {
namespace {

using std::chrono::hours;
using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr Micros farthest = hours(24);
constexpr std::size_t most_nodes = 4096, most_steps = 20000;
constexpr std::int64_t most_seeds = 100000;

class Reader {
 public:
  Reader(Section& table, const Setup& setup, const std::map<std::string, const toml::array*>& fleets)
      : in_(table), setup_(setup), settings_(setup.platform.settings), fleets_(fleets) {}

  Case read() {
    case_.file = in_.file();
    case_.line = in_.line();
    if (!in_.text("name", case_.name) && !in_.has("name"))
      in_.missing("name");
    in_.whole("seeds", case_.seeds, 1, most_seeds);
    in_.flag("watched", case_.watched);
    nodes();
    steps();
    expectations();
    in_.end();
    return std::move(case_);
  }
  std::vector<ScriptedNode> only_nodes() {
    nodes();
    return std::move(case_.nodes);
  }

 private:
  // ---- nodes ----
  void nodes() {
    std::string fleet;
    const bool named = in_.text("fleet", fleet), own = in_.has("nodes");
    if (!named && !own)
      return in_.missing("nodes");
    auto zones = setup_.platform.zones;
    if (named && fleet == "config") {
      for (const auto& listed : setup_.platform.known.nodes) {
        ScriptedNode node;
        node.name = listed.name;
        node.zone = listed.zone;
        node.kind = listed.kind;
        node.cell = listed.cell;
        node.phase = listed.phase;
        node.weight = listed.weight;
        node.line = in_.line("fleet");
        finish(node);
        case_.nodes.push_back(node);
      }
      if (case_.nodes.empty())
        in_.fault("fleet", "the configuration lists no nodes");
    } else if (named) {
      const auto found = fleets_.find(fleet);
      if (found == fleets_.end())
        in_.fault("fleet", "'" + fleet + "' is no fleet of this file, nor \"config\"");
      else if (const auto* array = found->second)
        for (const auto& item : *array)
          if (const auto* table = item.as_table()) {
            Section one(*table, in_.file(), "fleets." + fleet, in_.faults());
            node(one, zones);
          }
    }
    for (auto& one : in_.list("nodes"))
      node(one, zones);
    if (case_.nodes.size() > most_nodes)
      in_.fault_here("has more than 4096 nodes");
    std::set<std::string> names;
    for (const auto& one : case_.nodes)
      if (!names.insert(one.name).second)
        in_.fault_at(one.line, in_.full("nodes"), "'" + one.name + "' is there twice");
  }
  void node(Section& in, std::vector<std::string>& zones) {
    const std::size_t before = in_.faults().size();
    std::int64_t count = 1;
    in.whole("count", count, 1, static_cast<std::int64_t>(most_nodes));
    const auto read = config::read_node(in, setup_.platform.kinds, zones);
    ScriptedNode node;
    node.name = read.listed.name;
    node.zone = read.listed.zone;
    node.kind = read.listed.kind;
    node.cell = read.listed.cell;
    node.phase = read.listed.phase;
    node.weight = read.listed.weight;
    node.line = read.line;
    Micros started{};
    if (in.span("started", started, -farthest, Micros(0)))
      node.started = started;
    in.span("rate", node.rate, Micros(1), seconds(1));
    in.span("first", node.first, Micros(0), hours(1));
    in.span("token", node.token, Micros(0), seconds(60));
    in.whole("slots", node.slots, 0, 1000000);
    in.number("capacity", node.capacity, 1, 1e9);
    in.end();
    if (in_.faults().size() != before)
      return;
    finish(node);
    for (std::int64_t i = 1; i <= count; ++i) {
      ScriptedNode one = node;
      if (count > 1) {
        one.name += std::to_string(i);
        one.cell = static_cast<std::uint16_t>(node.cell + (i - 1) / 8 % 64);  // eight to a cell
      }
      case_.nodes.push_back(one);
    }
  }
  void finish(ScriptedNode& node) const {
    const auto& kinds = setup_.platform.kinds;
    const auto at =
        static_cast<std::size_t>(std::find(kinds.begin(), kinds.end(), node.kind) - kinds.begin());
    node.role = at < settings_.kind_role.size() ? settings_.kind_role[at] : Role::both;
    if (node.capacity <= 0)
      node.capacity = node.role == Role::write
                          ? 20000
                          : 1e6 / static_cast<double>(std::max<Micros::rep>(1, node.rate.count()));
  }

  const ScriptedNode* find(const std::string& name) const {
    for (const auto& one : case_.nodes)
      if (one.name == name)
        return &one;
    return nullptr;
  }
  bool known_node(Section& in, std::string_view key, const std::string& name) {
    if (find(name))
      return true;
    in.fault(key, "'" + name + "' is no node of this case");
    return false;
  }
  // Names, or "zone:a", "cell:3", "kind:reader", "all".
  bool node_set(Section& in, std::string_view key, std::vector<std::string>& to) {
    std::vector<std::string> words;
    if (!in.texts(key, words))
      return false;
    std::vector<std::string> names;
    for (const auto& word : words) {
      const auto some = names_by(word, case_.nodes);
      names.insert(names.end(), some.begin(), some.end());
      if (some.empty()) {
        in.fault(key, "'" + word + "' names no node of this case");
        return false;
      }
    }
    to = std::move(names);
    return true;
  }

  // ---- steps ----
  void steps() {
    auto list = in_.list("steps");
    if (!in_.has("steps"))
      return in_.missing("steps");
    if (list.size() > most_steps)
      return in_.fault("steps", "are more than 20000");
    Micros at{};
    for (auto& in : list) {
      in.span("at", at, -farthest, farthest);
      Step step;
      step.at = at;
      step.line = in.line();
      const std::size_t before = in_.faults().size();
      const bool read = one(in, step);
      in.end();
      if (read && in_.faults().size() == before)
        case_.steps.push_back(std::move(step));
    }
    // Nodes that start within the case are told of at their start.
    std::stable_sort(case_.steps.begin(), case_.steps.end(), [](auto& a, auto& b) { return a.at < b.at; });
    if (std::none_of(case_.steps.begin(), case_.steps.end(),
                     [](auto& step) { return std::holds_alternative<step::Now>(step.what); }) &&
        in_.faults().empty())
      in_.fault("steps", "ask for nothing: one step must be { ask = { ... } }");
  }
  bool one(Section& in, Step& step) {
    static constexpr const char* verbs[] = {"past",  "ask",    "list",    "report", "ban",
                                            "unban", "script", "restart", "sighup", "leave"};
    std::string verb;
    for (const char* word : verbs)
      if (in.has(word)) {
        if (!verb.empty()) {
          in.fault(word, "a step does one thing, and this one has " + verb + " already");
          return false;
        }
        verb = word;
      }
    if (verb.empty()) {
      in.fault_here(
          "a step needs one of past, ask, list, report, ban, unban, script, restart, sighup, leave");
      return false;
    }
    if (verb == "past" || verb == "ask")
      return ask(in, verb, step);
    if (verb == "list")
      return listing(in, step);
    if (verb == "report")
      return report(in, step);
    if (verb == "script")
      return script(in, step);
    std::string word;
    if (!in.text(verb, word))
      return false;
    if (verb == "ban" || verb == "unban")
      step.what = step::Ban{word, verb == "ban"};
    if (verb == "restart")
      step.what = step::Restart{word};
    if (verb == "leave") {
      if (!asked_.count(word))
        in.fault(verb, "no step before asks for '" + word + "'");
      step.what = step::Leave{word};
      return true;
    }
    if (verb == "sighup")
      return sighup(in, word, step);
    return known_node(in, verb, word);
  }
  bool cls(Section& in, std::string& name) {
    if (!in.text("class", name)) {
      if (!in.has("class"))
        in.missing("class");
      return false;
    }
    // After a SIGHUP other classes may hold, so any of them will do.
    const auto is = [&](const config::Platform& platform) {
      const auto& all = platform.settings.classes;
      return std::any_of(all.begin(), all.end(), [&](auto& c) { return c.name == name; });
    };
    if (is(setup_.platform) ||
        std::any_of(case_.reloads.begin(), case_.reloads.end(), [&](auto& r) { return is(r.second); }))
      return true;
    std::string all;
    for (const auto& one : settings_.classes)
      all += (all.empty() ? "" : ", ") + one.name;
    in.fault("class", "'" + name + "' is no class of " + setup_.origin + ", which knows " +
                          (all.empty() ? "none" : all));
    return false;
  }
  bool ask(Section& outer, const std::string& verb, Step& step) {
    auto in = outer.table(verb);
    if (!in)
      return false;
    const bool past = verb == "past";
    Ask ask;
    cls(*in, ask.cls);
    if (past)
      ask.name = "past" + std::to_string(++pasts_);
    else {
      ask.name = "q" + std::to_string(asked_.size() + 1);
      in->text("name", ask.name);
      if (!asked_.insert(ask.name).second)
        in->fault("name", "'" + ask.name + "' is asked for twice");
    }
    in->number("tokens", ask.tokens, 1, 1e7);
    in->text("opening", ask.opening);
    in->text("session", ask.session);
    if (in->number("shared", ask.shared, 0, 1e7) && ask.shared > ask.tokens)
      in->fault("shared", "is more than the tokens of the whole prompt");
    if (ask.opening.empty() && ask.shared > 0)
      in->fault("shared", "needs an opening");
    if (!ask.opening.empty() && ask.shared <= 0)
      in->missing("shared");
    in->number("output", ask.output, 1, 1e6);
    in->span("budget", ask.budget, milliseconds(1), hours(1));
    in->flag("repeat", ask.repeat);
    if (past) {
      Micros took{};
      if (in->text("reader", ask.reader))
        placed(*in, "reader", ask.reader, Role::write);
      if (in->text("writer", ask.writer))
        placed(*in, "writer", ask.writer, Role::read);
      if (in->span("took", took, Micros(1), hours(1)))
        ask.took = took;
      load(*in, "reader_load", ask.reader_load);
      load(*in, "writer_load", ask.writer_load);
      in->end();
      step.what = step::Past{std::move(ask)};
    } else {
      if (in->text("tenant", ask.tenant)) {
        const auto& all = settings_.tenants;
        if (std::none_of(all.begin(), all.end(), [&](auto& t) { return t.name == ask.tenant; }))
          in->fault("tenant", "'" + ask.tenant + "' is no tenant of " + setup_.origin);
      }
      in->flag("resumed", ask.resumed);
      in->end();
      step.what = step::Now{std::move(ask)};
    }
    return true;
  }
  void placed(Section& in, const char* key, const std::string& name, Role wrong) {
    if (known_node(in, key, name) && find(name)->role == wrong)
      in.fault(key, "'" + name + "' is of the other role");
  }
  void load(Section& in, std::string_view key, std::string& to) {
    if (in.text(key, to) && parse_load(to, settings_.report_columns).empty())
      in.fault(key, "'" + to + "' is no load report with a column that the settings name");
  }
  bool listing(Section& outer, Step& step) {
    auto in = outer.table("list");
    if (!in)
      return false;
    step::List change;
    if (!in->text("node", change.node)) {
      if (!in->has("node"))
        in->missing("node");
    } else {
      known_node(*in, "node", change.node);
    }
    const bool phase =
        in->choice("phase", change.phase,
                   {{"active", Phase::ready}, {"leaving", Phase::draining}, {"gone", Phase::gone}});
    Micros started{};
    if (in->span("started", started, -farthest, step.at))
      change.started = started;
    else if (!phase && !in->has("phase"))
      in->missing("phase");
    in->end();
    step.what = std::move(change);
    return true;
  }
  // A report comes with an answer, so a small request of that moment brings it.
  bool report(Section& outer, Step& step) {
    auto in = outer.table("report");
    if (!in)
      return false;
    std::string node, text;
    const bool named = in->text("node", node) && known_node(*in, "node", node);
    if (!in->has("node"))
      in->missing("node");
    load(*in, "load", text);
    if (!in->has("load"))
      in->missing("load");
    in->end();
    if (!named || settings_.classes.empty())
      return false;
    Ask ask;
    ask.name = "past" + std::to_string(++pasts_);
    ask.cls = settings_.classes.front().name;
    ask.tokens = 64;
    ask.output = 1;
    const bool writer = find(node)->role == Role::write;
    (writer ? ask.writer : ask.reader) = node;
    (writer ? ask.writer_load : ask.reader_load) = text;
    step.what = step::Past{std::move(ask)};
    return true;
  }
  bool script(Section& outer, Step& step) {
    auto in = outer.table("script");
    if (!in)
      return false;
    step::Script what;
    if (!node_set(*in, "nodes", what.nodes) && !in->has("nodes"))
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
    in->span("for", what.span, milliseconds(1), farthest);
    if (in->number("factor", what.factor, 0.01, 10000) && what.how != Trouble::slow)
      in->fault("factor", "goes with how = \"slow\"");
    if (what.how == Trouble::slow && !in->has("factor"))
      in->missing("factor");
    in->end();
    step.what = std::move(what);
    return true;
  }
  bool sighup(Section& in, const std::string& file, Step& step) {
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

  // ---- expectations ----
  void expectations() {
    for (auto& in : in_.list("expect")) {
      const std::size_t before = in_.faults().size();
      Expectation one = expectation(in);
      in.end();
      if (in_.faults().size() == before)
        reachable(in, one);
      case_.expectations.push_back(std::move(one));
    }
    if (!in_.has("expect") && !case_.watched)
      in_.fault("watched", "a case without expectations that is not watched checks nothing");
  }
  bool bounds(Section& in, std::string_view key, std::optional<Bounds>& to) {
    std::vector<std::string> texts;
    if (!in.texts(key, texts))
      return false;
    const auto least = texts.size() == 2 ? parse_span(texts[0]) : Micros(0), most = parse_span(texts.back());
    if (texts.size() > 2 || !least || !most || *least < Micros(0) || *least > *most) {
      in.fault(key, "must be the longest time, or [shortest, longest], each with its unit");
      return false;
    }
    to = Bounds{*least, *most};
    return true;
  }
  Expectation expectation(Section& in) {
    Expectation e;
    e.line = in.line();
    in.text("request", e.request);
    if (e.request.empty() && asked_.size() == 1)
      e.request = *asked_.begin();
    if (e.request.empty())
      in.missing("request");
    else if (!asked_.count(e.request))
      in.fault("request", "no step asks for '" + e.request + "'");
    std::string word;
    if (const auto* node = in.toml().get("reader"); node && node->value_or<std::string>("") == "holder") {
      in.text("reader", word);
      e.reader_holds = true;
    } else if (std::vector<std::string> set; node_set(in, "reader", set)) {
      e.reader = std::move(set);
    }
    if (std::vector<std::string> set; node_set(in, "writer", set))
      e.writer = std::move(set);
    node_set(in, "never", e.never);
    in.choice("near", e.near, {{"cell", Expectation::Near::cell}, {"zone", Expectation::Near::zone}});
    attempts(in, e);
    if (std::vector<std::string> list; in.texts("order", list)) {
      for (const auto& name : list)
        if (name != "*" && name != "...")
          known_node(in, "order", name);
      e.order = std::move(list);
    }
    Answer answer{};
    if (in.choice("answer", answer,
                  {{"served", Answer::served},
                   {"refused", Answer::refused},
                   {"failed", Answer::failed},
                   {"cut", Answer::cut},
                   {"none", Answer::none}}))
      e.answer = answer;
    bounds(in, "retry_after", e.retry_after);
    bounds(in, "answered", e.answered);
    bounds(in, "first", e.first);
    Micros released{};
    if (in.span("released", released, Micros(0), hours(1)))
      e.released = released;
    if (auto share = in.table("share")) {
      Share s;
      if (!node_set(*share, "nodes", s.nodes) && !share->has("nodes"))
        share->missing("nodes");
      share->choice("of", s.of, {{"reader", Role::read}, {"writer", Role::write}});
      share->number("least", s.least, 0, 1);
      share->number("most", s.most, 0, 1);
      if (s.least > s.most)
        share->fault("least", "is above most");
      share->end();
      e.share = std::move(s);
    }
    return e;
  }
  void attempts(Section& in, Expectation& e) {
    const auto* node = in.any("attempts");
    if (!node)
      return;
    std::vector<std::int64_t> numbers;
    if (const auto one = node->value_exact<std::int64_t>())
      numbers = {*one, *one};
    else if (const auto* list = node->as_array())
      for (const auto& item : *list)
        numbers.push_back(item.value_exact<std::int64_t>().value_or(-1));
    if (numbers.size() != 2 || numbers[0] < 0 || numbers[0] > numbers[1])
      return in.fault("attempts", "must be a whole number, or [least, most]");
    e.attempts = {numbers[0], numbers[1]};
  }

  // What no run whatever can fulfil is a slip in the file, not a fault of the decisions.
  void reachable(Section& in, const Expectation& e) {
    const auto never = [&](std::string_view key, const std::string& why) {
      in.fault(key, "can never be reached: " + why);
    };
    const auto any_of_role = [&](const std::vector<std::string>& names, Role wrong) {
      return std::any_of(names.begin(), names.end(), [&](auto& n) { return find(n)->role != wrong; });
    };
    if (e.reader && !any_of_role(*e.reader, Role::write))
      never("reader", "none of these nodes reads");
    if (e.writer && !any_of_role(*e.writer, Role::read))
      never("writer", "none of these nodes writes");
    if (e.attempts && e.attempts->first > settings_.max_attempts)
      never("attempts", "max_attempts is " + std::to_string(settings_.max_attempts));
    if (e.retry_after && !settings_.retry_after)
      never("retry_after", "the settings give no retry-after");
    if (e.retry_after && e.retry_after->least > settings_.max_retry_after)
      never("retry_after", "max_retry_after is " + span_text(settings_.max_retry_after));
    if (e.retry_after && e.answer && *e.answer != Answer::refused)
      never("retry_after", std::string("an answer that is ") + word(*e.answer) + " has none");
    const bool streams = !e.answer || *e.answer == Answer::served || *e.answer == Answer::cut;
    if (!streams && e.first)
      never("first", std::string("a request that is ") + word(*e.answer) + " has no first event");
    if (e.answer && *e.answer == Answer::served && e.attempts && e.attempts->second < 1)
      never("attempts", "a request is served by an attempt");
    for (const auto& [set, key] : {std::pair{&e.reader, "reader"}, std::pair{&e.writer, "writer"}})
      if (*set && std::all_of((*set)->begin(), (*set)->end(),
                              [&](auto& n) { return std::count(e.never.begin(), e.never.end(), n) > 0; }))
        never(key, "all of these are among never");
    if (e.order && e.attempts && std::count(e.order->begin(), e.order->end(), "...") == 0 &&
        (static_cast<std::int64_t>(e.order->size()) < e.attempts->first ||
         static_cast<std::int64_t>(e.order->size()) > e.attempts->second))
      never("order", "it has " + std::to_string(e.order->size()) + " attempts");
    Micros longest{};
    for (const auto& c : settings_.classes)
      longest = std::max(longest, c.deadline);
    for (const auto& step : case_.steps)
      if (const auto* now = std::get_if<step::Now>(&step.what))
        longest = std::max(longest, now->ask.budget);
    if (e.first && e.first->least > longest)
      never("first", "no client waits longer than " + span_text(longest));
    if (e.share && case_.seeds < 20)
      never("share", "a share needs at least 20 seeds, and the case has " + std::to_string(case_.seeds));
  }

  Section& in_;
  const Setup& setup_;
  const Settings& settings_;
  const std::map<std::string, const toml::array*>& fleets_;
  Case case_;
  std::set<std::string> asked_;
  std::size_t pasts_ = 0;
};

}  // namespace

const char* word(Answer answer) {
  switch (answer) {
    case Answer::served:
      return "served";
    case Answer::refused:
      return "refused";
    case Answer::failed:
      return "failed";
    case Answer::cut:
      return "cut";
    case Answer::none:
      return "none";
  }
  return "?";
}

std::vector<ScriptedNode> read_nodes(Section table, const Setup& setup,
                                     const std::map<std::string, const toml::array*>& fleets) {
  return Reader(table, setup, fleets).only_nodes();
}

std::vector<std::string> names_by(const std::string& word, const std::vector<ScriptedNode>& nodes) {
  const auto colon = word.find(':');
  const std::string by = word.substr(0, colon),
                    value = colon == std::string::npos ? "" : word.substr(colon + 1);
  std::vector<std::string> names;
  for (const auto& node : nodes)
    if (word == node.name || word == "all" || (by == "zone" && node.zone == value) ||
        (by == "kind" && node.kind == value) || (by == "cell" && std::to_string(node.cell) == value))
      names.push_back(node.name);
  return names;
}

Case read_case(Section table, const Setup& setup, const std::map<std::string, const toml::array*>& fleets) {
  return Reader(table, setup, fleets).read();
}

}  // namespace lemonroute::expect
