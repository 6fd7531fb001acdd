#include "cli/arguments.h"

#include <boost/program_options/parsers.hpp>
#include <boost/program_options/positional_options.hpp>
#include <sstream>

namespace lemonroute::cli {

po::variables_map parse(const Arguments& arguments, Usage& usage) {
  usage.options.add_options()("help,h", "this page");
  po::positional_options_description positional;
  for (std::size_t i = 0; i < usage.places.size(); ++i)
    positional.add(usage.places[i], usage.many && i + 1 == usage.places.size() ? -1 : 1);
  po::variables_map values;
  po::store(po::command_line_parser(arguments).options(usage.options).positional(positional).run(), values);
  if (values.count("help")) {
    std::ostringstream page;
    page << "lemonroute " << usage.call << "\n\n" << usage.about << "\n\n" << usage.options;
    throw HelpAsked(page.str());
  }
  po::notify(values);
  return values;
}

std::string known(const po::variables_map& values, const char* key) {
  return values.count(key) ? values[key].as<std::string>() : "";
}

}  // namespace lemonroute::cli
