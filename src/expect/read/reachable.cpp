#include <algorithm>
#include <cstdint>
#include <string>
#include <string_view>
#include <utility>
#include <variant>
#include <vector>

#include "expect/read/expectations.h"
#include "expect/read/names.h"

namespace lemonroute::expect {
namespace {

constexpr std::int64_t least_seeds_for_share = 20;

class Reachable {
 public:
  Reachable(Section& in, const Expectation& expected, const Settings& settings, const Case& of)
      : in_(in), expected_(expected), settings_(settings), case_(of) {}

  void check() {
    check_roles();
    check_settings();
    check_answer();
    check_never();
    check_order();
    check_waits();
    if (expected_.share && case_.seeds < least_seeds_for_share)
      never("share", "a share needs at least 20 seeds, and the case has " + std::to_string(case_.seeds));
  }

 private:
  void never(std::string_view key, const std::string& why) { in_.fault(key, "can never be reached: " + why); }

  bool any_of_other_role(const std::vector<std::string>& names, Role wrong) const {
    return std::any_of(names.begin(), names.end(),
                       [&](const auto& name) { return find_node(case_.nodes, name)->role != wrong; });
  }

  void check_roles() {
    if (expected_.reader && !any_of_other_role(*expected_.reader, Role::decode))
      never("reader", "none of these nodes reads");
    if (expected_.writer && !any_of_other_role(*expected_.writer, Role::prefill))
      never("writer", "none of these nodes writes");
  }

  void check_settings() {
    if (expected_.attempts && expected_.attempts->first > settings_.max_attempts)
      never("attempts", "max_attempts is " + std::to_string(settings_.max_attempts));
    if (expected_.retry_after && !settings_.retry_after_allowed)
      never("retry_after", "the settings give no retry-after");
    if (expected_.retry_after && expected_.retry_after->least > settings_.max_retry_after)
      never("retry_after", "max_retry_after is " + span_text(settings_.max_retry_after));
  }

  void check_answer() {
    if (!expected_.answer)
      return;
    const Answer answer = *expected_.answer;
    if (expected_.retry_after && answer != Answer::refused)
      never("retry_after", std::string("an answer that is ") + word(answer) + " has none");
    const bool streams = answer == Answer::served || answer == Answer::cut;
    if (!streams && expected_.first)
      never("first", std::string("a request that is ") + word(answer) + " has no first event");
    if (answer == Answer::served && expected_.attempts && expected_.attempts->second < 1)
      never("attempts", "a request is served by an attempt");
  }

  void check_never() {
    const auto is_never = [&](const std::string& name) {
      return std::count(expected_.never.begin(), expected_.never.end(), name) > 0;
    };
    for (const auto& [set, key] :
         {std::pair{&expected_.reader, "reader"}, std::pair{&expected_.writer, "writer"}})
      if (*set && std::all_of((*set)->begin(), (*set)->end(), is_never))
        never(key, "all of these are among never");
  }

  void check_order() {
    if (!expected_.order || !expected_.attempts)
      return;
    const auto& order = *expected_.order;
    if (std::count(order.begin(), order.end(), "...") > 0)
      return;
    const auto size = static_cast<std::int64_t>(order.size());
    if (size < expected_.attempts->first || size > expected_.attempts->second)
      never("order", "it has " + std::to_string(order.size()) + " attempts");
  }

  void check_waits() {
    if (!expected_.first)
      return;
    Micros longest{};
    for (const auto& one : settings_.classes)
      longest = std::max(longest, one.deadline);
    for (const auto& step : case_.steps)
      if (const auto* now = std::get_if<step::Now>(&step.what))
        longest = std::max(longest, now->ask.budget);
    if (expected_.first->least > longest)
      never("first", "no client waits longer than " + span_text(longest));
  }

  Section& in_;
  const Expectation& expected_;
  const Settings& settings_;
  const Case& case_;
};

}  // namespace

void check_reachable(Section& in, const Expectation& expected, const Settings& settings, const Case& of) {
  Reachable(in, expected, settings, of).check();
}

}  // namespace lemonroute::expect
