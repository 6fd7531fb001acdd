// A request whose class must never run twice: whatever nodes, clients, operators and the other process do, no
// attempt of it goes out after one that may have run, and it is not refused then, since a refusal says that
// trying again is harmless.
#include <gtest/gtest.h>

#include <cstdlib>
#include <iostream>

#include "base/log.h"
#include "deployments/once_play.h"

namespace lemonroute {
namespace {

// One schedule alone, with the log: once_test --gtest_filter=Once.* with LEMONROUTE_SEED set.
std::uint64_t only_seed() {
  const char* text = std::getenv("LEMONROUTE_SEED");
  return text ? std::strtoull(text, nullptr, 10) : 0;
}

TEST(Once, NeverGoesOutAfterItMayHaveRun) {
  logging::set_level(logging::Level::error);
  if (const auto seed = only_seed()) {
    logging::set_level(logging::Level::debug);
    once::Seen seen;
    ASSERT_EQ(once::Play(seed, seen).run(), "");
    return;
  }
  once::Seen seen;
  for (std::uint64_t seed = 1; seed <= 3000; ++seed) {
    const auto fault = once::Play(seed, seen).run();
    ASSERT_EQ(fault, "") << "seed " << seed;
  }
  std::cout << "may have run " << seen.once_ran << ", sent again on proof " << seen.once_again
            << ", safe ones again " << seen.safe_again << ", no state once begun " << seen.gone_410
            << ", handed over " << seen.handed_over << ", retuned while open " << seen.retuned_open
            << ", served " << seen.served << "\n";
  // The dangerous paths were walked, each of them often.
  EXPECT_GT(seen.once_ran, 2000);
  EXPECT_GT(seen.once_again, 500);
  EXPECT_GT(seen.safe_again, 500);
  EXPECT_GT(seen.gone_410, 200);
  EXPECT_GT(seen.handed_over, 200);
  EXPECT_GT(seen.retuned_open, 500);
  EXPECT_GT(seen.served, 500);
}

}  // namespace
}  // namespace lemonroute
