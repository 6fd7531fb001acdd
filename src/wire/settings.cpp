#include "wire/settings.h"

#include <charconv>
#include <cmath>
#include <map>

namespace lemonroute {
namespace {

class Table {
 public:
  explicit Table(std::string_view text) {
    while (!text.empty()) {
      const auto end = text.find('\n');
      std::string_view line = text.substr(0, end);
      text.remove_prefix(end == std::string_view::npos ? text.size() : end + 1);
      if (!line.empty() && line.back() == '\r')
        line.remove_suffix(1);
      const auto equals = line.find('=');
      if (equals != std::string_view::npos)
        values_.emplace(line.substr(0, equals), line.substr(equals + 1));
    }
  }

  bool has(const std::string& key) const { return values_.count(key) != 0; }
  std::string_view text(const std::string& key) const {
    const auto found = values_.find(key);
    if (found == values_.end())
      throw SettingsError("setting " + key + " is missing");
    return found->second;
  }
  std::string_view text(const std::string& key, std::string_view otherwise) const {
    return has(key) ? text(key) : otherwise;
  }
  double number(const std::string& key) const { return parse(key, text(key)); }
  double number(const std::string& key, double otherwise) const { return has(key) ? number(key) : otherwise; }
  Micros time(const std::string& key) const { return Micros(static_cast<Micros::rep>(number(key))); }
  Micros time(const std::string& key, Micros otherwise) const { return has(key) ? time(key) : otherwise; }
  std::uint32_t count(const std::string& key) const {
    const double value = number(key);
    if (value < 0 || value > 4294967295.0 || value != std::floor(value))
      throw SettingsError("setting " + key + ": '" + std::string(text(key)) + "' is not a count");
    return static_cast<std::uint32_t>(value);
  }
  std::uint32_t count(const std::string& key, std::uint32_t otherwise) const {
    return has(key) ? count(key) : otherwise;
  }
  bool flag(const std::string& key, bool otherwise) const {
    if (!has(key))
      return otherwise;
    return pick<bool>(key, {{"true", true}, {"false", false}});
  }
  template <class T>
  T pick(const std::string& key, const std::map<std::string_view, T>& words) const {
    return choose(key, text(key), words);
  }
  template <class T>
  T choose(const std::string& key, std::string_view word, const std::map<std::string_view, T>& words) const {
    const auto found = words.find(word);
    if (found == words.end())
      throw SettingsError("setting " + key + ": '" + std::string(word) + "' is not known");
    return found->second;
  }
  std::vector<std::string_view> list(const std::string& key) const {
    std::vector<std::string_view> items;
    if (!has(key) || text(key).empty())
      return items;
    std::string_view rest = text(key);
    for (;;) {
      const auto comma = rest.find(',');
      items.push_back(rest.substr(0, comma));
      if (comma == std::string_view::npos)
        return items;
      rest.remove_prefix(comma + 1);
    }
  }
  std::vector<double> numbers(const std::string& key) const {
    std::vector<double> items;
    for (const auto item : list(key))
      items.push_back(parse(key, item));
    return items;
  }

 private:
  static double parse(const std::string& key, std::string_view text) {
    double value = 0;
    const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), value);
    if (error != std::errc() || end != text.data() + text.size() || !std::isfinite(value) ||
        std::abs(value) > 1e15)
      throw SettingsError("setting " + key + ": '" + std::string(text) + "' is not a usable number");
    return value;
  }
  std::map<std::string, std::string, std::less<>> values_;
};

}  // namespace

