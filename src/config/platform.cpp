#include "config/platform.h"

#include <charconv>
#include <fstream>
#include <nlohmann/json.hpp>
#include <set>
#include <sstream>
#include <utility>

#include "config/known_settings.h"
#include "net/connection.h"
#include "wire/settings.h"

namespace lemonroute::config {
namespace {

using nlohmann::json;

constexpr double largest_memory_mb = 1e9;

std::string plain(const json& value) {
  std::string text = value.is_string() ? value.get<std::string>() : value.is_null() ? "" : value.dump();
  for (char& c : text)
    if (c == ' ' || c == ',' || c == '\n' || c == '\r')
      c = '_';
  return text;
}

void flatten_into(const json& value, const std::string& path, std::string& lines) {
  std::string prefix = path;
  if (!prefix.empty())
    prefix += '.';
  if (value.is_object()) {
    for (const auto& [key, item] : value.items())
      flatten_into(item, prefix + key, lines);
    return;
  }
  if (value.is_array() && !value.empty() && value.front().is_object()) {
    lines += prefix + "count=" + std::to_string(value.size()) + "\n";
    for (std::size_t i = 0; i < value.size(); ++i)
      flatten_into(value[i], prefix + std::to_string(i), lines);
    return;
  }
  std::string text;
  if (value.is_array())
    for (const auto& item : value) {
      if (!text.empty())
        text += ',';
      text += plain(item);
    }
  else
    text = plain(value);
  lines.append(path).append("=").append(text).append("\n");
}

std::vector<std::string> names(const json& settings, const char* key) {
  std::vector<std::string> list;
  for (const auto& item : settings.at(key))
    list.push_back(item.get<std::string>());
  return list;
}

// Guards against a file that was cut or mistyped: a key that is absent would be taken for its usual value,
// which may be no deadline at all.
void check_complete(const json& config) {
  const auto need = [](const json& in, const std::string& of, std::initializer_list<const char*> keys) {
    for (const char* key : keys)
      if (!in.contains(key))
        throw ConfigError(of + key + " is missing");
  };
  if (!config.is_object())
    throw ConfigError("it is no JSON object");
  need(config, "", {"name", "listen", "discovery", "settings"});
  const json& settings = config.at("settings");
  need(settings, "settings: ", {"extra", "kinds", "lanes", "limits", "safety", "siblings", "zones"});
  need(settings.at("limits"), "settings: limits.", {"conn-idle-us", "connect-timeout-us", "max-attempts"});
  for (const auto& lane : settings.at("lanes"))
    need(lane, "settings: lanes: ", {"name", "idempotency", "slo-us", "hard-limit-us"});
}

// Leaves out what the platform allows and this router never makes use of, so that nothing comes to depend on
// it: the writer is chosen when the read has ended, so no place is held ahead; one attempt is out at a time;
// a stream that broke goes on by the client's asking again, as any request does. Not using them breaks no
// rule.
std::vector<std::string> leave_out_unused(Settings& settings) {
  std::vector<std::string> unused;
  for (auto [allowed, key] : {std::pair{&settings.reservation_allowed, "extra.early-pairing"},
                              std::pair{&settings.stream_resume_allowed, "extra.resume"},
                              std::pair{&settings.hedging_allowed, "limits.second-copies"}})
    if (std::exchange(*allowed, false))
      unused.push_back(key);
  return unused;
}

// Guards against clients that name a class or tenant as the file has it: flattened, its spaces and commas are
// others.
void keep_names(const json& settings, Settings& to) {
  const auto& lanes = settings.at("lanes");
  for (std::size_t i = 0; i < to.classes.size(); ++i)
    to.classes[i].name = lanes.at(i).at("name").get<std::string>();
  const auto accounts = settings.find("accounts");
  for (std::size_t i = 0; i < to.tenants.size(); ++i)
    to.tenants[i].name = accounts->at(i).value("name", "");
}

std::uint64_t seed_of(const json& config) {
  const auto found = config.find("seed");
  if (found == config.end())
    return 0;
  if (found->is_number_unsigned())
    return found->get<std::uint64_t>();
  const auto text = found->get<std::string>();
  std::uint64_t seed = 0;
  std::from_chars(text.data(), text.data() + text.size(), seed, 16);
  return seed;
}

std::size_t memory_limit(const json& limits, std::size_t usual) {
  const auto found = limits.find("memory_mb");
  if (found == limits.end())
    return usual;
  if (!found->is_number() || found->get<double>() < 1)
    throw ConfigError("limits.memory_mb must be a number from 1 on");
  return static_cast<std::size_t>(std::min(found->get<double>(), largest_memory_mb));
}

void check_usable(const Settings& settings) {
  if (settings.classes.empty())
    throw ConfigError("settings: no classes in lanes");
  if (settings.max_attempts == 0)
    throw ConfigError("settings: limits.max-attempts must be a positive number");
  std::set<std::string> names;
  for (const auto& one : settings.classes) {
    const std::string lane = "settings: lanes: '" + one.name + "': ";
    if (one.name.empty())
      throw ConfigError("settings: lanes: a name is missing");
    if (!names.insert(one.name).second)
      throw ConfigError(lane + "is there twice");
    if (one.deadline <= Micros(0))
      throw ConfigError(lane + "hard-limit-us must be a positive number");
    if (one.latency_objective <= Micros(0))
      throw ConfigError(lane + "slo-us must be a positive number");
  }
}

}  // namespace

std::string flatten(const json& settings) {
  std::string lines;
  flatten_into(settings, "", lines);
  return lines;
}

Platform parse_platform(const std::string& text) {
  try {
    json config = json::parse(text);
    const Unread left = unread(config);
    drop_nulls(config);
    check_complete(config);
    Platform platform;
    platform.name = config.value("name", "");
    platform.listen = config.value("listen", "");
    platform.discovery = config.value("discovery", "");
    platform.management = config.value("mgmt", "");
    platform.not_read = left.unused;
    platform.unknown = left.unknown;
    platform.seed = seed_of(config);
    if (const auto limits = config.find("limits"); limits != config.end()) {
      platform.sockets = limits->value("sockets", platform.sockets);
      platform.memory_mb = memory_limit(*limits, platform.memory_mb);
    }
    const json& settings = config.at("settings");
    platform.settings = parse_settings(flatten(settings));
    keep_names(settings, platform.settings);
    platform.unused = leave_out_unused(platform.settings);
    check_usable(platform.settings);
    platform.zones = names(settings, "zones");
    platform.kinds = names(settings, "kinds");
    platform.connection_idle =
        Micros(static_cast<Micros::rep>(settings.at("limits").at("conn-idle-us").get<double>()));
    if (platform.connection_idle <= Micros(0) || platform.settings.connect_timeout <= Micros(0))
      throw ConfigError(
          "settings: limits.conn-idle-us and limits.connect-timeout-us must be positive numbers");
    if (const auto known = config.find("known"); known != config.end() && !known->is_null())
      platform.known = discovery::parse_list(*known);
    return platform;
  } catch (const json::exception& error) {
    throw ConfigError(error.what());
  } catch (const SettingsError& error) {
    throw ConfigError(error.what());
  } catch (const discovery::ListError& error) {
    throw ConfigError(std::string("known: ") + error.what());
  }
}

namespace {

Platform read_platform(const Variables& variable) {
  const char* path = variable("BALANCER_CONFIG");
  if (!path)
    throw ConfigError("BALANCER_CONFIG is not set");
  std::ifstream file(path);
  if (!file)
    throw ConfigError(std::string(path) + ": cannot be read");
  std::ostringstream text;
  text << file.rdbuf();  // an empty file is left to the parser to refuse
  try {
    return parse_platform(text.str());
  } catch (const ConfigError& error) {
    throw ConfigError(std::string(path) + ": " + error.what());
  }
}

void check_address(const char* name, const std::string& address) {
  try {
    net::SocketAddress{address};
  } catch (const std::invalid_argument& error) {
    throw ConfigError(std::string(name) + ": " + error.what());
  }
}

}  // namespace

Platform load_platform(const Variables& variable) {
  Platform platform = read_platform(variable);
  for (auto [name, field] :
       {std::pair{"BALANCER_NAME", &platform.name}, std::pair{"BALANCER_LISTEN", &platform.listen},
        std::pair{"BALANCER_DISCOVERY", &platform.discovery},
        std::pair{"BALANCER_MGMT", &platform.management}})
    if (const char* value = variable(name))
      *field = value;
  check_address("listen", platform.listen);
  check_address("discovery", platform.discovery);
  if (const char* text = variable("BALANCER_SOCKET_FD"); text && *text) {
    const char* const end = text + std::char_traits<char>::length(text);
    int fd = -1;
    if (const auto [stop, error] = std::from_chars(text, end, fd);
        error != std::errc() || stop != end || fd < 0)
      throw ConfigError("BALANCER_SOCKET_FD: '" + std::string(text) + "' is not a descriptor");
    platform.socket = fd;
  }
  if (!platform.management.empty())
    check_address("mgmt", platform.management);
  return platform;
}

Platform reload_platform(const Variables& variable) {
  Platform platform = read_platform(variable);
  check_address("discovery", platform.discovery);
  return platform;
}

}  // namespace lemonroute::config
