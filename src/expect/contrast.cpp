// What other settings would change: between two configurations, and term by term.
#include <algorithm>
#include <functional>

#include "expect/suite.h"

namespace lemonroute::expect {
namespace {

constexpr std::size_t most_rows_played = 200;  // of one general expectation, in comparisons and audits

// All that is played of the files: their cases, and those of general expectations.
struct Played {
  const Case* one;
  const File* file;
};
std::vector<Played> played(const std::vector<std::unique_ptr<File>>& files,
                           std::vector<std::unique_ptr<Case>>& made) {
  std::vector<Played> all;
  for (const auto& file : files) {
    for (const auto& one : file->cases)
      all.push_back({&one, file.get()});
    for (const auto& general : file->generals) {
      std::size_t count = 0;
      for (const auto& row : rows(general)) {
        if (count++ == most_rows_played)
          break;
        std::vector<Value> values;
        for (std::size_t i = 0; i < row.size(); ++i)
          values.push_back(general.variables[i].values[row[i]]);
        std::vector<Fault> faults;
        const auto table = concrete(general, values, faults);
        made.push_back(std::make_unique<Case>(
            read_case(Section(table, general.file, "general", faults), file->setup, file->fleets)));
        all.push_back({made.back().get(), file.get()});
      }
    }
  }
  return all;
}

std::string course(const Run& run, const Story& story) {
  static_cast<void>(run);
  std::string text;
  for (const auto& attempt : story.attempts)
    text += (text.empty() ? "" : " > ") + attempt.node;
  text +=
      (text.empty() ? "" : ", ") + std::string(word(story.answer)) + " after " + span_text(story.answered);
  if (story.retry_after)
    text += ", retry-after " + span_text(*story.retry_after);
  return text;
}

// ---- The terms of an audit ----

struct Knob {
  std::string key;
  std::function<std::string(const Settings&)> show;
  std::vector<std::function<bool(Settings&)>> ways;  // false: changes nothing
};

std::string number(double value) {
  std::string text = std::to_string(value);
  text.erase(text.find_last_not_of('0') + 1);
  if (text.back() == '.')
    text.pop_back();
  return text;
}

// Halved, doubled and dropped.
template <class T>
void scaled(std::vector<Knob>& knobs, std::string key, std::function<T&(Settings&)> at) {
  Knob knob{std::move(key), {}, {}};
  knob.show = [at](const Settings& s) {
    const T value = at(const_cast<Settings&>(s));
    if constexpr (std::is_same_v<T, Micros>)
      return span_text(value);
    else
      return number(static_cast<double>(value));
  };
  for (const int way : {0, 1, 2})
    knob.ways.push_back([at, way](Settings& s) {
      T& value = at(s);
      const T before = value;
      if constexpr (std::is_same_v<T, Micros>)
        value = way == 0 ? value / 2 : way == 1 ? value * 2 : Micros(0);
      else
        value = way == 0 ? static_cast<T>(value / 2) : way == 1 ? static_cast<T>(value * 2) : T(0);
      if constexpr (std::is_same_v<T, std::uint32_t>)
        value = std::max<T>(value, 1);  // none of them may be none
      return value != before;
    });
  knobs.push_back(std::move(knob));
}
void flipped(std::vector<Knob>& knobs, std::string key, const std::function<bool&(Settings&)>& at) {
  knobs.push_back(
      {std::move(key),
       [at](const Settings& s) { return std::string(at(const_cast<Settings&>(s)) ? "true" : "false"); },
       {[at](Settings& s) {
         at(s) = !at(s);
         return true;
       }}});
}

std::vector<Knob> knobs_of(const Setup& setup) {
  std::vector<Knob> knobs;
  const auto whole = [&](const char* key, std::uint32_t Settings::*field) {
    scaled<std::uint32_t>(knobs, std::string("settings.") + key,
                          [field](Settings& s) -> std::uint32_t& { return s.*field; });
  };
  const auto span = [&](const char* key, Micros Settings::*field) {
    scaled<Micros>(knobs, std::string("settings.") + key,
                   [field](Settings& s) -> Micros& { return s.*field; });
  };
  const auto real = [&](const char* key, double Settings::*field) {
    scaled<double>(knobs, std::string("settings.") + key,
                   [field](Settings& s) -> double& { return s.*field; });
  };
  const auto flag = [&](const char* key, bool Settings::*field) {
    flipped(knobs, std::string("settings.") + key, [field](Settings& s) -> bool& { return s.*field; });
  };
  whole("max_attempts", &Settings::max_attempts);
  whole("siblings", &Settings::router_count);
  flag("cancel", &Settings::cancellation_allowed);
  flag("retry_after", &Settings::retry_after_allowed);
  span("max_retry_after", &Settings::max_retry_after);
  span("cold_for", &Settings::slow_start_duration);
  real("cold_from", &Settings::slow_start_initial_capacity);
  span("fall_window", &Settings::overload_window);
  real("fall_multiple", &Settings::overload_factor);
  span("tick", &Settings::min_batch_interval);
  if (!setup.platform.settings.tenants.empty())
    real("over_share_worth", &Settings::over_quota_priority_weight);
  flag("report_memory", &Settings::report_x0_is_memory);
  flag("report_unread", &Settings::report_x1_is_queued_tokens);
  for (std::size_t i = 0; i < setup.platform.settings.kv_cache_tokens_by_kind.size(); ++i)
    scaled<double>(knobs, "kinds." + setup.platform.kinds[i] + ".tokens",
                   [i](Settings& s) -> double& { return s.kv_cache_tokens_by_kind[i]; });
  for (std::size_t i = 0; i < setup.platform.settings.classes.size(); ++i) {
    const ClassSettings& c = setup.platform.settings.classes[i];
    const std::string in = "classes." + c.name + ".";
    const auto class_span = [&](const char* key, Micros ClassSettings::*field) {
      scaled<Micros>(knobs, in + key, [i, field](Settings& s) -> Micros& { return s.classes[i].*field; });
    };
    class_span("aim", &ClassSettings::latency_objective);
    class_span("deadline", &ClassSettings::deadline);
    class_span("aim_per_1000_tokens", &ClassSettings::latency_objective_per_1000_tokens);
    class_span("token_aim", &ClassSettings::inter_token_objective);
    if (c.idempotency == Idempotency::idempotent_with_key)
      class_span("window", &ClassSettings::retry_window);
    scaled<double>(knobs, in + "worth", [i](Settings& s) -> double& { return s.classes[i].priority_weight; });
    Knob effect{in + "effect",
                [i](const Settings& s) {
                  static constexpr const char* words[] = {"safe", "keyed", "unsafe"};
                  return std::string(words[static_cast<int>(s.classes[i].idempotency)]);
                },
                {}};
    for (const Idempotency to :
         {Idempotency::idempotent, Idempotency::idempotent_with_key, Idempotency::not_idempotent})
      effect.ways.push_back([i, to](Settings& s) {
        ClassSettings& one = s.classes[i];
        if (one.idempotency == to)
          return false;
        one.idempotency = to;
        return true;
      });
    knobs.push_back(std::move(effect));
    if (c.idempotency == Idempotency::idempotent_with_key) {
      Knob group{in + "group",
                 [i](const Settings& s) {
                   static constexpr const char* words[] = {"all", "zone", "cell"};
                   return std::string(words[static_cast<int>(s.classes[i].retry_scope)]);
                 },
                 {}};
      for (const RetryScope to : {RetryScope::all, RetryScope::zone, RetryScope::cell})
        group.ways.push_back([i, to](Settings& s) {
          RetryScope& one = s.classes[i].retry_scope;
          if (one == to)
            return false;
          one = to;
          return true;
        });
      knobs.push_back(std::move(group));
    }
  }
  return knobs;
}

}  // namespace

std::vector<Difference> compare(const std::vector<std::unique_ptr<File>>& files, const Setup& before,
                                const Setup& after) {
  std::vector<Difference> all;
  std::vector<std::unique_ptr<Case>> made;
  for (const auto& [one, file] : played(files, made)) {
    const auto a = judge(*one, before, false), b = judge(*one, after, false);
    if (a.held() == b.held() && a.run.decisions() == b.run.decisions())
      continue;
    for (const auto& story : a.run.requests) {
      const Story* other = b.run.find(story.name);
      const std::string was = course(a.run, story), is = other ? course(b.run, *other) : "not asked";
      if (was == is && a.held() == b.held())
        continue;
      all.push_back(
          {one->name, one->file + ":" + std::to_string(one->line), story.name, was, is, a.held(), b.held()});
    }
  }
  return all;
}

Audit audit(const std::vector<std::unique_ptr<File>>& files) {
  Audit result;
  std::vector<std::unique_ptr<Case>> made;
  const auto cases = played(files, made);
  struct Base {
    std::string decisions;
    bool held;
  };
  std::vector<Base> bases;
  for (const auto& [one, file] : cases) {
    const auto verdict = judge(*one, file->setup, false);
    bases.push_back({verdict.run.decisions(), verdict.held()});
  }
  // Files may be played with several configurations; a key is the same one in all of them.
  std::map<std::string, std::vector<std::pair<const File*, Knob>>> keys;
  std::vector<std::string> order;
  for (const auto& file : files)
    for (auto& knob : knobs_of(file->setup)) {
      if (!keys.count(knob.key))
        order.push_back(knob.key);
      keys[knob.key].emplace_back(file.get(), std::move(knob));
    }
  for (const auto& key : order) {
    ++result.keys;
    bool noticed = false, matters = false;
    std::size_t ways = 0;
    for (const auto& [file, knob] : keys[key])
      ways = std::max(ways, knob.ways.size());
    for (std::size_t way = 0; way < ways; ++way) {
      Change change;
      change.key = key;
      std::map<const File*, Setup> setups;
      for (const auto& [file, knob] : keys[key]) {
        if (way >= knob.ways.size())
          continue;
        Setup setup = file->setup;
        const std::string from = knob.show(setup.platform.settings);
        if (!knob.ways[way](setup.platform.settings))
          continue;
        change.from = from;
        change.to = knob.show(setup.platform.settings);
        setups[file] = std::move(setup);
      }
      if (setups.empty())
        continue;
      for (std::size_t i = 0; i < cases.size() && !change.noticed; ++i) {
        const auto setup = setups.find(cases[i].file);
        if (setup == setups.end())
          continue;
        // The rules are those of the settings as they should be, whatever a slip makes of them.
        const auto verdict =
            judge(*cases[i].one, setup->second, false, limits_of(cases[i].file->setup.platform.settings));
        change.noticed = bases[i].held && !verdict.held();
        change.matters |= change.noticed || verdict.run.decisions() != bases[i].decisions;
        if (change.noticed)
          change.noticed_by = cases[i].one->name;
      }
      noticed |= change.noticed;
      matters |= change.matters;
      result.changes.push_back(std::move(change));
    }
    result.guarded += noticed;
    result.silent += !matters;
  }
  return result;
}

}  // namespace lemonroute::expect
