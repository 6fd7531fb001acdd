// A platform's configuration of each shape is taken at the start, and says what it should.
#include <gtest/gtest.h>

#include "config/platform.h"
#include "deployments/shapes.h"

namespace lemonroute {
namespace {

using namespace std::chrono_literals;
using config::parse_platform;

TEST(Start, OneClassInThreeZones) {
  const auto platform = parse_platform(shapes::file(shapes::one_class()));
  const Settings& s = platform.settings;
  EXPECT_TRUE(platform.unused.empty());
  ASSERT_EQ(s.classes.size(), 1u);
  EXPECT_EQ(s.classes[0].idempotency, Idempotency::idempotent);
  EXPECT_TRUE(s.probing_allowed && s.retry_attempt_header && s.report_x0_is_memory &&
              s.report_x1_is_queued_tokens && s.tenants.empty());
  EXPECT_EQ(std::tuple(platform.zones.size(), s.router_zone, s.router_count), std::tuple(3u, 1u, 3u));
  EXPECT_EQ(s.reservation_release_timeout, 1s);
  EXPECT_EQ(platform.known.nodes.at(0).cell, 3);
}

TEST(Start, ThreeClassesAndTenantsInOneZone) {
  const auto platform = parse_platform(shapes::file(shapes::three_classes()));
  const Settings& s = platform.settings;
  ASSERT_EQ(s.classes.size(), 3u);
  EXPECT_EQ(s.classes[1].idempotency, Idempotency::idempotent);
  EXPECT_EQ(s.classes[2].idempotency, Idempotency::not_idempotent);
  EXPECT_EQ(s.classes[2].latency_objective_per_1000_tokens, 60ms);
  EXPECT_EQ(s.classes[2].inter_token_objective, 50ms);
  EXPECT_EQ(s.classes[2].priority_weight, 2);
  ASSERT_EQ(s.tenants.size(), 2u);
  EXPECT_EQ(s.tenants[0].name, "randstad zuid");  // as clients name it, not as the flat lines do
  EXPECT_EQ(s.tenants[0].quota_rps, 12.5);
  EXPECT_EQ(platform.zones, std::vector<std::string>{"dc-utrecht"});
  EXPECT_FALSE(s.probing_allowed || s.retry_attempt_header);
  EXPECT_EQ(s.reservation_release_timeout, 500ms);
  EXPECT_EQ(s.overload_window, 3s);
}

// What is allowed and never done is no reason to stay away: each is left out, and named for the log.
TEST(Start, PermissionsThatAreNotUsedAreLeftOut) {
  auto settings = shapes::three_classes();
  settings["extra"]["resume"] = true;
  settings["limits"]["second-copies"] = true;
  const auto platform = parse_platform(shapes::file(settings));
  EXPECT_EQ(platform.unused,
            (std::vector<std::string>{"extra.early-pairing", "extra.resume", "limits.second-copies"}));
  EXPECT_FALSE(platform.settings.reservation_allowed || platform.settings.stream_resume_allowed ||
               platform.settings.hedging_allowed);
}

// One change at a time to what a deployment has: each is taken.
TEST(Start, EachSettingMayBeOtherwise) {
  struct Row {
    const char *path, *value;
  };
  for (const Row& row : std::initializer_list<Row>{{"/limits/cancel", "false"},
                                                   {"/limits/retry-after", "false"},
                                                   {"/limits/max-attempts", "1"},
                                                   {"/limits/may-tell", "true"},
                                                   {"/discovery", "\"on_request\""},
                                                   {"/report/how", "\"pull\""},
                                                   {"/report/how", "\"silent\""},
                                                   {"/report/columns", "[]"},
                                                   {"/extra/read-in-place", "true"},
                                                   {"/extra/kind-role", "[\"both\",\"both\"]"},
                                                   {"/extra/tokens-by-kind", "[]"},
                                                   {"/extra/aim-us-per-1000-prompt-tokens", "[]"},
                                                   {"/accounts", "null"},
                                                   {"/accounts", "\"\""},
                                                   {"/me", "5"},
                                                   {"/siblings", "1"},
                                                   {"/lanes/2/idempotency", "\"idempotency_key\""},
                                                   {"/lanes/0/name", "\"a class, named freely\""},
                                                   {"/lanes/0/stream", "false"},
                                                   {"/lanes/0/new-key", "{\"deep\":[1,{\"x\":null}]}"},
                                                   {"/weight-kind", "\"live\""},
                                                   {"/safety/cold-us", "0"},
                                                   {"/locality", "0"}}) {
    auto settings = shapes::three_classes();
    settings[shapes::json::json_pointer(row.path)] = shapes::json::parse(row.value);
    EXPECT_NO_THROW(parse_platform(shapes::file(settings))) << row.path << " " << row.value;
  }
}

}  // namespace
}  // namespace lemonroute
