// lemonroute: the program.
#include <iostream>

#include "cli/commands.h"

int main(int argc, char** argv) {
  return lemonroute::cli::run({argv + 1, argv + argc}, std::cout, std::cerr);
}
