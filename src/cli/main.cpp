// lemonroute: the command line.
#include <cstdlib>
#include <exception>
#include <iostream>

#include "cli/serve.h"

int main() {
  using namespace lemonroute;
  try {
    return cli::serve(config::load_platform([](const char* name) { return std::getenv(name); }));
  } catch (const std::exception& error) {
    std::cerr << "lemonroute: " << error.what() << '\n';
    return 1;
  }
}