Settings parse_settings(std::string_view text) {
  const Table table(text);
  Settings s;
  const auto class_count = table.count("lanes.count");
  const auto per_1000 = table.numbers("extra.aim-us-per-1000-prompt-tokens");
  const auto token_aim = table.numbers("extra.token-aim-us");
  const auto at = [](const std::vector<double>& values, std::size_t i) {
    return Micros(i < values.size() ? static_cast<Micros::rep>(values[i]) : 0);
  };
  if (class_count > 65536)
    throw SettingsError("setting lanes.count: too large");
  for (std::uint32_t i = 0; i < class_count; ++i) {
    const std::string at_i = "lanes." + std::to_string(i) + ".";
    ClassSettings c;
    c.name = table.text(at_i + "name", "");
    c.idempotency =
        table.pick<Idempotency>(at_i + "idempotency", {{"read_like", Idempotency::idempotent},
                                                       {"idempotency_key", Idempotency::idempotent_with_key},
                                                       {"non_idempotent", Idempotency::not_idempotent}});
    if (c.idempotency == Idempotency::idempotent_with_key) {
      c.retry_scope = table.pick<RetryScope>(
          at_i + "group", {{"all", RetryScope::all}, {"zone", RetryScope::zone}, {"cell", RetryScope::cell}});
      c.retry_window = table.time(at_i + "window-us");
    }
    c.latency_objective = table.time(at_i + "slo-us");
    c.deadline = table.time(at_i + "hard-limit-us", Micros(0));
    c.latency_objective_per_1000_tokens = at(per_1000, i);
    c.inter_token_objective = at(token_aim, i);
    c.objective_slack_factor = table.number(at_i + "aim-stretch", 0);
    c.late_priority_weight = table.number(at_i + "late-worth", 0);
    c.priority_weight = table.number(at_i + "worth", 1);
    c.streaming = table.flag(at_i + "stream", false);
    s.classes.push_back(std::move(c));
  }
  const auto tenant_count = table.count("accounts.count", 0);
  if (tenant_count > 65536)
    throw SettingsError("setting accounts.count: too large");
  for (std::uint32_t i = 0; i < tenant_count; ++i) {
    const std::string at_i = "accounts." + std::to_string(i) + ".";
    s.tenants.push_back({std::string(table.text(at_i + "name", "")), table.number(at_i + "quota-rps", 0),
                         table.number(at_i + "share", 0)});
  }
  table.text("extra.kind-role");  // no role can be guessed
  for (const auto role : table.list("extra.kind-role"))
    s.role_by_kind.push_back(table.choose<Role>(
        "extra.kind-role", role, {{"read", Role::prefill}, {"write", Role::decode}, {"both", Role::mixed}}));
  s.kv_cache_tokens_by_kind = table.numbers("extra.tokens-by-kind");
  for (const auto column : table.list("report.columns"))
    s.report_columns.emplace_back(column);
  s.report_x0_is_memory = table.text("extra.report-x0", "").find("memory") != std::string_view::npos;
  s.report_x1_is_queued_tokens =
      table.text("extra.report-x1", "").find("prompt_tokens") != std::string_view::npos;
  s.report_by_probe = table.text("report.how", "") == "pull";
  s.endpoint_list_is_polled =
      table.has("discovery") && table.pick<bool>("discovery", {{"pushed", false}, {"on_request", true}});
  s.decode_nodes_prefill = table.flag("extra.read-in-place", false);
  s.stream_resume_allowed = table.flag("extra.resume", false);
  s.reservation_allowed = table.flag("extra.early-pairing", false);
  s.cancellation_allowed = table.flag("limits.cancel", false);
  s.probing_allowed = table.flag("limits.probes", false);
  s.hedging_allowed = table.flag("limits.second-copies", false);
  s.retry_after_allowed = table.flag("limits.retry-after", false);
  s.retry_attempt_header = table.flag("clients.marks-retry", false);
  s.max_attempts = table.count("limits.max-attempts");
  s.max_retry_after = table.time("limits.max-retry-after-us", Micros(0));
  s.connect_timeout = table.time("limits.connect-timeout-us", Micros(0));
  s.reservation_release_timeout = table.time("extra.release-us");
  s.answer_slack = table.time("safety.answer-slack-us", Micros(0));
  s.poll_interval = table.time("safety.ask-every-us", Micros(0));
  s.slow_start_duration = table.time("safety.cold-us");
  s.slow_start_initial_capacity = table.number("safety.cold-from");
  s.drain_grace = table.time("safety.drain-grace-us", Micros(0));
  s.overload_factor = table.number("safety.fall-multiple");
  s.overload_window = table.time("safety.fall-us");
  s.over_quota_priority_weight = table.number("over-share-worth", 1);
  s.min_batch_interval = table.time("tick-us", Micros(0));
  s.router_index = table.count("me", 0);
  s.router_count = std::max<std::uint32_t>(1, table.count("siblings"));
  s.router_zone = table.count("locality", 0);
  return s;
}

}  // namespace lemonroute
