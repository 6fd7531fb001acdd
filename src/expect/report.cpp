#include <algorithm>
#include <iomanip>
#include <nlohmann/json.hpp>
#include <ostream>
#include <sstream>

#include "expect/suite.h"

namespace lemonroute::expect {
namespace {

using nlohmann::json;

std::string seconds_text(Micros span) {
  std::ostringstream out;
  out << std::fixed << std::setprecision(3) << static_cast<double>(span.count()) / 1e6;
  return out.str();
}

std::string place(const std::string& file, std::size_t line) {
  return file + ":" + std::to_string(line);
}

const char* kind(const Failure& failure) {
  switch (failure.kind) {
    case Failure::Kind::expectation:
      return "expectation";
    case Failure::Kind::rule:
      return "rule";
    case Failure::Kind::impossible:
      return "impossible";
  }
  return "?";
}

void course(std::ostream& out, const Story& story, const std::string& indent) {
  out << indent << "request " << story.name << ", asked at " << readable(story.asked) << ": "
      << word(story.answer);
  if (story.answer != Answer::none)
    out << " after " << readable(story.answered);
  if (story.first)
    out << ", first event after " << readable(*story.first);
  if (story.retry_after)
    out << ", retry-after " << readable(*story.retry_after);
  if (story.left)
    out << ", the client left after " << readable(*story.left);
  out << '\n';
  for (std::size_t i = 0; i < story.attempts.size(); ++i) {
    const auto& one = story.attempts[i];
    out << indent << "  attempt " << i << " at " << readable(one.at) << " to " << one.node << ": "
        << (one.outcome.empty() ? "still out" : one.outcome + " after " + readable(one.took)) << '\n';
  }
}

void show(std::ostream& out, const Verdict& verdict, bool explain_all) {
  out << (verdict.held() ? "ok    " : "FAIL  ") << place(verdict.file, verdict.line) << ": " << verdict.name
      << " (" << seconds_text(verdict.took) << " s"
      << (verdict.runs > 1 ? ", " + std::to_string(verdict.runs) + " runs" : "") << ")\n";
  for (const auto& failure : verdict.failures)
    out << "      " << place(verdict.file, failure.line) << ": " << failure.what << '\n';
  if (verdict.held() && !explain_all)
    return;
  for (const auto& story : verdict.run.requests) {
    course(out, story, "      ");
    explain(out, story, "        ");
  }
}

json to_json(const Verdict& verdict) {
  json failures = json::array();
  for (const auto& failure : verdict.failures) {
    json one{{"line", failure.line}, {"kind", kind(failure)}, {"what", failure.what}};
    if (!failure.request.empty())
      one["request"] = failure.request;
    if (failure.rule)
      one["rule"] = failure.rule;
    failures.push_back(std::move(one));
  }
  json requests = json::array();
  for (const auto& story : verdict.run.requests) {
    json attempts = json::array();
    for (const auto& a : story.attempts)
      attempts.push_back(
          {{"node", a.node}, {"at_us", a.at.count()}, {"outcome", a.outcome}, {"took_us", a.took.count()}});
    json one{{"request", story.name},
             {"answer", word(story.answer)},
             {"answered_us", story.answered.count()},
             {"attempts", std::move(attempts)}};
    if (story.first)
      one["first_us"] = story.first->count();
    if (story.retry_after)
      one["retry_after_us"] = story.retry_after->count();
    json choices = json::array();
    for (const auto& told : story.choices) {
      json candidates = json::array();
      for (const auto& c : told.choice.candidates) {
        json candidate{{"node", told.names.at(c.endpoint)}, {"match", c.recorded_cached_tokens},
                       {"credit", c.assumed_cached_tokens}, {"rate_us", c.prefill_time_per_token},
                       {"unread", c.queued_tokens},         {"load", c.load},
                       {"slowness", c.latency_ratio},       {"failing", c.failure_ratio}};
        if (c.exclusion_reason)
          candidate["left_out"] = c.exclusion_reason;
        else
          candidate.update({{"wait_us", c.queue_wait.count()},
                            {"read_us", c.prefill_time.count()},
                            {"near", c.proximity},
                            {"score", c.score}});
        candidates.push_back(std::move(candidate));
      }
      json choice{{"at_us", told.at.count()},
                  {"stage", told.choice.stage == Role::decode ? "writer" : "reader"},
                  {"candidates", std::move(candidates)}};
      if (told.choice.shed)
        choice = {{"at_us", told.at.count()},
                  {"refused", true},
                  {"wait_us", told.choice.estimated_wait.count()},
                  {"most_wait_us", told.choice.max_wait.count()},
                  {"load", told.choice.load},
                  {"most_load", told.choice.max_load}};
      else if (const auto name = told.names.find(told.choice.chosen); name != told.names.end())
        choice["chosen"] = name->second;
      choices.push_back(std::move(choice));
    }
    if (!choices.empty())
      one["choices"] = std::move(choices);
    requests.push_back(std::move(one));
  }
  return {{"name", verdict.name},
          {"file", verdict.file},
          {"line", verdict.line},
          {"held", verdict.held()},
          {"runs", verdict.runs},
          {"seconds", static_cast<double>(verdict.took.count()) / 1e6},
          {"failures", std::move(failures)},
          {"requests", std::move(requests)}};
}

std::string xml(const std::string& text) {
  std::string out;
  for (const char c : text) {
    switch (c) {
      case '&':
        out += "&amp;";
        break;
      case '<':
        out += "&lt;";
        break;
      case '>':
        out += "&gt;";
        break;
      case '"':
        out += "&quot;";
        break;
      case '\n':
        out += "&#10;";
        break;
      default:
        out += static_cast<unsigned char>(c) < 0x20 ? ' ' : c;
    }
  }
  return out;
}

void junit(std::ostream& out, const std::vector<const Verdict*>& all) {
  const auto failed = std::count_if(all.begin(), all.end(), [](auto* one) { return !one->held(); });
  Micros took{};
  for (const auto* one : all)
    took += one->took;
  out << "<?xml version=\"1.0\" encoding=\"UTF-8\"?>\n<testsuite name=\"lemonroute expect\" tests=\""
      << all.size() << "\" failures=\"" << failed << "\" time=\"" << seconds_text(took) << "\">\n";
  for (const auto* one : all) {
    out << "  <testcase classname=\"" << xml(one->file) << "\" name=\"" << xml(one->name) << "\" time=\""
        << seconds_text(one->took) << "\"";
    if (one->held()) {
      out << "/>\n";
      continue;
    }
    std::string text;
    for (const auto& failure : one->failures)
      text += place(one->file, failure.line) + ": " + failure.what + "\n";
    out << ">\n    <failure message=\"" << xml(one->failures.front().what) << "\">" << xml(text)
        << "</failure>\n  </testcase>\n";
  }
  out << "</testsuite>\n";
}

}  // namespace

void write(std::ostream& out, const Report& report, Format format, bool explain_all) {
  std::vector<const Verdict*> all;
  for (const auto& one : report.cases)
    all.push_back(&one);
  for (const auto& one : report.generals)
    all.push_back(&one.verdict);
  if (format == Format::junit)
    return junit(out, all);
  if (format == Format::json) {
    json cases = json::array(), generals = json::array();
    for (const auto& one : report.cases)
      cases.push_back(to_json(one));
    for (const auto& one : report.generals) {
      json general = to_json(one.verdict);
      general["combinations"] = one.combinations;
      general["failed"] = one.failed;
      if (!one.shrunk.empty())
        general["shrunk"] = one.shrunk;
      generals.push_back(std::move(general));
    }
    out << json{{"held", report.held()}, {"cases", std::move(cases)}, {"generals", std::move(generals)}}.dump(
               2, ' ', false, json::error_handler_t::replace)
        << '\n';
    return;
  }
  for (const auto& one : report.cases)
    show(out, one, explain_all);
  std::size_t combinations = 0;
  Micros took{};
  for (const auto* one : all)
    took += one->took;
  for (const auto& one : report.generals) {
    combinations += one.combinations;
    show(out, one.verdict, explain_all && one.failed > 0);
    out << "      " << one.combinations << " combinations, " << one.failed << " fail\n";
    if (one.shrunk.empty())
      continue;
    out << "      the first of them, shrunk in " << one.shrunk_in
        << " tries; paste it into the file to keep it:\n\n";
    std::istringstream lines(one.shrunk);
    for (std::string line; std::getline(lines, line);)
      out << "        " << line << '\n';
    out << '\n';
  }
  const auto failed = std::count_if(all.begin(), all.end(), [](auto* one) { return !one->held(); });
  out << report.cases.size() << " cases, " << report.generals.size() << " general expectations of "
      << combinations << " combinations: " << all.size() - static_cast<std::size_t>(failed) << " hold, "
      << failed << " fail, " << seconds_text(took) << " s\n";
}

}  // namespace lemonroute::expect
