#include "cli/commands.h"

#include <algorithm>
#include <boost/program_options.hpp>
#include <cstdlib>
#include <filesystem>
#include <fstream>
#include <functional>
#include <iostream>
#include <map>
#include <sstream>

#include "cli/serve.h"

namespace lemonroute::cli {
namespace {

namespace po = boost::program_options;
using Arguments = std::vector<std::string>;

constexpr int fine = 0, faulty = 1, misused = 2;

struct Misuse : std::runtime_error {
  using std::runtime_error::runtime_error;
};

// Parses the rest of a command's line; `places` names its positional options in order.
po::variables_map parse(const Arguments& arguments, const po::options_description& options,
                        const std::vector<const char*>& places = {}) {
  po::positional_options_description positional;
  for (const char* place : places) positional.add(place, 1);
  po::variables_map values;
  po::store(po::command_line_parser(arguments).options(options).positional(positional).run(), values);
  po::notify(values);
  return values;
}

std::string known(const po::variables_map& values, const char* key) {
  return values.count(key) ? values[key].as<std::string>() : "";
}

int report(std::vector<config::Fault> faults, std::ostream& err) {
  std::stable_sort(faults.begin(), faults.end(), [](auto& a, auto& b) { return a.line < b.line; });
  for (const auto& fault : faults) err << fault.text() << '\n';
  return faults.empty() ? fine : faulty;
}

int serve_command(const Arguments& arguments, std::ostream&, std::ostream& err) {
  po::options_description options("Options of serve");
  options.add_options()("config,c", po::value<std::string>(), "the operator's file")(
      "log-level,l", po::value<std::string>(), "debug, info, warn or error; wins over the file");
  const auto values = parse(arguments, options);
  std::vector<config::Fault> faults;
  config::Operator settings;
  if (values.count("config")) settings = config::read_operator(known(values, "config"), faults);
  if (!faults.empty()) return report(faults, err);
  if (values.count("log-level") && !logging::parse_level(known(values, "log-level"), settings.log_level))
    throw Misuse("--log-level: '" + known(values, "log-level") + "' is not debug, info, warn or error");
  try {
    const config::Variables variable = [&](const char* name) -> const char* {
      if (std::string(name) == "BALANCER_CONFIG" && !settings.platform_file.empty())
        return settings.platform_file.c_str();
      return std::getenv(name);
    };
    return serve(config::load_platform(variable), settings, variable);
  } catch (const std::exception& error) {
    err << "lemonroute: " << error.what() << '\n';
    return faulty;
  }
}

int version_command(const Arguments& arguments, std::ostream& out, std::ostream&) {
  parse(arguments, {});
  out << "lemonroute " << LEMONROUTE_VERSION << '\n';
  return fine;
}

int init_command(const Arguments& arguments, std::ostream& out, std::ostream& err) {
  po::options_description options("Options of config init");
  options.add_options()("application", po::value<std::string>()->required(), "whose sidecar it is")(
      "output,o", po::value<std::string>(), "the file to write; otherwise standard output")(
      "force,f", po::bool_switch(), "overwrite the file");
  const auto values = parse(arguments, options, {"application"});
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
  std::ofstream file(path);
  if (!(file << text << std::flush)) {
    err << path << ": cannot be written\n";
    return faulty;
  }
  out << path << ": written\n";
  return fine;
}

int check_command(const Arguments& arguments, std::ostream& out, std::ostream& err) {
  po::options_description options("Options of config check");
  options.add_options()("file", po::value<std::string>()->required(), "the operator's file")(
      "platform,p", po::value<std::string>(), "a file of the platform's to check as well");
  const auto values = parse(arguments, options, {"file"});
  std::vector<config::Fault> faults;
  const auto settings = config::read_operator(known(values, "file"), faults);
  std::string platform = known(values, "platform");
  if (platform.empty()) platform = settings.platform_file;
  if (!platform.empty()) {
    try {
      config::load_platform([&](const char* name) {
        return std::string(name) == "BALANCER_CONFIG" ? platform.c_str() : nullptr;
      });
    } catch (const config::ConfigError& error) {
      err << error.what() << '\n';
      report(faults, err);
      return faulty;
    }
  }
  if (faults.empty()) out << known(values, "file") << ": in order\n";
  return report(faults, err);
}

int help_command(const Arguments&, std::ostream& out, std::ostream&) {
  out << "lemonroute routes two-stage model requests, reader then writer, as a sidecar.\n\n"
         "  lemonroute serve [--config FILE] [--log-level LEVEL]\n"
         "      runs; the platform's settings come by BALANCER_CONFIG, the operator's by FILE\n"
         "  lemonroute config init APPLICATION [--output FILE] [--force]\n"
         "      writes a commented operator's file\n"
         "  lemonroute config check FILE [--platform FILE]\n"
         "      names each fault with its file, line and key; exit code 1 if there is one\n"
         "  lemonroute version\n"
         "  lemonroute help\n";
  return fine;
}

using Command = std::function<int(const Arguments&, std::ostream&, std::ostream&)>;

int dispatch(const std::map<std::string, Command>& commands, const Arguments& arguments, std::ostream& out,
             std::ostream& err) {
  const auto found = arguments.empty() ? commands.end() : commands.find(arguments.front());
  if (found == commands.end())
    throw Misuse(arguments.empty() ? "a command is missing" : "there is no command '" + arguments.front() + "'");
  return found->second(Arguments(arguments.begin() + 1, arguments.end()), out, err);
}

}  // namespace

int run(const Arguments& arguments, std::ostream& out, std::ostream& err) {
  const std::map<std::string, Command> config{{"init", init_command}, {"check", check_command}};
  const std::map<std::string, Command> commands{
      {"serve", serve_command}, {"version", version_command},   {"--version", version_command},
      {"help", help_command},   {"--help", help_command},       {"-h", help_command},
      {"config", [&](auto& rest, auto& o, auto& e) { return dispatch(config, rest, o, e); }}};
  try {
    return dispatch(commands, arguments, out, err);
  } catch (const Misuse& error) {
    err << "lemonroute: " << error.what() << "; see lemonroute help\n";
  } catch (const po::error& error) {
    err << "lemonroute: " << error.what() << "; see lemonroute help\n";
  }
  return misused;
}

}  // namespace lemonroute::cli
