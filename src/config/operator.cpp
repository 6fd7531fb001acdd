#include "config/operator.h"

#include <toml++/toml.h>

#include <algorithm>
#include <functional>
#include <map>
#include <set>
#include <stdexcept>

#include "net/connection.h"

namespace lemonroute::config {
namespace {

constexpr std::int64_t most_connections = 256;

class Reader {
 public:
  Reader(std::string path, std::vector<Fault>& faults) : path_(std::move(path)), faults_(faults) {}

  void read(const toml::table& root, Operator& to) {
    using Take = std::function<void(const std::string&, const toml::node&)>;
    const auto string = [this](std::string& field) -> Take {
      return [this, &field](auto& key, auto& node) { text(key, node, field); };
    };
    const auto address = [this](std::string& field) -> Take {
      return [this, &field](auto& key, auto& node) {
        if (text(key, node, field))
          check_address(key, node, field);
      };
    };
    const std::map<std::string, Take> keys{
        {"application", string(to.application)},
        {"platform.config", string(to.platform_file)},
        {"log.level",
         [&](auto& key, auto& node) {
           std::string word;
           if (text(key, node, word) && !logging::parse_level(word, to.log_level))
             fault(node, key, "'" + word + "' is not debug, info, warn or error");
         }},
        {"http.listen", [&](auto& key, auto& node) { addresses(key, node, to.http_listen); }},
        {"grpc.listen", address(to.grpc_listen)},
        {"grpc.connections",
         [&](auto& key, auto& node) {
           const auto number = node.template value_exact<std::int64_t>();
           if (!number || *number < 1 || *number > most_connections)
             fault(node, key, "must be a whole number from 1 to " + std::to_string(most_connections));
           else
             to.grpc_connections = *number;
         }},
        {"nodes.protocol",
         [&](auto& key, auto& node) {
           std::string word;
           if (!text(key, node, word))
             return;
           if (word != "http" && word != "grpc")
             fault(node, key, "'" + word + "' is not http or grpc");
           to.grpc_nodes = word == "grpc";
         }},
        {"agent_check.listen", address(to.agent_check_listen)},
        {"management.listen", address(to.management_listen)},
    };
    std::set<std::string> sections;
    for (const auto& [key, take] : keys)
      if (const auto dot = key.find('.'); dot != std::string::npos)
        sections.insert(key.substr(0, dot));

    // Read elsewhere: config/installation.cpp, config/fleet.cpp.
    const std::set<std::string> elsewhere{"serve", "settings", "kinds",  "classes",
                                          "fleet", "peers",    "regions"};
    const auto one = [&](const std::string& key, const toml::node& node) {
      const auto found = keys.find(key);
      if (found != keys.end())
        found->second(key, node);
      else
        fault(node, key, sections.count(key) ? "must be a section, [" + key + "]" : "is not a known key");
    };
    for (const auto& [name, node] : root) {
      const std::string key(name.str());
      if (elsewhere.count(key))
        continue;
      const toml::table* section = node.as_table();
      if (!section || !sections.count(key)) {
        one(key, node);
        continue;
      }
      for (const auto& [inner, value] : *section)
        one(key + "." + std::string(inner.str()), value);
    }
  }

 private:
  void fault(const toml::node& node, const std::string& key, std::string what) {
    faults_.push_back({path_, node.source().begin.line, key, std::move(what)});
  }
  bool text(const std::string& key, const toml::node& node, std::string& field) {
    const auto value = node.value_exact<std::string>();
    if (value && !value->empty())
      field = *value;
    else
      fault(node, key, "must be a text that is not empty");
    return value && !value->empty();
  }
  void check_address(const std::string& key, const toml::node& node, const std::string& address) {
    try {
      net::SocketAddress{address};
      if (!address.ends_with(":0") && !seen_.insert(address).second)
        fault(node, key, "'" + address + "' is listened on already");
    } catch (const std::invalid_argument& error) {
      fault(node, key, error.what());
    }
  }
  void addresses(const std::string& key, const toml::node& node, std::vector<std::string>& field) {
    const toml::array* list = node.as_array();
    if (!list)
      return fault(node, key, "must be a list of addresses");
    for (const auto& item : *list) {
      std::string address;
      if (!text(key, item, address))
        continue;
      check_address(key, item, address);
      field.push_back(address);
    }
  }

