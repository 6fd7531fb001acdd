// What expectations cost: 1,000 cases, one general expectation of 10,000 combinations, and how a case grows
// with its fleet. Compare ratios within one run; absolute times are the machine's.
#include <benchmark/benchmark.h>

#include <filesystem>
#include <fstream>

#include "base/log.h"
#include "expect/suite.h"

namespace {

using namespace lemonroute;
using namespace lemonroute::expect;

constexpr const char* site = R"([settings]
siblings = 2
report_columns = ["x0"]
report_memory = "x0"
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
)";

std::unique_ptr<File> file(const std::string& text) {
  logging::set_level(logging::Level::error);
  const auto folder = std::filesystem::temp_directory_path();
  std::ofstream(folder / "expect_bench_site.toml") << site;
  const auto path = (folder / "expect_bench.toml").string();
  std::ofstream(path) << "config = \"expect_bench_site.toml\"\n" << text;
  std::vector<config::Fault> faults;
  auto read = read_file(path, {}, faults);
  if (!faults.empty())
    throw std::runtime_error(faults.front().text());
  return read;
}

std::string fleet(long nodes) {
  const auto half = std::to_string(nodes / 2);
  return "nodes = [ { name = \"r\", kind = \"reader\", count = " + half +
         " }, { name = \"w\", kind = \"writer\", count = " + half + " } ]\n";
}
const std::string steps = R"(steps = [
  { at = "-9s", past = { class = "k", reader = "r1", tokens = 4000, opening = "o", shared = 3000 } },
  { at = "-1s", report = { node = "w1", load = "x0=0.4" } },
  { at = "0s", ask = { class = "k", tokens = 4000, opening = "o", shared = 3000 } },
]
expect = [ { answer = "served", attempts = 2 } ]
)";

// Reading and judging `count` cases of 8 nodes, three requests each.
void cases(benchmark::State& state) {
  std::string text;
  for (long i = 0; i < state.range(0); ++i)
    text += "[[case]]\nname = \"c" + std::to_string(i) + "\"\n" + fleet(8) + steps;
  for (auto _ : state) {
    const auto read = file(text);
    for (const auto& one : read->cases)
      if (!judge(one, read->setup, false).held())
        state.SkipWithError("a case fails");
  }
  state.counters["cases/s"] =
      benchmark::Counter(static_cast<double>(state.range(0)), benchmark::Counter::kIsIterationInvariantRate);
}
BENCHMARK(cases)->Arg(1000)->Unit(benchmark::kMillisecond);

void general(benchmark::State& state) {
  const auto read = file(
      "[[general]]\nname = \"g\"\n" + fleet(8) +
      "strategy = \"random\"\nextra = " + std::to_string(state.range(0)) +
      "\nover = { tokens = { from = 100, to = 8000, count = 20 }, age = { from = \"0s\", to = \"2s\", count "
      "= 20 }, "
      "out = { nodes = \"kind:reader\" } }\nsteps = [\n"
      "  { at = \"-9s\", past = { class = \"k\", tokens = 4000, opening = \"o\", shared = 3000 } },\n"
      "  { at = \"-${age}\", list = { node = \"$out\", phase = \"leaving\" } },\n"
      "  { at = \"0s\", ask = { class = \"k\", tokens = \"$tokens\", opening = \"o\", shared = 100 } },\n]\n"
      "expect = [ { never = \"$out\", answer = \"served\" } ]\n");
  std::vector<config::Fault> faults;
  for (auto _ : state)
    if (!check_general(read->generals.front(), *read, false, faults).verdict.held())
      state.SkipWithError("it fails");
  state.counters["combinations/s"] =
      benchmark::Counter(static_cast<double>(state.range(0)), benchmark::Counter::kIsIterationInvariantRate);
}
BENCHMARK(general)->Arg(10000)->Unit(benchmark::kMillisecond);

// One case by the number of its nodes.
void nodes(benchmark::State& state) {
  const auto read = file("[[case]]\nname = \"n\"\n" + fleet(state.range(0)) + steps);
  for (auto _ : state)
    benchmark::DoNotOptimize(play(read->cases.front(), read->setup, {1, false, {}}));
  state.SetComplexityN(state.range(0));
}
BENCHMARK(nodes)
    ->Arg(10)
    ->Arg(30)
    ->Arg(100)
    ->Arg(300)
    ->Arg(1000)
    ->Unit(benchmark::kMicrosecond)
    ->Complexity();

// What being told of every choice adds.
void explained(benchmark::State& state) {
  const auto read = file("[[case]]\nname = \"n\"\n" + fleet(8) + steps);
  for (auto _ : state)
    benchmark::DoNotOptimize(play(read->cases.front(), read->setup, {1, state.range(0) == 1, {}}));
}
BENCHMARK(explained)->Arg(0)->Arg(1)->Unit(benchmark::kMicrosecond);

}  // namespace

BENCHMARK_MAIN();
