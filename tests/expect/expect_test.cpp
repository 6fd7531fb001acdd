// Expectations: what a file may say, what is refused and where, and that a failure is found, named and
// shrunk.
#include <gtest/gtest.h>

#include <filesystem>
#include <fstream>
#include <nlohmann/json.hpp>
#include <set>
#include <sstream>

#include "base/log.h"
#include "cli/commands.h"
#include "expect/suite.h"

namespace lemonroute::expect {
namespace {

using std::string;

struct Ran {
  int code;
  string out, err;
};
Ran run(const std::vector<string>& arguments) {
  std::ostringstream out, err;
  const int code = cli::run(arguments, out, err);
  return {code, out.str(), err.str()};
}

// A folder of its own for each test, with a configuration in it.
struct Expectations : ::testing::Test {
  std::filesystem::path folder;
  string config = R"([settings]
siblings = 1
report_columns = ["x0", "x1"]
report_memory = "x0"
report_unread = "x1"
[kinds.reader]
role = "read"
tokens = 200000
[kinds.writer]
role = "write"
tokens = 150000
[classes.k]
aim = "900ms"
deadline = "6s"
aim_per_1000_tokens = "40ms"
token_aim = "60ms"
[classes.once]
effect = "unsafe"
aim = "900ms"
deadline = "6s"
aim_per_1000_tokens = "40ms"
)";
  string fleet = R"(

config = "site.toml"
[fleets]
two = [
  { name = "r1", kind = "reader", cell = 1 },
  { name = "r2", kind = "reader", cell = 2 },
  { name = "w1", kind = "writer", cell = 1 },
  { name = "w2", kind = "writer", cell = 2 },
]
)";
  void SetUp() override {
    logging::set_level(logging::Level::error);
    folder = std::filesystem::temp_directory_path() /
             ("expect_test." + std::to_string(getpid()) + "." +
              ::testing::UnitTest::GetInstance()->current_test_info()->name());
    std::filesystem::create_directories(folder);
    write("site.toml", config);
  }
  void TearDown() override { std::filesystem::remove_all(folder); }
  string write(const string& name, const string& text) {
    const auto path = (folder / name).string();
    std::ofstream(path) << text;
    return path;
  }
  string file(const string& text) { return write("e.toml", fleet + text); }
  // A case with these steps and expectations.
  string one(const string& steps, const string& expect, const string& more = "") {
    return "[[case]]\nname = \"one\"\nfleet = \"two\"\n" + more + "steps = [ " + steps + " ]\nexpect = [ " +
           expect + " ]\n";
  }
  int check(const string& text) { return run({"expect", "check", file(text)}).code; }
};

const string ask = "{ at = \"0s\", ask = { class = \"k\", tokens = 2000 } }";

TEST_F(Expectations, TheTemplateHoldsWithItsConfiguration) {
  auto text = template_text();
  write("operator.toml",
        "[kinds.reader]\nrole = \"read\"\n[kinds.writer]\nrole = \"write\"\ntokens = "
        "150000\n[classes.estratto]\n"
        "aim = \"1500ms\"\ndeadline = \"6s\"\naim_per_1000_tokens = \"40ms\"\n");
  const auto path = write("t.toml", text);
  const auto ran = run({"expect", "check", path});
  EXPECT_EQ(ran.code, 0) << ran.out << ran.err;
  EXPECT_EQ(run({"expect", "init", "--output", path}).code, 2) << "it is there already";
  EXPECT_EQ(run({"expect", "init", "--output", path, "--force"}).code, 0);
}

TEST_F(Expectations, AFailureNamesTheExpectationAndWhatHappened) {
  const auto path = file(one(ask, "{ reader = [\"r1\", \"r2\"] }, { answer = \"refused\" }"));
  const auto ran = run({"expect", "check", path});
  EXPECT_EQ(ran.code, 1);
  EXPECT_NE(ran.out.find("FAIL  " + path + ":11: one"), string::npos) << ran.out;
  EXPECT_NE(ran.out.find("expected to be refused, and was served"), string::npos);
  EXPECT_NE(ran.out.find("choice of a reader"), string::npos) << "with the module's account";
  EXPECT_NE(ran.out.find("1 cases, 0 general expectations of 0 combinations: 0 hold, 1 fail"), string::npos);
}

