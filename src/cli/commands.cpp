#include "cli/commands.h"

#include <algorithm>
#include <cstdlib>
#include <filesystem>
#include <fstream>
#include <functional>
#include <iostream>
#include <map>

#include "cli/arguments.h"
#include "cli/serve.h"
#include "config/operator.h"

namespace lemonroute::cli {
namespace {

int report(std::vector<config::Fault> faults, std::ostream& err) {
  std::stable_sort(faults.begin(), faults.end(), [](auto& a, auto& b) { return a.line < b.line; });
  for (const auto& fault : faults)
    err << fault.text() << '\n';
  return faults.empty() ? fine : faulty;
}

config::Variables variables(const config::Operator& settings) {
  return [path = settings.platform_file](const char* name) -> const char* {
    if (std::string(name) == "BALANCER_CONFIG" && !path.empty())
      return path.c_str();
    return std::getenv(name);
  };
}

std::string joined(const std::vector<config::Fault>& faults) {
  std::string all;
  for (const auto& fault : faults)
    all += (all.empty() ? "" : "; ") + fault.text();
  return all;
}

// The platform's file where there is one, with the operator's held against it; else the operator's alone.
config::Platform load(const std::string& path, const config::Operator& settings,
                      const config::Variables& variable, bool again, std::vector<config::Fault>& faults) {
  if (variable("BALANCER_CONFIG")) {
    auto platform = again ? config::reload_platform(variable) : config::load_platform(variable);
    config::check_classes(settings, path, platform, faults);
    return platform;
  }
  if (!settings.installation.stated)
    throw config::ConfigError(
        "BALANCER_CONFIG is not set, and no --config file states classes, settings and nodes");
  config::check_alone(settings, path, faults);
  auto platform = settings.installation.platform;
  if (!again)
    for (auto [name, field] :
         {std::pair{"BALANCER_NAME", &platform.name}, std::pair{"BALANCER_LISTEN", &platform.listen},
          std::pair{"BALANCER_MGMT", &platform.management}})
      if (const char* value = variable(name))
        *field = value;
  return platform;
}

int serve_command(const Arguments& arguments, std::ostream&, std::ostream& err) {
  Usage usage{"serve [--config FILE] [--log-level LEVEL]",
              "Runs until SIGTERM. The platform's settings come by BALANCER_CONFIG, the operator's by FILE; "
              "without the\n"
              "first, FILE states classes, settings and nodes itself. SIGHUP takes changed files, or nothing "
              "of them."};
  usage.options.add_options()("config,c", po::value<std::string>(), "the operator's file")(
      "log-level,l", po::value<std::string>(), "debug, info, warn or error; wins over the file");
  const auto values = parse(arguments, usage);
  const std::string path = known(values, "config");
  std::vector<config::Fault> faults;
  config::Operator settings;
  if (!path.empty())
    settings = config::read_operator(path, faults);
  if (!faults.empty())
    return report(faults, err);
  if (values.count("log-level") && !logging::parse_level(known(values, "log-level"), settings.log_level))
    throw Misuse("--log-level: '" + known(values, "log-level") + "' is not debug, info, warn or error");
  const auto variable = variables(settings);
  const Reload reload = [&] {
    std::vector<config::Fault> wrong;
    const auto now = path.empty() ? settings : config::read_operator(path, wrong);
    auto platform = wrong.empty() ? load(path, now, variable, true, wrong) : config::Platform{};
    if (!wrong.empty())
      throw config::ConfigError(joined(wrong));
    return platform;
  };
  try {
    const auto platform = load(path, settings, variable, false, faults);
    if (settings.peers)
      settings.peers = config::peers_of(*settings.peers, platform.name, path, faults);
    if (!faults.empty())
      return report(faults, err);
    return serve(platform, settings, reload);
  } catch (const std::exception& error) {
    err << "lemonroute: " << error.what() << '\n';
    return faulty;
  }
}

int version_command(const Arguments& arguments, std::ostream& out, std::ostream&) {
  Usage usage{"version", "Prints the program's version."};
  parse(arguments, usage);
  out << "lemonroute " << LEMONROUTE_VERSION << '\n';
  return fine;
}

int init_command(const Arguments& arguments, std::ostream& out, std::ostream& err) {
  Usage usage{"config init APPLICATION [--output FILE] [--force]", "Writes a commented operator's file."};
  usage.options.add_options()("application", po::value<std::string>()->required(), "whose sidecar it is")(
      "output,o", po::value<std::string>(), "the file to write; otherwise standard output")(
      "force,f", po::bool_switch(), "overwrite the file");
  usage.places = {"application"};
  const auto values = parse(arguments, usage);
  const std::string text = config::operator_template(known(values, "application"));
  const std::string path = known(values, "output");
  if (path.empty()) {
    out << text;
    return fine;
  }
  if (std::filesystem::exists(path) && !values["force"].as<bool>()) {
    err << path << ": is there already; --force overwrites it\n";
    return faulty;
  }
  return write_new(path, text, out, err);
}

int key_command(const Arguments& arguments, std::ostream& out, std::ostream& err) {
  Usage usage{"config key FILE",
              "Writes a new key for [peers] key_files, to a file that only its owner may read."};
  usage.options.add_options()("file", po::value<std::string>()->required(), "the file to write");
  usage.places = {"file"};
  const auto values = parse(arguments, usage);
  const std::string path = known(values, "file");
  const std::string why = peers::seal::write_new_key(path);
  (why.empty() ? out << path << ": written\n" : err << path << ": " << why << '\n');
  return why.empty() ? fine : faulty;
}

int check_command(const Arguments& arguments, std::ostream& out, std::ostream& err) {
  Usage usage{"config check FILE [--platform FILE]",
              "Names each fault with its file, line and key; exit code 1 if there is one. Without a "
              "platform's file, what\n"
              "FILE states of classes, settings and nodes must be enough to start with."};
  usage.options.add_options()("file", po::value<std::string>()->required(), "the operator's file")(
      "platform,p", po::value<std::string>(), "a file of the platform's to check as well");
  usage.places = {"file"};
  const auto values = parse(arguments, usage);
  const std::string path = known(values, "file");
  std::vector<config::Fault> faults;
  const auto settings = config::read_operator(path, faults);
  std::string platform = known(values, "platform");
  if (platform.empty())
    platform = settings.platform_file;
  if (!platform.empty()) {
    try {
      const auto known_there = config::load_platform([&](const char* name) {
        return std::string(name) == "BALANCER_CONFIG" ? platform.c_str() : nullptr;
      });
      config::check_classes(settings, path, known_there, faults);
    } catch (const config::ConfigError& error) {
      err << error.what() << '\n';
      report(faults, err);
      return faulty;
    }
  } else if (settings.installation.stated && faults.empty()) {
    config::check_alone(settings, path, faults);
  }
  if (faults.empty())
    out << path << ": in order\n";
  return report(faults, err);
}

int help_command(const Arguments&, std::ostream& out, std::ostream&) {
  out << "lemonroute routes two-stage model requests, reader then writer, as a sidecar.\n\n"
         "  lemonroute serve [--config FILE] [--log-level LEVEL]\n"
         "      runs; the platform's settings come by BALANCER_CONFIG, the operator's by FILE\n"
         "  lemonroute demo [--log-level LEVEL]\n"
         "      the whole of it on loopback with stand-in nodes, a drain and a crash; ends by itself\n"
         "  lemonroute config init APPLICATION [--output FILE] [--force]\n"
         "      writes a commented operator's file\n"
         "  lemonroute config check FILE [--platform FILE]\n"
         "      names each fault with its file, line and key; exit code 1 if there is one\n"
         "  lemonroute config key FILE\n"
         "      writes a new key that the routers of a fleet share\n"
         "  lemonroute expect init|check|compare|audit ...\n"
         "      what should be decided, written beside the configuration and checked without traffic\n"
         "  lemonroute call ADDRESS [SERVICE/METHOD] [--data JSON] [--deadline TIME] ...\n"
         "      one gRPC call, JSON in and out; --list names the methods\n"
         "  lemonroute version\n"
         "  lemonroute help\n\n"
         "Each command has --help.\n";
  return fine;
}

using Command = std::function<int(const Arguments&, std::ostream&, std::ostream&)>;

int dispatch(const std::map<std::string, Command>& commands, const Arguments& arguments, std::ostream& out,
             std::ostream& err, const char* of) {
  const auto found = arguments.empty() ? commands.end() : commands.find(arguments.front());
  if (found != commands.end())
    return found->second(Arguments(arguments.begin() + 1, arguments.end()), out, err);
  if (arguments.empty())
    throw Misuse("a command is missing");
  std::string all;
  for (const auto& [name, command] : commands)
    if (name.front() != '-')
      all += "  lemonroute " + std::string(of) + name + " --help\n";
  if (arguments.front() == "--help" || arguments.front() == "-h")
    throw HelpAsked("One of\n\n" + all);
  throw Misuse("there is no command '" + std::string(of) + arguments.front() + "'");
}

}  // namespace

int write_new(const std::string& path, const std::string& text, std::ostream& out, std::ostream& err) {
  std::ofstream file(path);
  if (!(file << text << std::flush)) {
    err << path << ": cannot be written\n";
    return faulty;
  }
  out << path << ": written\n";
  return fine;
}

int run(const Arguments& arguments, std::ostream& out, std::ostream& err) {
  const std::map<std::string, Command> config{
      {"init", init_command}, {"check", check_command}, {"key", key_command}};
  const std::map<std::string, Command> expect{{"init", expect_init_command},
                                              {"check", expect_check_command},
                                              {"compare", expect_compare_command},
                                              {"audit", expect_audit_command}};
  const auto group = [](const std::map<std::string, Command>& of, const char* name) -> Command {
    return [&of, name](auto& rest, auto& o, auto& e) { return dispatch(of, rest, o, e, name); };
  };
  const std::map<std::string, Command> commands{{"serve", serve_command},
                                                {"demo", demo_command},
                                                {"call", call_command},
                                                {"version", version_command},
                                                {"--version", version_command},
                                                {"help", help_command},
                                                {"--help", help_command},
                                                {"-h", help_command},
                                                {"config", group(config, "config ")},
                                                {"expect", group(expect, "expect ")}};
  try {
    return dispatch(commands, arguments, out, err, "");
  } catch (const HelpAsked& help) {
    out << help.what();
    return fine;
  } catch (const Misuse& error) {
    err << "lemonroute: " << error.what() << "; see lemonroute help\n";
  } catch (const po::error& error) {
    err << "lemonroute: " << error.what() << "; see lemonroute help\n";
  }
  return misused;
}

}  // namespace lemonroute::cli
