#include "config/installation.h"

#include <algorithm>
#include <set>

#include "net/connection.h"

namespace lemonroute::config {
namespace {

using std::chrono::hours;
using std::chrono::milliseconds;
using std::chrono::seconds;

// The rules hold wherever the program runs; a file may be stricter.
constexpr std::int64_t most_attempts = 6;
constexpr Micros most_grace = milliseconds(500);
constexpr Micros most_held = seconds(1);

void check_address(Section& in, std::string_view key, const std::string& address) {
  try {
    net::SocketAddress{address};
  } catch (const std::invalid_argument& error) {
    in.fault(key, error.what());
  }
}

void read_settings(Section in, Platform& to) {
  Settings& s = to.settings;
  std::int64_t attempts = s.max_attempts, siblings = s.router_count, me = s.router_index;
  if (in.whole("max_attempts", attempts, 1, most_attempts))
    s.max_attempts = static_cast<std::uint32_t>(attempts);
  if (in.whole("siblings", siblings, 1, 100000))
    s.router_count = static_cast<std::uint32_t>(siblings);
  if (in.whole("me", me, 0, 99999))
    s.router_index = static_cast<std::uint32_t>(me);
  if (s.router_index >= s.router_count)
    in.fault("me", "must be below siblings, " + std::to_string(s.router_count));
  in.flag("cancel", s.cancellation_allowed);
  in.flag("retry_after", s.retry_after_allowed);
  if (in.flag("second_copies", s.hedging_allowed) && s.hedging_allowed)
    in.fault("second_copies", "breaks the rule that no two attempts of a request are out at once");
  in.span("max_retry_after", s.max_retry_after, Micros(0), hours(1));
  in.span("connect_timeout", s.connect_timeout, milliseconds(1), seconds(60));
  in.span("connection_idle", to.connection_idle, milliseconds(10), hours(24));
  in.span("release_within", s.reservation_release_timeout, milliseconds(1), most_held);
  in.span("drain_grace", s.drain_grace, Micros(0), most_grace);
  in.span("cold_for", s.slow_start_duration, Micros(0), hours(1));
  in.number("cold_from", s.slow_start_initial_capacity, 0.001, 1);
  in.span("fall_window", s.overload_window, milliseconds(1), hours(1));
  in.number("fall_multiple", s.overload_factor, 0.1, 100);
  in.span("tick", s.min_batch_interval, Micros(0), seconds(1));
  in.number("over_share_worth", s.over_quota_priority_weight, 0, 1);
  in.texts("report_columns", s.report_columns);
  std::string column;
  const auto takes = [&](std::string_view key, const char* name) {
    if (!in.text(key, column))
      return false;
    if (column != name)
      in.fault(key, std::string("the module reads it from the column '") + name + "' only");
    else if (std::find(s.report_columns.begin(), s.report_columns.end(), column) == s.report_columns.end())
      in.fault(key, "'" + column + "' is not among report_columns");
    return true;
  };
  s.report_x0_is_memory = takes("report_memory", "x0");
  s.report_x1_is_queued_tokens = takes("report_unread", "x1");
  in.end();
}

ClassSettings read_class(const std::string& name, Section in) {
  ClassSettings c;
  c.name = name;
  c.idempotency = Idempotency::idempotent;
  in.choice("effect", c.idempotency,
            {{"safe", Idempotency::idempotent},
             {"keyed", Idempotency::idempotent_with_key},
             {"unsafe", Idempotency::not_idempotent}});
  const bool grouped =
      in.choice("group", c.retry_scope,
                {{"all", RetryScope::all}, {"zone", RetryScope::zone}, {"cell", RetryScope::cell}});
  const bool window = in.span("window", c.retry_window, milliseconds(1), hours(1));
  if (c.idempotency == Idempotency::idempotent_with_key && (!grouped || !window))
    in.missing(grouped ? "window" : "group");
  if (c.idempotency != Idempotency::idempotent_with_key && (grouped || window))
    in.fault(grouped ? "group" : "window", "says nothing of a class whose effect is not keyed");
  if (!in.span("aim", c.latency_objective, milliseconds(1), hours(1)) && !in.has("aim"))
    in.missing("aim");
  if (!in.span("deadline", c.deadline, milliseconds(1), hours(1)) && !in.has("deadline"))
    in.missing("deadline");
  if (c.latency_objective > Micros(0) && c.deadline > Micros(0) && c.latency_objective > c.deadline)
    in.fault("aim", span_text(c.latency_objective) +
                        " is longer than the deadline, after which the client has given up");
  in.span("aim_per_1000_tokens", c.latency_objective_per_1000_tokens, Micros(0), hours(1));
  in.span("token_aim", c.inter_token_objective, Micros(0), seconds(60));
  in.number("aim_stretch", c.objective_slack_factor, 0, 1000);
  in.number("late_worth", c.late_priority_weight, 0, 1);
  in.number("worth", c.priority_weight, 0, 1e6);
  in.flag("stream", c.streaming);
  in.end();
  return c;
}

}  // namespace

FleetNode read_node(Section& in, const std::vector<std::string>& kinds, std::vector<std::string>& zones) {
  FleetNode node;
  node.line = in.line();
  auto& to = node.listed;
  to.zone = zones.empty() ? "a" : zones.front();
  if (!in.text("name", to.name)) {
    if (!in.has("name"))
      in.missing("name");
  }
  if (in.text("address", to.address))
    check_address(in, "address", to.address);
  if (!in.text("kind", to.kind)) {
    if (!in.has("kind"))
      in.missing("kind");
  } else if (std::find(kinds.begin(), kinds.end(), to.kind) == kinds.end()) {
    in.fault("kind", "'" + to.kind + "' is not a known kind");
  }
  in.text("zone", to.zone);
  if (std::find(zones.begin(), zones.end(), to.zone) == zones.end()) {
    if (zones.size() >= 255)
      in.fault("zone", "there are more than 255 zones");
    else
      zones.push_back(to.zone);
  }
  std::int64_t cell = 0;
  if (in.whole("cell", cell, 0, unknown_cell - 1))
    to.cell = static_cast<std::uint16_t>(cell);
  double weight = 1;
  if (in.number("weight", weight, 0, 1000))
    to.weight = static_cast<float>(weight);
  in.choice("phase", to.state, {{"active", EndpointState::ready}, {"leaving", EndpointState::draining}});
  return node;
}

Installation read_installation(Section& file) {
  Installation result;
  Platform& to = result.platform;
  to.name = Installation::unnamed;
  // Where a file says nothing, these hold.
  Settings& s = to.settings;
  s.max_attempts = 4;
  s.cancellation_allowed = true;
  s.retry_after_allowed = true;
  s.max_retry_after = seconds(2);
  s.connect_timeout = milliseconds(250);
  s.reservation_release_timeout = seconds(1);
  s.drain_grace = milliseconds(500);
  s.slow_start_duration = seconds(12);
  s.slow_start_initial_capacity = 0.25;
  s.overload_factor = 2.5;
  s.overload_window = seconds(1);
  s.min_batch_interval = milliseconds(4);
  to.connection_idle = seconds(8);

  for (const char* key : {"serve", "settings", "kinds", "classes", "fleet"})
    result.stated |= file.has(key);
  if (auto in = file.table("serve")) {
    in->text("name", to.name);
    if (in->text("listen", to.listen))
      check_address(*in, "listen", to.listen);
    if (in->text("discovery", to.discovery))
      check_address(*in, "discovery", to.discovery);
    std::int64_t sockets = 1024;
    if (in->whole("sockets", sockets, 64, 1000000))
      to.sockets = static_cast<std::size_t>(sockets);
    auto memory_mb = static_cast<std::int64_t>(to.memory_mb);
    if (in->whole("memory_mb", memory_mb, 16, 1000000))
      to.memory_mb = static_cast<std::size_t>(memory_mb);
    in->end();
  }
  if (auto in = file.table("settings"))
    read_settings(*in, to);
  for (auto& [name, in] : file.tables("kinds")) {
    Role role = Role::mixed;
    if (!in.choice("role", role, {{"read", Role::prefill}, {"write", Role::decode}, {"both", Role::mixed}}) &&
        !in.has("role"))
      in.missing("role");
    double tokens = 0;
    in.number("tokens", tokens, 1, 1e9);
    in.end();
    to.kinds.push_back(name);
    s.role_by_kind.push_back(role);
    s.kv_cache_tokens_by_kind.push_back(tokens);
  }
  if (to.kinds.size() > 255)
    file.fault("kinds", "there are more than 255");
  for (auto& [name, in] : file.tables("classes")) {
    result.classes.push_back({name, in.line()});
    s.classes.push_back(read_class(name, in));
  }
  std::set<std::string> names, addresses;
  result.fixed = file.has("fleet");
  for (auto& in : file.list("fleet")) {
    auto node = read_node(in, to.kinds, to.zones);
    if (!node.listed.name.empty() && !names.insert(node.listed.name).second)
      in.fault("name", "'" + node.listed.name + "' is there twice");
    if (!in.has("address"))
      in.missing("address");
    else if (!node.listed.address.empty() && !addresses.insert(node.listed.address).second)
      in.fault("address", "'" + node.listed.address + "' is another node's");
    in.end();
    to.known.nodes.push_back(std::move(node.listed));
  }
  to.known.version = 1;
  to.known.whole = true;
  if (result.fixed && !to.discovery.empty())
    file.fault("fleet", "the nodes come from here or from serve.discovery, not from both");
  if (to.zones.empty())
    to.zones.push_back("a");
  return result;
}

}  // namespace lemonroute::config
