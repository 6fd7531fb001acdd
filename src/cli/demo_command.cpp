// lemonroute demo: the real program among stand-ins on loopback, for whoever wants to see it work before
// there is a fleet. A few requests over both fronts, a drain and a crash among them, then what became of
// each.
#include <toml++/toml.h>
#include <unistd.h>

#include <csignal>
#include <iomanip>
#include <ostream>

#include "base/log.h"
#include "base/span_text.h"
#include "cli/arguments.h"
#include "cli/commands.h"
#include "cli/program.h"
#include "demo/stand_ins.h"
#include "rules/monitor.h"

namespace lemonroute::cli {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr Micros patience = seconds(6);
constexpr Micros give_up = seconds(30);  // of the demo as a whole

constexpr const char* installation = R"(
[settings]
max_attempts = 4
cold_for = "1s"
[kinds.reader]
role = "read"
tokens = 200000
[kinds.writer]
role = "write"
tokens = 150000
[classes.estratto]
aim = "1500ms"
deadline = "6s"
aim_per_1000_tokens = "40ms"
[classes.registrazione]
effect = "unsafe"
aim = "1500ms"
deadline = "6s"
aim_per_1000_tokens = "40ms"
)";

config::Platform platform_of(const std::string& discovery) {
  std::vector<config::Fault> faults;
  const auto table = toml::parse(installation);
  config::Section root(table, "demo", "", faults);
  auto platform = config::read_installation(root).platform;
  if (!faults.empty())
    throw std::logic_error(faults.front().text());
  platform.name = "demo-" + std::to_string(getpid());
  platform.listen = "127.0.0.1:0";
  platform.discovery = discovery;
  return platform;
}

class Demo {
 public:
  explicit Demo(std::ostream& out) : out_(out) {}

  int run() {
    fleet_.begun = [this](auto& request, auto& node) {
      rows_[request].nodes.push_back(node);
      monitor_.sent(now(), request, node, 0);
    };
    fleet_.over = [this](auto& request, auto& node) { monitor_.over(now(), request, node); };
    fleet_.holds = [this](auto& request, auto& node) { monitor_.held(now(), request, node); };
    fleet_.freed = [this](auto& request, auto& node) { monitor_.freed(now(), request, node); };
    for (auto* node : {&r1_, &r2_, &r3_, &w1_, &w2_})
      list(*node, "active");
    out_ << "lemonroute among stand-ins: HTTP on 127.0.0.1:" << program_.port()
         << ", gRPC on 127.0.0.1:" << program_.grpc_port() << ", readers r1 r2 r3, writers w1 w2\n\n";
    at(milliseconds(300), [this] { ask("q1", false, "estratto", "anna", "bando", 2400); });
    at(milliseconds(400), [this] { ask("q2", true, "estratto", "bruno", "bando", 2400); });
    at(milliseconds(1500), [this] {
      const std::string holder = rows_["q1"].nodes.front();
      demo::Node& node = holder == "r1" ? r1_ : holder == "r2" ? r2_ : r3_;
      say("discovery: " + holder + ", which read the opening, is leaving");
      list(node, "leaving");
    });
    at(milliseconds(1600), [this] { ask("q3", false, "estratto", "carla", "bando", 2400); });
    at(milliseconds(1700), [this] { ask("q4", true, "registrazione", "dario", "", 1200); });
    at(milliseconds(2900), [this] { ask("q5", false, "estratto", "anna", "bando", 2800); });
    // In the middle of its read. The request is not lost by that: nothing of it has been answered yet.
    at(milliseconds(2960), [this] { crash("q5"); });
    at(milliseconds(3100), [this] { ask("q6", true, "estratto", "elena", "bando", 2400); });
    at(milliseconds(3200), [this] { ask("q7", false, "registrazione", "fabio", "", 900); });
    end_.start(give_up);
    loop_.run();
    return report();
  }

 private:
  struct Row {
    bool grpc = false;
    std::string kind, how = "no answer", text;
    std::vector<std::string> nodes;
    Micros asked{}, first{}, last{};
    std::unique_ptr<demo::Client> client;
  };