TEST_F(Expectations, EachFieldCanFail) {
  struct Row {
    const char *holds, *fails;
  };
  const string steps =
      "{ at = \"-5s\", past = { class = \"k\", reader = \"r1\", writer = \"w1\", tokens = 2000, session = "
      "\"s\" } }, "
      "{ at = \"0s\", ask = { class = \"k\", tokens = 2000, session = \"s\" } }";
  for (const auto& [holds, fails] :
       std::initializer_list<Row>{{"reader = \"r1\"", "reader = \"r2\""},
                                  {"reader = \"holder\", writer = \"w1\"", "writer = \"w2\""},
                                  {"near = \"cell\"", "near = \"zone\", never = \"w1\""},
                                  {"never = [\"r2\", \"cell:2\"]", "never = \"cell:1\""},
                                  {"attempts = 2", "attempts = [3, 4]"},
                                  {"order = [\"r1\", \"*\"]", "order = [\"w1\", \"...\"]"},
                                  {"order = [\"...\"]", "order = [\"r1\"]"},
                                  {"answer = \"served\"", "answer = \"cut\""},
                                  {"answered = [\"400ms\", \"500ms\"]", "answered = \"400ms\""},
                                  {"first = [\"50ms\", \"60ms\"]", "first = \"49ms\""},
                                  {"released = \"0s\"", "retry_after = \"2s\""}}) {
    EXPECT_EQ(check(one(steps, string("{ ") + holds + " }")), 0) << holds;
    EXPECT_EQ(check(one(steps, string("{ ") + fails + " }")), 1) << fails;
  }
}

TEST_F(Expectations, Shares) {
  const string seeds = "seeds = 100\n";
  EXPECT_EQ(check(one(ask, "{ share = { nodes = [\"r1\", \"r2\"], least = 1.0 } }", seeds)), 0);
  EXPECT_EQ(check(one(ask, "{ share = { nodes = \"r1\", least = 0.2, most = 0.8 } }", seeds)), 0);
  EXPECT_EQ(check(one(ask, "{ share = { nodes = \"r1\", most = 0.05 } }", seeds)), 1);
  EXPECT_EQ(check(one(ask, "{ share = { nodes = \"w1\", of = \"writer\", least = 0.95 } }", seeds)), 1);
}

