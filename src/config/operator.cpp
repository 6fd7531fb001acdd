#include "config/operator.h"

#include <toml++/toml.h>

#include <functional>
#include <map>
#include <set>
#include <sstream>
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
        if (text(key, node, field)) check_address(key, node, field);
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
           else to.grpc_connections = *number;
         }},
        {"nodes.protocol",
         [&](auto& key, auto& node) {
           std::string word;
           if (!text(key, node, word)) return;
           if (word != "http" && word != "grpc") fault(node, key, "'" + word + "' is not http or grpc");
           to.grpc_nodes = word == "grpc";
         }},
        {"agent_check.listen", address(to.agent_check_listen)},
        {"management.listen", address(to.management_listen)},
    };
    std::set<std::string> sections;
    for (const auto& [key, take] : keys)
      if (const auto dot = key.find('.'); dot != std::string::npos) sections.insert(key.substr(0, dot));

    const auto one = [&](const std::string& key, const toml::node& node) {
      const auto found = keys.find(key);
      if (found != keys.end()) found->second(key, node);
      else fault(node, key, sections.count(key) ? "must be a section, [" + key + "]" : "is not a known key");
    };
    for (const auto& [name, node] : root) {
      const std::string key(name.str());
      const toml::table* section = node.as_table();
      if (!section || !sections.count(key)) {
        one(key, node);
        continue;
      }
      for (const auto& [inner, value] : *section) one(key + "." + std::string(inner.str()), value);
    }
  }

 private:
  void fault(const toml::node& node, const std::string& key, std::string what) {
    faults_.push_back({path_, node.source().begin.line, key, std::move(what)});
  }
  bool text(const std::string& key, const toml::node& node, std::string& field) {
    const auto value = node.value_exact<std::string>();
    if (value && !value->empty()) field = *value;
    else fault(node, key, "must be a text that is not empty");
    return value && !value->empty();
  }
  void check_address(const std::string& key, const toml::node& node, const std::string& address) {
    try {
      net::Endpoint{address};
      if (!address.ends_with(":0") && !seen_.insert(address).second)
        fault(node, key, "'" + address + "' is listened on already");
    } catch (const std::invalid_argument& error) {
      fault(node, key, error.what());
    }
  }
  void addresses(const std::string& key, const toml::node& node, std::vector<std::string>& field) {
    const toml::array* list = node.as_array();
    if (!list) return fault(node, key, "must be a list of addresses");
    for (const auto& item : *list) {
      std::string address;
      if (!text(key, item, address)) continue;
      check_address(key, item, address);
      field.push_back(address);
    }
  }

  std::string path_;
  std::vector<Fault>& faults_;
  std::set<std::string> seen_;
};

}  // namespace

std::string Fault::text() const {
  std::ostringstream line_text;
  line_text << file;
  if (line > 0) line_text << ':' << line;
  line_text << ": ";
  if (!key.empty()) line_text << key << ": ";
  line_text << what;
  return line_text.str();
}

Operator read_operator(const std::string& path, std::vector<Fault>& faults) {
  Operator result;
  try {
    Reader(path, faults).read(toml::parse_file(path), result);
  } catch (const toml::parse_error& error) {
    faults.push_back({path, error.source().begin.line, "", std::string(error.description())});
  }
  return result;
}

std::string operator_template(const std::string& application) {
  std::string quoted;
  for (const char c : application) {
    if (c == '"' || c == '\\') quoted += '\\';
    quoted += c;
  }
  return R"(# lemonroute's settings for one application. Check this file with: lemonroute config check FILE
# Everything here is optional; a key that is left out, or commented out, has the value shown.

# Whose sidecar this is; the log names it at the start.
application = ")" + quoted + R"("

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
)";
}

}  // namespace lemonroute::config