  Micros now() const { return clock_.now(); }
  void say(const std::string& line) {
    out_ << std::setw(8) << readable(now() - begun_) << "  " << line << std::endl;
  }
  void at(milliseconds after, std::function<void()> job) {
    ++steps_;
    timers_.push_back(std::make_unique<net::Timer>(loop_, [this, job = std::move(job)] {
      job();
      --steps_;
      monitor_.advance(now());
    }));
    timers_.back()->start(after);
  }
  void list(demo::Node& node, const char* lifecycle) {
    discovery_.tell(node, lifecycle);
    monitor_.listed(now(), node.name(),
                    std::string(lifecycle) == "active" ? EndpointState::ready : EndpointState::draining,
                    Micros(0));
  }
  void crash(const std::string& request) {
    const auto& nodes = rows_[request].nodes;
    if (nodes.empty())
      return say("nothing to crash: " + request + " is not out yet");
    for (auto* node : {&r1_, &r2_, &r3_, &w1_, &w2_})
      if (node->name() == nodes.back()) {
        say(node->name() + " dies while it reads " + request);
        node->crash();
      }
  }
  void ask(const std::string& id, bool grpc, const std::string& kind, const std::string& session,
           const std::string& opening, int tokens) {
    Row& row = rows_[id];
    row.grpc = grpc;
    row.kind = kind;
    row.asked = now();
    monitor_.taken(now(), id, now() + patience, 4);
    const demo::Question question{id, kind, session, opening, tokens, opening.empty() ? 0 : 1800, patience};
    const demo::Heard heard{[this, id](auto& text) { event(id, text); },
                            [this, id](auto& how) { ended(id, how); }};
    const std::string to = "127.0.0.1:" + std::to_string(grpc ? program_.grpc_port() : program_.port());
    say(id + " asks over " + (grpc ? "gRPC" : "HTTP") + ": " + kind + ", " + std::to_string(tokens) +
        " tokens" + (opening.empty() ? "" : ", opening \"" + opening + "\""));
    row.client = grpc ? ask_grpc(loop_, to, question, heard) : ask_http(loop_, pool_, to, question, heard);
  }
  void event(const std::string& id, const std::string& text) {
    Row& row = rows_[id];
    if (row.text.empty()) {
      row.first = now();
      monitor_.first(now(), id);
    }
    row.text += text;
    say(id + " < " + text);
  }
  void ended(const std::string& id, const std::string& how) {
    Row& row = rows_[id];
    row.how = how;
    row.last = now();
    monitor_.answered(now(), id, how);
    say(id + " " + how);
    if (std::all_of(rows_.begin(), rows_.end(), [](auto& one) { return one.second.last > Micros(0); }) &&
        steps_ <= 1)
      end_.start(milliseconds(400));  // for what may still be let go of
  }
  int report() {
    monitor_.finish(now());
    out_ << '\n'
         << std::left << std::setw(9) << "request" << std::setw(6) << "front" << std::setw(15) << "class"
         << std::setw(10) << "answer" << std::setw(18) << "attempts" << std::right << std::setw(12)
         << "first text" << std::setw(12) << "end" << '\n';
    bool all = true;
    for (const auto& entry : rows_) {
      const auto& id = entry.first;
      const auto& row = entry.second;
      std::string nodes;
      for (const auto& node : row.nodes)
        nodes += (nodes.empty() ? "" : " > ") + node;
      const auto since = [&](Micros at) {
        return at > Micros(0) ? readable(at - row.asked) : std::string("-");
      };
      out_ << std::left << std::setw(9) << id << std::setw(6) << (row.grpc ? "gRPC" : "HTTP") << std::setw(15)
           << row.kind << std::setw(10) << row.how << std::setw(18) << nodes << std::right << std::setw(12)
           << since(row.first) << std::setw(12) << since(row.last) << '\n';
      all = all && row.last > Micros(0);
    }
    for (const auto& breach : monitor_.breaches())
      out_ << breach.text(begun_) << '\n';
    const bool kept = all && monitor_.breaches().empty();
    out_ << '\n'
         << (kept ? "every request was answered by the rules" : "not every request was answered by the rules")
         << '\n';
    return kept ? fine : faulty;
  }

  std::ostream& out_;
  net::Loop loop_;
  SystemClock clock_;
  const Micros begun_ = clock_.now();
  rules::Monitor monitor_{rules::Limits{}};
  demo::Fleet fleet_;
  demo::Discovery discovery_{loop_};
  demo::Node r1_{loop_, fleet_, "r1", true}, r2_{loop_, fleet_, "r2", true}, r3_{loop_, fleet_, "r3", true};
  demo::Node w1_{loop_, fleet_, "w1", false}, w2_{loop_, fleet_, "w2", false};
  http::Client pool_{loop_, {}};
  std::map<std::string, Row> rows_;
  std::vector<std::unique_ptr<net::Timer>> timers_;
  std::size_t steps_ = 0;
  net::Timer end_{loop_, [this] { loop_.stop(); }};
  Program program_{loop_, platform_of(discovery_.address()),
                   [] {
                     config::Operator settings;
                     settings.grpc_listen = "127.0.0.1:0";
                     return settings;
                   }(),
                   []() -> config::Platform { throw config::ConfigError("the demo has no file"); }};
};

}  // namespace

int demo_command(const Arguments& arguments, std::ostream& out, std::ostream& err) {
  Usage usage{"demo [--log-level LEVEL]",
              "Runs the router on loopback with stand-in discovery, readers and writers: a few requests over "
              "HTTP and gRPC\n"
              "as they stream, a reader that drains and one that dies, then a table. Ends by itself with 0, "
              "or with 1 if a\n"
              "request was not answered by the rules."};
  usage.options.add_options()("log-level,l", po::value<std::string>()->default_value("error"),
                              "debug, info, warn or error");
  const auto values = parse(arguments, usage);
  logging::Level level{};
  if (!logging::parse_level(known(values, "log-level"), level))
    throw Misuse("--log-level: '" + known(values, "log-level") + "' is not debug, info, warn or error");
  logging::set_level(level);
  std::signal(SIGPIPE, SIG_IGN);
  try {
    return Demo(out).run();
  } catch (const std::exception& error) {
    err << "lemonroute: " << error.what() << '\n';
    return faulty;
  }
}

}  // namespace lemonroute::cli