TEST_F(Expectations, BadFilesAreRefusedByLineAndNothingIsPlayed) {
  struct Row {
    string text;
    const char *line, *what;
  };
  const string twice =
      "{ at = \"0s\", ask = { name = \"a\", class = \"k\" } },\n  { ask = { name = \"a\", class = \"k\" } }";
  for (const auto& row : std::initializer_list<Row>{
           {"", ": ", "case: is missing"},
           {"[[case]]\nname = \"x\"\nfleet = \"three\"\nsteps = [ " + ask + " ]\n",
            ":13: ", "'three' is no fleet"},
           {"[[case]]\nfleet = \"two\"\nsteps = [ " + ask + " ]\n", ":11: ", "name: is missing"},
           {"[[case]]\nname = \"x\"\nfleet = \"two\"\n", ":11: ", "steps: is missing"},
           {one("{ at = \"0s\", ask = { class = \"nope\" } }", "{ attempts = 2 }"),
            ":14: ", "'nope' is no class of"},
           {one("{ at = 5, ask = { class = \"k\" } }", "{ attempts = 2 }"),
            ":14: ", "must be a time with its unit"},
           {one("{ at = \"5\", ask = { class = \"k\" } }", "{ attempts = 2 }"),
            ":14: ", "must be a time with its unit"},
           {one("{ at = \"0s\", ask = { class = \"k\", tokenz = 3 } }", "{ attempts = 2 }"),
            ":14: ", "tokenz: is not a known key"},
           {one("{ at = \"0s\", ask = { class = \"k\", tokens = -3 } }", "{ attempts = 2 }"),
            ":14: ", "must be a number from 1"},
           {one("{ at = \"0s\", ask = { class = \"k\", tokens = 100, opening = \"o\", shared = 200 } }",
                "{ attempts = 2 }"),
            ":14: ", "more than the tokens"},
           {one("{ at = \"0s\" }", "{ attempts = 2 }"), ":14: ", "a step needs one of"},
           {one("{ at = \"0s\", ban = \"r9\" }, " + ask, "{ attempts = 2 }"), ":14: ", "'r9' is no node"},
           {one("{ at = \"0s\", ban = \"r1\", unban = \"r1\" }, " + ask, "{ attempts = 2 }"),
            ":14: ", "does one thing"},
           {one("{ at = \"0s\", report = { node = \"w1\", load = \"cpu=1\" } }, " + ask, "{ attempts = 2 }"),
            ":14: ", "no load report"},
           {one("{ at = \"0s\", list = { node = \"r1\", phase = \"odd\" } }, " + ask, "{ attempts = 2 }"),
            ":14: ", "'odd' is not active, leaving or gone"},
           {one("{ at = \"0s\", script = { nodes = \"zone:q\", how = \"silent\" } }, " + ask,
                "{ attempts = 2 }"),
            ":14: ", "names no node"},
           {one("{ at = \"0s\", past = { class = \"k\", reader = \"w1\" } }, " + ask, "{ attempts = 2 }"),
            ":14: ", "of the other role"},
           {one("{ at = \"0s\", leave = \"z\" }, " + ask, "{ attempts = 2 }"),
            ":14: ", "no step before asks for 'z'"},
           {one("{ at = \"0s\", sighup = \"gone.toml\" }, " + ask, "{ attempts = 2 }"), ": ", "gone.toml"},
           {one(twice, "{ attempts = 2 }"), ":15: ", "asked for twice"},
           {one(ask, "{ request = \"z\", attempts = 2 }"), ":15: ", "no step asks for 'z'"},
           {one(ask, "{ reader = \"r9\" }"), ":15: ", "'r9' names no node"},
           {one(ask, "{ reader = \"w1\" }"), ":15: ", "can never be reached: none of these nodes reads"},
           {one(ask, "{ writer = \"r1\" }"), ":15: ", "can never be reached"},
           {one(ask, "{ attempts = 5 }"), ":15: ", "can never be reached: max_attempts is 4"},
           {one(ask, "{ answer = \"served\", retry_after = \"1s\" }"), ":15: ", "can never be reached"},
           {one(ask, "{ retry_after = [\"3s\", \"4s\"] }"), ":15: ", "can never be reached: max_retry_after"},
           {one(ask, "{ answer = \"refused\", first = \"1s\" }"), ":15: ", "can never be reached"},
           {one(ask, "{ first = [\"7s\", \"8s\"] }"),
            ":15: ", "can never be reached: no client waits longer"},
           {one(ask, "{ reader = \"r1\", never = \"kind:reader\" }"), ":15: ", "can never be reached"},
           {one(ask, "{ share = { nodes = \"r1\", least = 0.5 } }"),
            ":15: ", "can never be reached: a share needs"},
           {one(ask, "{ first = [\"2s\", \"1s\"] }"), ":15: ", "must be the longest time"},
           {one(ask, "{ reader = \"r1\" }, { reader = \"r2\" }"),
            ":15: ", "can't hold together with the expectation in"},
           {one(ask, "{ attempts = 2 }", "bogus = 1\n"), ":14: ", "bogus: is not a known key"},
           {one(ask, "{ attempts = 2 }") + one(ask, "{ attempts = 2 }"),
            ":16: ", "is the name of the case in line 11 already"},
           {"[[general]]\nname = \"g\"\nfleet = \"two\"\nsteps = [ " + ask + " ]\n",
            ":11: ", "over: is missing"},
           {"[[general]]\nname = \"g\"\nfleet = \"two\"\nover = { a = { from = 3, to = 1 } }\nsteps = [ " +
                ask + " ]\n",
            ":14: ", "must be below to"},
           {"[[general]]\nname = \"g\"\nfleet = \"two\"\nover = { a = [1, 2] }\nsteps = [ { at = \"0s\", ask "
            "= { class = \"k\", tokens = \"$b\" } } ]\n",
            ":15: ", "'$b' is no variable"},
           {"[[general]]\nname = \"g\"\nfleet = \"two\"\nstrategy = \"all\"\nmost = 10\nover = { a = { from "
            "= 1, to = 100, count = 20 } }\nsteps = [ " +
                ask + " ]\n",
            ":14: ", "combinations, and most is 10"},
           {"[[general]]\nname = \"g\"\nfleet = \"two\"\nover = { a = [1, 999999999] }\nsteps = [ { at = "
            "\"0s\", ask = { class = \"k\", tokens = \"$a\" } } ]\n",
            ":15: ", "must be a number from 1"},
           {"= 3\n", ":11: ", ""}}) {
    const auto path = file(row.text);
    const auto ran = run({"expect", "check", path});
    EXPECT_EQ(ran.code, 2) << row.text << ran.out;
    EXPECT_EQ(ran.out, "") << row.text;
    EXPECT_NE(ran.err.find(string("e.toml") + row.line), string::npos) << row.text << ran.err;
    EXPECT_NE(ran.err.find(row.what), string::npos) << row.text << ran.err;
  }
}

