// What the sub-commands share: their options on Boost.Program_options, --help for each, and their exit codes.
#pragma once

#include <boost/program_options/errors.hpp>
#include <boost/program_options/options_description.hpp>
#include <boost/program_options/variables_map.hpp>
#include <iosfwd>
#include <stdexcept>
#include <string>
#include <vector>

namespace lemonroute::cli {

namespace po = boost::program_options;
using Arguments = std::vector<std::string>;

constexpr int fine = 0, faulty = 1, misused = 2;

struct Misuse : std::runtime_error {
  using std::runtime_error::runtime_error;
};
// Thrown by parse when --help is among the arguments; what() is the whole page.
struct HelpAsked : std::runtime_error {
  using std::runtime_error::runtime_error;
};

// One sub-command: how it is called, what it does, its options. `places` names positional options in order;
// the last one takes any number if `many`.
struct Usage {
  std::string call, about;
  po::options_description options{"Options"};
  std::vector<const char*> places{};
  bool many = false;
};

po::variables_map parse(const Arguments& arguments, Usage& usage);    // throws Misuse, HelpAsked or po::error
std::string known(const po::variables_map& values, const char* key);  // "" where it was not given

}  // namespace lemonroute::cli
