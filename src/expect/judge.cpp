#include "expect/judge.h"

#include <algorithm>
#include <chrono>
#include <iomanip>
#include <sstream>

namespace lemonroute::expect {
namespace {

std::string list(const std::vector<std::string>& names) {
  std::string all;
  for (std::size_t i = 0; i < names.size() && i < 8; ++i)
    all += (i ? ", " : "") + names[i];
  if (names.size() > 8)
    all += ", ... (" + std::to_string(names.size()) + ")";
  return all.empty() ? "none" : all;
}
bool among(const std::vector<std::string>& names, const std::string& name) {
  return std::find(names.begin(), names.end(), name) != names.end();
}

// "*" stands for one attempt, "..." for any number of them.
bool matches(const std::vector<std::string>& order, std::size_t i, const std::vector<Attempted>& got,
             std::size_t j) {
  if (i == order.size())
    return j == got.size();
  if (order[i] == "...")
    return matches(order, i + 1, got, j) || (j < got.size() && matches(order, i, got, j + 1));
  return j < got.size() && (order[i] == "*" || order[i] == got[j].node) && matches(order, i + 1, got, j + 1);
}

std::string range(const Bounds& bounds) {
  return (bounds.least > Micros(0) ? "from " + span_text(bounds.least) + " to " : "at most ") +
         span_text(bounds.most);
}

class Judge {
 public:
  Judge(const Case& one, const Run& run) : case_(one), run_(run) {}

  // The first thing that is not as expected; empty if all is.
  std::string of(const Expectation& e) const {
    const Story* story = run_.find(e.request);
    if (!story)
      return "request " + e.request + " was never asked";
    const auto got = [&](const Attempted* attempt) { return attempt ? attempt->node : std::string("none"); };
    const Attempted *reader = story->last(Role::prefill), *writer = story->last(Role::decode);
    if (e.answer && story->answer != *e.answer)
      return std::string("expected to be ") + word(*e.answer) + ", and was " + word(story->answer) +
             " after " + span_text(story->answered);
    if (e.reader && (!reader || !among(*e.reader, reader->node)))
      return "expected reader " + list(*e.reader) + ", and it was " + got(reader);
    if (e.reader_holds && (!reader || !among(story->holders, reader->node)))
      return "expected a reader that holds its opening or session (" + list(story->holders) +
             "), and it was " + got(reader);
    if (e.writer && (!writer || !among(*e.writer, writer->node)))
      return "expected writer " + list(*e.writer) + ", and it was " + got(writer);
    for (const auto& attempt : story->attempts)
      if (among(e.never, attempt.node))
        return "expected nothing at " + attempt.node + ", and an attempt went there after " +
               span_text(attempt.at);
    if (e.near != Expectation::Near::any) {
      const ScriptedNode *from = node(reader), *to = node(writer);
      const bool cell = e.near == Expectation::Near::cell;
      if (!from || !to || from->zone != to->zone || (cell && from->cell != to->cell))
        return std::string("expected a writer in the reader's ") + (cell ? "cell" : "zone") +
               ", and it went from " + got(reader) + " to " + got(writer);
    }
    const auto attempts = static_cast<std::int64_t>(story->attempts.size());
    if (e.attempts && (attempts < e.attempts->first || attempts > e.attempts->second))
      return "expected " + std::to_string(e.attempts->first) +
             (e.attempts->first == e.attempts->second ? "" : " to " + std::to_string(e.attempts->second)) +
             " attempts, and there were " + std::to_string(attempts);
    if (e.order && !matches(*e.order, 0, story->attempts, 0)) {
      std::vector<std::string> went;
      for (const auto& attempt : story->attempts)
        went.push_back(attempt.node);
      return "expected attempts at " + list(*e.order) + " in this order, and they went to " + list(went);
    }
    if (e.retry_after && (!story->retry_after || !e.retry_after->holds(*story->retry_after)))
      return "expected a retry-after of " + range(*e.retry_after) + ", and it was " +
             (story->retry_after ? span_text(*story->retry_after) : std::string("none"));
    if (e.answered && (story->answer == Answer::none || !e.answered->holds(story->answered)))
      return "expected the answer after " + range(*e.answered) + ", and it came " +
             (story->answer == Answer::none ? "never" : "after " + span_text(story->answered));
    if (e.first && (!story->first || !e.first->holds(*story->first)))
      return "expected the first event after " + range(*e.first) + ", and it came " +
             (story->first ? "after " + span_text(*story->first) : std::string("never"));
    if (e.released) {
      const Micros end = story->left.value_or(story->answered);
      if (story->held_at_end)
        return "expected its state to be released, and it is held to the end";
      if (story->freed && *story->freed - end > *e.released)
        return "expected its state to be released within " + span_text(*e.released) +
               " of its end, and it took " + span_text(*story->freed - end);
    }
    return {};
  }