// A platform's file gives the settings as well as an operator's; a class that it does not know is a fault of
// the file.
TEST_F(Expectations, APlatformsFile) {
  const auto platform = write(
      "p.json", R"({"name":"n","listen":"127.0.0.1:0","discovery":"127.0.0.1:1","settings":{"zones":["a"],
    "kinds":["reader","writer"],"siblings":1,"extra":{"kind-role":["read","write"],"tokens-by-kind":[200000,150000],"release-us":1000000},
    "lanes":[{"name":"k","idempotency":"read_like","slo-us":900000,"hard-limit-us":6000000}],
    "limits":{"max-attempts":6,"conn-idle-us":15000000,"connect-timeout-us":250000,"cancel":true},
    "safety":{"cold-us":12000000,"cold-from":0.25,"fall-multiple":2.5,"fall-us":1000000}}})");
  const auto path = file(one(ask, "{ answer = \"served\", attempts = 2 }"));
  EXPECT_EQ(run({"expect", "check", path, "--platform", platform}).code, 0);
  EXPECT_EQ(
      run({"expect", "compare", "--before", (folder / "site.toml").string(), "--after", platform, path}).code,
      0);
  const auto unknown =
      run({"expect", "check", file(one("{ at = \"0s\", ask = { class = \"once\" } }", "{ attempts = 2 }")),
           "--platform", platform});
  EXPECT_EQ(unknown.code, 2);
  EXPECT_NE(unknown.err.find("'once' is no class of " + platform + ", which knows k"), string::npos)
      << unknown.err;
}

TEST_F(Expectations, MisuseIsTold) {
  const auto path = file(one(ask, "{ attempts = 2 }"));
  for (const std::vector<string>& bad : {std::vector<string>{"expect"},
                                         {"expect", "check"},
                                         {"expect", "odd"},
                                         {"expect", "check", path, "--format", "yaml"},
                                         {"expect", "check", path, "--only", "nothing of it"},
                                         {"expect", "check", "no/such.toml"},
                                         {"expect", "check", path, "--config", "no/such.toml"},
                                         {"expect", "check", path, "--platform", "no/such.json"},
                                         {"expect", "compare", path},
                                         {"expect", "audit"}})
    EXPECT_EQ(run(bad).code, 2) << bad.back();
  EXPECT_EQ(run({"expect", "check", path, "--only", "one"}).code, 0);
}

TEST_F(Expectations, APastThatCannotHaveBeenFailsTheCase) {
  EXPECT_EQ(check(one("{ at = \"-9s\", list = { node = \"r1\", phase = \"gone\" } }, "
                      "{ at = \"-5s\", past = { class = \"k\", reader = \"r1\" } }, " +
                          ask,
                      "{ answer = \"served\" }")),
            1);
  EXPECT_EQ(
      check(one("{ at = \"0s\", ask = { name = \"a\", class = \"k\" } }, { at = \"9s\", leave = \"a\" }",
                "{ answer = \"served\" }")),
      1)
      << "the client can't leave after its answer";
}

