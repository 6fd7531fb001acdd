// The module's own account of its choices, as tables.
#include <algorithm>
#include <iomanip>
#include <ostream>
#include <string_view>
#include <tuple>

#include "expect/suite.h"

namespace lemonroute::expect {
namespace {

constexpr std::size_t most_candidates = 12;  // of one choice that are shown

// Half a fleet is of the other role, which tells nothing. The chosen node first, then the others by score.
std::vector<Candidate> shown(const Choice& choice) {
  auto candidates = choice.candidates;
  std::erase_if(candidates, [](const Candidate& one) {
    return one.exclusion_reason && std::string_view(one.exclusion_reason) == "of the other role";
  });
  const auto rank = [&](const Candidate& one) {
    return std::tuple(one.endpoint != choice.chosen, one.exclusion_reason != nullptr, one.score);
  };
  std::stable_sort(candidates.begin(), candidates.end(),
                   [&](const Candidate& a, const Candidate& b) { return rank(a) < rank(b); });
  return candidates;
}

void write_refusal(std::ostream& out, const Choice& choice) {
  out << "refused before any read: wait " << readable(choice.estimated_wait) << " against "
      << readable(choice.max_wait) << " allowed, least load " << std::setprecision(3) << choice.load
      << " against " << choice.max_load << " allowed\n";
}

void write_heading(std::ostream& out, bool decode) {
  out << std::left << std::setw(14) << "node" << std::right;
  if (decode)
    out << std::setw(8) << "load" << std::setw(9) << "slowness" << std::setw(9) << "failing" << std::setw(6)
        << "near";
  else
    out << std::setw(8) << "match" << std::setw(8) << "credit" << std::setw(9) << "us/token" << std::setw(8)
        << "unread" << std::setw(10) << "wait" << std::setw(10) << "read" << std::setw(9) << "failing";
  out << std::setw(12) << "score" << '\n';
}

void write_candidate(std::ostream& out, const Candidate& one, const std::string& name, bool decode) {
  out << std::left << std::setw(14) << name << std::right << std::fixed;
  if (decode)
    out << std::setprecision(3) << std::setw(8) << one.load << std::setw(9) << one.latency_ratio
        << std::setw(9) << one.failure_ratio << std::setw(6) << one.proximity;
  else
    out << std::setprecision(0) << std::setw(8) << one.recorded_cached_tokens << std::setw(8)
        << one.assumed_cached_tokens << std::setprecision(1) << std::setw(9) << one.prefill_time_per_token
        << std::setprecision(0) << std::setw(8) << one.queued_tokens << std::setw(10)
        << (one.exclusion_reason ? "-" : readable(one.queue_wait)) << std::setw(10)
        << (one.exclusion_reason ? "-" : readable(one.prefill_time)) << std::setprecision(3) << std::setw(9)
        << one.failure_ratio;
  if (one.exclusion_reason)
    out << "  left out: " << one.exclusion_reason;
  else
    out << std::setprecision(decode ? 3 : 0) << std::setw(12) << one.score;
  out << '\n';
  out.unsetf(std::ios::fixed);
}

void write_choice(std::ostream& out, const Told& told, const std::string& indent) {
  const Choice& choice = told.choice;
  const bool decode = choice.stage == Role::decode;
  const auto name = told.names.find(choice.chosen);
  out << "choice of a " << (decode ? "writer" : "reader") << ": "
      << (name == told.names.end() ? "none" : name->second) << '\n';
  const auto candidates = shown(choice);
  out << indent << "  ";
  write_heading(out, decode);
  for (std::size_t i = 0; i < candidates.size(); ++i) {
    out << indent << "  ";
    if (i == most_candidates) {
      out << "and " << candidates.size() - i << " more\n";
      return;
    }
    write_candidate(out, candidates[i], told.names.at(candidates[i].endpoint), decode);
  }
}

}  // namespace

void explain(std::ostream& out, const Story& story, const std::string& indent) {
  for (const auto& told : story.choices) {
    out << indent << "at " << readable(told.at - story.asked) << ", ";
    if (told.choice.shed)
      write_refusal(out, told.choice);
    else
      write_choice(out, told, indent);
  }
}

}  // namespace lemonroute::expect
