// Holds what was expected against what happened.
#pragma once

#include <optional>
#include <string>
#include <vector>

#include "expect/world.h"

namespace lemonroute::expect {

struct Failure {
  enum class Kind { expectation, rule, impossible } kind = Kind::expectation;
  std::size_t line = 0;  // of the expectation; of the case, for a broken rule
  int rule = 0;          // 1 to 5, for a broken rule
  std::string request, what;
  bool same(const Failure& other) const {
    return kind == other.kind && line == other.line && rule == other.rule;
  }
};

struct Verdict {
  std::string name, file;
  std::size_t line = 0;
  std::vector<Failure> failures;
  std::uint64_t seed = 0;  // of the run shown: the first that failed, else the first
  Run run;
  std::size_t runs = 0;
  Micros took{};  // by the wall
  bool held() const { return failures.empty(); }
};

// Plays a case under all its seeds and judges it. At most one failure for each expectation and rule. With
// `explain` the run that is shown carries the module's own account of its choices.
Verdict judge(const Case& one, const Setup& setup, bool explain,
              const std::optional<rules::Limits>& limits = {});

}  // namespace lemonroute::expect