// Conflicts are found by what is possible, also over two cases with the same course.
TEST_F(Expectations, Conflicts) {
  const auto clash = [&](const string& a, const string& b) {
    const auto ran = run({"expect", "check", file(one(ask, "{ " + a + " }, { " + b + " }"))});
    return ran.code == 2 && ran.err.find("can't hold together") != string::npos;
  };
  for (const auto& [a, b] : std::initializer_list<std::pair<const char*, const char*>>{
           {"answer = \"served\"", "answer = \"refused\""},
           {"answer = \"served\"", "retry_after = \"1s\""},
           {"writer = \"w1\"", "never = [\"w1\"]"},
           {"attempts = 2", "attempts = [3, 4]"},
           {"order = [\"r1\", \"w1\"]", "reader = \"r2\""},
           {"order = [\"r1\", \"w1\"]", "order = [\"r1\", \"w2\"]"},
           {"order = [\"r1\", \"w1\"]", "attempts = [3, 4]"},
           {"order = [\"*\", \"*\", \"...\"]", "attempts = 1"},
           {"first = [\"1s\", \"2s\"]", "first = \"500ms\""},
           {"first = [\"1s\", \"2s\"]", "answered = \"500ms\""},
           {"reader = \"r1\", near = \"cell\"", "writer = \"w2\""},
           {"answer = \"served\"", "never = \"kind:writer\""}})
    EXPECT_TRUE(clash(a, b)) << a << " and " << b;
  for (const auto& [a, b] : std::initializer_list<std::pair<const char*, const char*>>{
           {"reader = [\"r1\", \"r2\"]", "reader = \"r2\""},
           {"attempts = [1, 3]", "attempts = [3, 4]"},
           {"near = \"zone\"", "writer = \"w2\""},
           {"order = [\"r1\", \"...\"]", "attempts = 3"}})
    EXPECT_FALSE(clash(a, b)) << a << " and " << b;
  const auto two =
      run({"expect", "check",
           file(one(ask, "{ reader = \"r1\" }") + "[[case]]\nname = \"two\"\nfleet = \"two\"\nsteps = [ " +
                ask + " ]\nexpect = [ { reader = \"r2\" } ]\n")});
  EXPECT_EQ(two.code, 2);
  EXPECT_NE(two.err.find("e.toml:15: "), string::npos) << two.err;
  EXPECT_NE(two.err.find("e.toml:20: "), string::npos) << two.err;
  // And between a case and the one combination of a general expectation that is the same.
  const auto general = run({"expect", "check",
                            file(one(ask, "{ answer = \"served\" }") +
                                 "[[general]]\nname = \"g\"\nfleet = \"two\"\n"
                                 "over = { n = [1000, 2000, 3000] }\nsteps = [ { at = \"0s\", ask = { class "
                                 "= \"k\", tokens = \"$n\" } } ]\nexpect = [ { answer = \"refused\" } ]\n")});
  EXPECT_EQ(general.code, 2) << general.out;
}

TEST_F(Expectations, PairwiseCoversEachPair) {
  General general;
  for (const std::size_t size : {4, 3, 5, 2, 7}) {
    Variable v;
    v.name = "v" + std::to_string(size);
    for (std::size_t i = 0; i < size; ++i)
      v.values.emplace_back(static_cast<std::int64_t>(i));
    general.variables.push_back(v);
  }
  const auto all = rows(general);
  std::set<std::array<std::size_t, 4>> pairs;
  for (const auto& row : all)
    for (std::size_t a = 0; a < row.size(); ++a)
      for (std::size_t b = a + 1; b < row.size(); ++b)
        pairs.insert({a, row[a], b, row[b]});
  std::size_t wanted = 0;
  for (std::size_t a = 0; a < 5; ++a)
    for (std::size_t b = a + 1; b < 5; ++b)
      wanted += general.variables[a].values.size() * general.variables[b].values.size();
  EXPECT_EQ(pairs.size(), wanted);
  EXPECT_LT(all.size(), 70u) << "of 840";
  EXPECT_EQ(rows(general), all) << "the seed makes them the same each time";
  general.extra = 50;
  EXPECT_EQ(rows(general).size(), all.size() + 50);
  general.strategy = Strategy::all;
  general.extra = 0;
  EXPECT_EQ(rows(general).size(), 840u);
  general.most = 100;
  EXPECT_EQ(rows(general).size(), 100u);
}

