// lemonroute_conformance [--table] [PART OF A NAME]: plays the cases and prints what each came to; exit code
// 1 if one does not conform.
#include <csignal>
#include <cstdio>
#include <iomanip>
#include <iostream>

#include "base/log.h"
#include "peer.h"

int main(int argc, char** argv) {
  using namespace lemonroute;
  std::signal(SIGPIPE, SIG_IGN);
  logging::set_level(logging::Level::error);
  bool table = false;
  std::string part;
  for (int i = 1; i < argc; ++i) {
    if (std::string(argv[i]) == "--table")
      table = true;
    else
      part = argv[i];
  }
  std::size_t passed = 0, failed = 0;
  const auto play = [&](const char* side, const std::vector<conformance::Case>& cases) {
    for (const auto& one : cases) {
      if (!part.empty() && (one.section + " " + one.what).find(part) == std::string::npos)
        continue;
      const std::string wrong = one.run();
      ++(wrong.empty() ? passed : failed);
      if (table || !wrong.empty())
        std::cout << (wrong.empty() ? "ok    " : "FAIL  ") << side << "  " << std::left << std::setw(20)
                  << one.section << "  " << one.what << (wrong.empty() ? "" : ": " + wrong) << std::endl;
    }
  };
  play("server", conformance::server_cases());
  play("node  ", conformance::node_cases());
  std::cout << passed << " passed, " << failed << " failed" << std::endl;
  return failed ? 1 : 0;
}