 private:
  const ScriptedNode* node(const Attempted* attempt) const {
    if (attempt)
      for (const auto& one : case_.nodes)
        if (one.name == attempt->node)
          return &one;
    return nullptr;
  }
  const Case& case_;
  const Run& run_;
};

}  // namespace

Verdict judge(const Case& one, const Setup& setup, bool explain, const std::optional<rules::Limits>& limits) {
  const auto begin = std::chrono::steady_clock::now();
  Verdict verdict;
  verdict.name = one.name;
  verdict.file = one.file;
  verdict.line = one.line;
  std::vector<std::size_t> shares(one.expectations.size());
  const auto add = [&](Failure failure, std::uint64_t seed) {
    if (std::any_of(verdict.failures.begin(), verdict.failures.end(),
                    [&](auto& f) { return f.same(failure); }))
      return;
    if (one.seeds > 1)
      failure.what += " (seed " + std::to_string(seed) + ")";
    verdict.failures.push_back(std::move(failure));
  };
  for (std::uint64_t seed = 1; seed <= static_cast<std::uint64_t>(one.seeds); ++seed) {
    Run run = play(one, setup, {seed, explain, limits});
    ++verdict.runs;
    const bool held = verdict.held();
    for (const auto& why : run.impossible)
      add({Failure::Kind::impossible, one.line, 0, "", why}, seed);
    if (one.watched)
      for (const auto& breach : run.breaches)
        add({Failure::Kind::rule, one.line, static_cast<int>(breach.rule), breach.request, breach.text()},
            seed);
    const Judge judge(one, run);
    for (std::size_t i = 0; i < one.expectations.size(); ++i) {
      const auto& e = one.expectations[i];
      if (const auto why = judge.of(e); !why.empty())
        add({Failure::Kind::expectation, e.line, 0, e.request, why}, seed);
      if (!e.share)
        continue;
      const Story* story = run.find(e.request);
      const Attempted* last = story ? story->last(e.share->of) : nullptr;
      shares[i] += last && among(e.share->nodes, last->node);
    }
    if (seed == 1 || (held && !verdict.held())) {
      verdict.run = std::move(run);
      verdict.seed = seed;
    }
  }
  for (std::size_t i = 0; i < one.expectations.size(); ++i) {
    const auto& e = one.expectations[i];
    if (!e.share)
      continue;
    const double share = static_cast<double>(shares[i]) / static_cast<double>(one.seeds);
    if (share >= e.share->least && share <= e.share->most)
      continue;
    std::ostringstream what;
    what << std::setprecision(3) << "expected " << list(e.share->nodes) << " to get a share of "
         << e.share->least << " to " << e.share->most << " as "
         << (e.share->of == Role::decode ? "writer" : "reader") << ", and it was " << share << " of "
         << one.seeds << " seeds";
    verdict.failures.push_back({Failure::Kind::expectation, e.line, 0, e.request, what.str()});
  }
  verdict.took = std::chrono::duration_cast<Micros>(std::chrono::steady_clock::now() - begin);
  return verdict;
}

}  // namespace lemonroute::expect