// "No prompt is read for longer than 200 ms" breaks at 5,000 tokens of 40 us: the least that fails is found,
// whatever else stands in the case, and what is pasted fails in the same way.
TEST_F(Expectations, AFailureIsShrunk) {
  const string general = R"([[general]]
name = "g"
fleet = "two"
over = { tokens = { from = 100, to = 8000, count = 4 }, back = { from = "0s", to = "9s" }, out = { nodes = "kind:reader" } }
steps = [
  { at = "-20s", past = { class = "k", reader = "r1", tokens = 2000 } },
  { at = "-${back}", list = { node = "$out", phase = "leaving" } },
  { at = "0s", ask = { class = "k", tokens = "$tokens" } },
]
expect = [ { answer = "served" }, { first = "252ms" } ]
)";
  const auto ran = run({"expect", "check", file(general)});
  EXPECT_EQ(ran.code, 1);
  const auto begin = ran.out.find("        [[case]]");
  ASSERT_NE(begin, string::npos) << ran.out;
  string pasted = ran.out.substr(begin, ran.out.find("\n\n", begin) - begin);
  EXPECT_EQ(pasted.find("list ="), string::npos) << "what does not matter is left out\n" << pasted;
  EXPECT_EQ(pasted.find("past ="), string::npos) << pasted;
  EXPECT_EQ(pasted.find("answer ="), string::npos) << pasted;
  const auto at = pasted.find("tokens = ", pasted.find("steps"));
  const int tokens = std::stoi(pasted.substr(at + 9));
  EXPECT_GT(tokens, 5000) << pasted;
  EXPECT_LE(tokens, 5030) << pasted;
  const auto again = run({"expect", "check", write("p.toml", "config = \"site.toml\"\n" + pasted + "\n")});
  EXPECT_EQ(again.code, 1) << again.err << pasted;
  EXPECT_NE(again.out.find("expected the first event after at most 252ms"), string::npos);
}

TEST_F(Expectations, FormatsCanBeRead) {
  const auto path = file(one(ask, "{ answer = \"served\" }") +
                         "[[case]]\nname = \"a <b> & \\\"c\\\"\"\nfleet = \"two\"\nsteps = [ " + ask +
                         " ]\nexpect = [ { first = \"1ms\" } ]\n");
  const auto json = nlohmann::json::parse(run({"expect", "check", path, "--format", "json"}).out);
  EXPECT_FALSE(json["held"].get<bool>());
  ASSERT_EQ(json["cases"].size(), 2u);
  EXPECT_TRUE(json["cases"][0]["held"].get<bool>());
  EXPECT_EQ(json["cases"][1]["failures"][0]["line"], 20);
  EXPECT_EQ(json["cases"][1]["failures"][0]["kind"], "expectation");
  EXPECT_FALSE(json["cases"][1]["requests"][0]["choices"].empty());
  const string junit = run({"expect", "check", path, "--format", "junit"}).out;
  EXPECT_NE(junit.find("tests=\"2\" failures=\"1\""), string::npos);
  EXPECT_NE(junit.find("name=\"a &lt;b&gt; &amp; &quot;c&quot;\""), string::npos);
  EXPECT_EQ(run({"expect", "check", path, "--format", "junit"}).code, 1);
}

TEST_F(Expectations, TheSameEveryTime) {
  const auto path = file(
      one("{ at = \"-3s\", past = { class = \"k\" } }, " + ask, "{ answer = \"served\" }", "seeds = 30\n"));
  std::vector<Fault> faults;
  const auto read = read_file(path, {}, faults);
  ASSERT_TRUE(faults.empty());
  for (std::uint64_t seed : {1, 2, 29})
    EXPECT_EQ(play(read->cases[0], read->setup, {seed, false, {}}).decisions(),
              play(read->cases[0], read->setup, {seed, true, {}}).decisions())
        << "and being told of choices changes none";
}

