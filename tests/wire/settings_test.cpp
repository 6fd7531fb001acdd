#include "wire/settings.h"

#include <gtest/gtest.h>

namespace lemonroute {
namespace {

const std::string least =
    "lanes.count=1\nlanes.0.idempotency=idempotency_key\nlanes.0.group=zone\nlanes.0.window-us=5000000\n"
    "lanes.0.slo-us=1500000\nextra.kind-role=read,write,both\nextra.release-us=300000\nlimits.max-attempts="
    "4\n"
    "safety.cold-us=13000000\nsafety.cold-from=0.27\nsafety.fall-multiple=4.0\nsafety.fall-us="
    "1000000\nsiblings=2\n";

std::string without(const std::string& key) {
  const auto at = least.find(key + "=");
  return least.substr(0, at) + least.substr(least.find('\n', at) + 1);
}

TEST(Settings, ReadsWhatIsThere) {
  const Settings s =
      parse_settings(least +
                     "extra.aim-us-per-1000-prompt-tokens=40000.0\naccounts.count=1\naccounts.0.name=t\n"
                     "accounts.0.quota-rps=20.0\nreport.columns=active,x0\nlimits.cancel=true\n"
                     "extra.report-x0=share_of_memory_that_is_held\ndiscovery=on_request\nnew.key=anything");
  ASSERT_EQ(s.classes.size(), 1u);
  EXPECT_EQ(s.classes[0].idempotency, Idempotency::idempotent_with_key);
  EXPECT_EQ(s.classes[0].retry_scope, RetryScope::zone);
  EXPECT_EQ(s.classes[0].retry_window, Micros(5000000));
  EXPECT_EQ(s.classes[0].latency_objective_per_1000_tokens, Micros(40000));
  EXPECT_EQ(s.role_by_kind, (std::vector<Role>{Role::prefill, Role::decode, Role::mixed}));
  EXPECT_EQ(s.tenants.at(0).quota_rps, 20);
  EXPECT_EQ(s.report_columns, (std::vector<std::string>{"active", "x0"}));
  EXPECT_TRUE(s.report_x0_is_memory);
  EXPECT_TRUE(s.cancellation_allowed);
  EXPECT_FALSE(s.hedging_allowed);
  EXPECT_TRUE(s.endpoint_list_is_polled);
  EXPECT_EQ(s.overload_factor, 4.0);
}

TEST(Settings, MissingWithoutASafeDefaultIsNamed) {
  for (const char* key :
       {"lanes.count", "lanes.0.idempotency", "lanes.0.slo-us", "extra.kind-role", "extra.release-us",
        "limits.max-attempts", "safety.cold-us", "safety.fall-us", "siblings"}) {
    try {
      parse_settings(without(key));
      ADD_FAILURE() << key << " was guessed";
    } catch (const SettingsError& error) {
      EXPECT_NE(std::string(error.what()).find(key), std::string::npos) << error.what();
    }
  }
}

TEST(Settings, UnreadableValuesAreNamed) {
  for (const char* line :
       {"limits.max-attempts=four", "siblings=-1", "safety.cold-from=nan", "lanes.0.idempotency=maybe",
        "limits.cancel=yes", "extra.kind-role=read,think", "safety.fall-us=1e99", "discovery=later"}) {
    const std::string text = line;
    const std::string key = text.substr(0, text.find('='));
    const auto at = least.find(key + "=");
    try {
      parse_settings((at == std::string::npos ? least : without(key)) + text + "\n");
      ADD_FAILURE() << line << " was taken";
    } catch (const SettingsError& error) {
      EXPECT_NE(std::string(error.what()).find(key), std::string::npos) << error.what();
    }
  }
}

}  // namespace
}  // namespace lemonroute