  std::string path_;
  std::vector<Fault>& faults_;
  std::set<std::string> seen_;
};

}  // namespace

Operator read_operator(const std::string& path, std::vector<Fault>& faults) {
  Operator result;
  const auto root = parse_toml(path, faults);
  if (!root)
    return result;
  Reader(path, faults).read(*root, result);
  Section file(*root, path, "", faults);
  result.installation = read_installation(file);
  result.peers = read_peers(file);
  result.regions = read_regions(file);
  return result;
}

void check_classes(const Operator& settings, const std::string& path, const Platform& platform,
                   std::vector<Fault>& faults) {
  for (const auto& [name, line] : settings.installation.classes) {
    const auto& known = platform.settings.classes;
    if (std::any_of(known.begin(), known.end(), [&name = name](auto& one) { return one.name == name; }))
      continue;
    std::string all;
    for (const auto& one : known)
      all += (all.empty() ? "" : ", ") + one.name;
    faults.push_back({path, line, "classes." + name, "is no class of the platform's, which knows " + all});
  }
}

void check_alone(const Operator& settings, const std::string& path, std::vector<Fault>& faults) {
  const Installation& in = settings.installation;
  const auto need = [&](bool there, const char* key, const char* what) {
    if (!there)
      faults.push_back({path, 0, key, what});
  };
  need(!in.platform.listen.empty(), "serve.listen", "is missing, and no platform's file is given");
  need(!in.classes.empty(), "classes", "is missing, and no platform's file is given");
  need(!in.platform.kinds.empty(), "kinds", "is missing, and no platform's file is given");
  // Danger: routers of the default's name would all be one to their peers.
  need(!settings.peers || !settings.peers->at.empty() || in.platform.name != Installation::unnamed,
       "serve.name", "is missing: peers know each other by name");
  need(in.fixed || !in.platform.discovery.empty(), "fleet", "is missing, and no serve.discovery is given");
}

std::string operator_template(const std::string& application) {
  std::string quoted;
  for (const char c : application) {
    if (c == '"' || c == '\\')
      quoted += '\\';
    quoted += c;
  }
  return R"(# lemonroute's settings for one application. Check this file with: lemonroute config check FILE
# Everything here is optional; a key that is left out, or commented out, has the value shown.

# Whose sidecar this is; the log names it at the start.
application = ")" +
         quoted + R"("

[platform]
# The file that the platform writes, instead of the one that BALANCER_CONFIG names.
# config = "/run/balancer/config.json"

[log]
# debug, info, warn or error. debug tells of every attempt.
level = "info"

[http]
# Addresses for the HTTP front beside the platform's own, which is always on.
# listen = ["127.0.0.1:8080"]

[grpc]
# The gRPC front (lemonroute.v1.Drafting) and grpc.health.v1. Off unless an address is given.
# listen = "127.0.0.1:9090"
# Most connections at once; each carries up to 128 calls.
connections = 64

[nodes]
# How nodes are spoken to: http, or grpc (lemonroute.v1.Node).
protocol = "http"

[agent_check]
# For HAProxy's agent-check. Off unless an address is given.
# listen = "127.0.0.1:9091"

[management]
# For operators: GET /ready and /metrics, POST /instances/disable?name=ID and /instances/enable?name=ID. Where it is
# left out, the platform's file (mgmt) or BALANCER_MGMT says; without any of them it is off.
# listen = "127.0.0.1:9092"

# ---- Routers that know each other; docs/fleet.md ----
# Off unless the section is there.

# [peers]
# listen = "10.0.0.7:7946"    # UDP; advertise is where others send to, if that is another address
# site = "a"                  # the zone of the list in which this router stands
# seeds = ["10.0.0.8:7946", "10.1.0.8:7946"]  # routers to join by; any one is enough
# key_files = ["fleet.key"]   # lemonroute config key FILE makes one; the first seals, each one opens
# period = "1s"               # one probe each
# siblings_least = 1          # bounds of what the number of routers seen makes of settings.siblings
# siblings_most = 100000

# [peers.at.estratti-1]       # listen, advertise and site of the router of that name, so that one file serves all
# listen = "10.0.0.7:7946"

# [regions.nord]              # sites by region; keepers: 1, 3, 5 or 7 routers that keep the rights to its pools
# sites = ["a", "b"]
# keepers = ["estratti-1", "estratti-2", "estratti-3"]

# ---- Without a platform ----
# Where a platform's file is given (BALANCER_CONFIG, or platform.config above), it wins in all that follows, and
# [classes.NAME] may only name classes that it knows. Without one, all of this is needed.

# [serve]
# name = "estratti-1"
# listen = "127.0.0.1:8000"
# sockets = 1024              # most descriptors
# memory_mb = 256             # the process is killed over this; bounds what is held for clients
# discovery = "127.0.0.1:8500"  # instead of [[fleet]]

# [settings]
# max_attempts = 4            # of a request, 1 to 6
# siblings = 1                # routers that share the nodes, this one among them; me is its number from 0
# connect_timeout = "250ms"
# connection_idle = "8s"      # nodes close connections idle for so long
# max_retry_after = "2s"
# cold_for = "12s"            # how long a started node is cold; cold_from is its share of strength at the start
# cold_from = 0.25
# fall_window = "1s"          # sent more than fall_multiple times its strength for so long, a cold node topples
# fall_multiple = 2.5
# report_columns = ["active", "waiting", "x0", "x1"]
# report_memory = "x0"
# report_unread = "x1"

# [kinds.reader]
# role = "read"               # read, write or both
# tokens = 200000             # its memory

# [classes.estratto]
# effect = "safe"             # safe, keyed (with group and window) or unsafe: what doing it twice would do
# aim = "1500ms"              # to the first token; aim_per_1000_tokens is added for the prompt's length
# deadline = "6s"             # the client gives up then
# aim_per_1000_tokens = "40ms"
# token_aim = "60ms"
# worth = 1.0

# [[fleet]]
# name = "r1"
# address = "127.0.0.1:7001"
# kind = "reader"
# zone = "a"
# cell = 1
)";
}

}  // namespace lemonroute::config