TEST_F(Expectations, Compare) {
  const auto path = file(one(ask, "{ answer = \"served\" }") +
                         "[[case]]\nname = \"once\"\nfleet = \"two\"\nsteps = [ "
                         "{ at = \"-1s\", script = { nodes = \"kind:writer\", how = \"errors\" } }, { at = "
                         "\"0s\", ask = { class = \"once\" } } ]\n"
                         "expect = [ { answer = \"failed\", attempts = 2 } ]\n");
  auto changed = config;
  changed.replace(changed.find("unsafe"), 6, "safe");
  const auto after = write("after.toml", changed), before = (folder / "site.toml").string();
  const auto same = run({"expect", "compare", "--before", before, "--after", before, path});
  EXPECT_EQ(same.code, 0) << same.err;
  EXPECT_EQ(same.out.find("0 requests are decided differently"), 0u) << same.out;
  const auto other = run({"expect", "compare", "--before", before, "--after", after, path});
  EXPECT_EQ(other.code, 0);
  EXPECT_NE(other.out.find(": once, request q1"), string::npos) << other.out;
  EXPECT_NE(other.out.find("after   FAILS"), string::npos) << other.out;
  EXPECT_EQ(other.out.find(": one, "), string::npos);
  const auto json = nlohmann::json::parse(
      run({"expect", "compare", "--before", before, "--after", after, path, "--format", "json"}).out);
  ASSERT_EQ(json["changed"].size(), 1u);
  EXPECT_TRUE(json["changed"][0]["held_before"].get<bool>());
  EXPECT_FALSE(json["changed"][0]["held_after"].get<bool>());
}

TEST_F(Expectations, AuditTellsWhatIsGuarded) {
  const string steps = "{ at = \"-1s\", script = { nodes = \"all\", how = \"silent\" } }, " + ask;
  const auto loose = nlohmann::json::parse(
      run({"expect", "audit", file(one(steps, "{ answer = \"failed\" }")), "--format", "json"}).out);
  const auto tight = nlohmann::json::parse(
      run({"expect", "audit", file(one(steps, "{ answered = [\"6s\", \"6s\"] }")), "--format", "json"}).out);
  const auto noticed = [](const nlohmann::json& audit, const string& key, const string& to) {
    for (const auto& one : audit["changes"])
      if (one["key"] == key && one["to"] == to)
        return one["noticed"].get<bool>() ? 2 : one["matters"].get<bool>() ? 1 : 0;
    return -1;
  };
  EXPECT_EQ(noticed(loose, "classes.k.deadline", "3s"), 1) << "another time, which nothing expects";
  EXPECT_EQ(noticed(tight, "classes.k.deadline", "3s"), 2);
  EXPECT_EQ(noticed(tight, "kinds.reader.tokens", "100000"), 0);
  const auto count = [](const nlohmann::json& audit) {
    int all = 0;
    for (const auto& one : audit["changes"])
      all += one["noticed"].get<bool>();
    return all;
  };
  EXPECT_GT(count(tight), count(loose));
  EXPECT_EQ(run({"expect", "audit", file(one(ask, "{ answer = \"failed\" }"))}).code, 1)
      << "a case that fails guards nothing";
}

// The rules are watched whatever is expected.
TEST_F(Expectations, ABrokenRuleFailsACaseThatExpectsNothing) {
  const auto path = file(
      "[[case]]\nname = \"cold\"\nnodes = [ { name = \"r1\", kind = \"reader\", started = \"-1s\", capacity "
      "= 10 },\n"
      "  { name = \"w1\", kind = \"writer\" } ]\nsteps = [\n"
      "  { at = \"-900ms\", past = { class = \"k\", tokens = 1000 } }, " +
      ask + " ]\n");
  const auto ran = run({"expect", "check", path});
  std::vector<Fault> faults;
  const auto read = read_file(path, {}, faults);
  // With limits that nothing can keep, so that the monitor and not the module is on trial.
  rules::Limits limits = limits_of(read->setup.platform.settings);
  limits.most_attempts = 1;
  const auto verdict = judge(read->cases[0], read->setup, false, limits);
  ASSERT_FALSE(verdict.held());
  EXPECT_EQ(verdict.failures[0].rule, 2);
  EXPECT_NE(verdict.failures[0].what.find("attempt 2 of at most 1"), string::npos);
}

}  // namespace
}  // namespace lemonroute::expect
