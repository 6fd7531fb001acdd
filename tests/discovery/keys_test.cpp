// Every key of a configuration is used, or said not to be; none that is unknown, null or merely allowed stops
// the start.
#include <gtest/gtest.h>

#include <algorithm>

#include "base/log.h"
#include "cli/start.h"
#include "config/known_settings.h"
#include "deployments/shapes.h"

namespace lemonroute::config {
namespace {

using shapes::json;
using Keys = std::vector<std::string>;

json whole(const json& settings) {
  return json::parse(shapes::file(settings));
}

// All that the platform's page names, each with a value of its kind.
json every_key() {
  json settings = shapes::three_classes();
  settings["lanes"][0]["aim-stretch"] = 2.0;
  settings["prices"] = {{"waste", 0.05}, {"fleet", 1}};
  settings["score-parts"] = {{"whole", 0.65}};
  settings["tier"] = 0;
  settings["tiers"] = {"modelli"};
  settings["weight-kind"] = "rough";
  settings["workload"] = "twostage";
  settings["worth-by"] = "work";
  settings["limits"]["cpu-us-per-s"] = 400000;
  settings["limits"]["cpu-us-per-request"] = 0;
  return settings;
}

TEST(Keys, AreUsedOrSaidNotToBe) {
  const Unread left = unread(whole(every_key()));
  EXPECT_EQ(left.unknown, Keys{});
  EXPECT_EQ(left.unused, (Keys{"/limits.cores",
                               "accounts[].share",
                               "clients.marks-retry",
                               "extra.cross-cell-price",
                               "extra.read-in-place",
                               "lanes[].late-worth",
                               "lanes[].stream",
                               "limits.cpu-us-per-request",
                               "limits.cpu-us-per-s",
                               "limits.may-tell",
                               "limits.multiplex",
                               "limits.open-cap",
                               "limits.probes",
                               "prices",
                               "report.how",
                               "safety.answer-slack-us",
                               "safety.ask-every-us",
                               "score-parts",
                               "tier",
                               "tiers",
                               "weight-kind",
                               "workload",
                               "worth-by"}));
}

TEST(Keys, UnknownOnesAreSaidOnceAndStopNothing) {
  json settings = shapes::three_classes();
  settings["new-thing"] = {{"deep", {1, json({{"x", nullptr}})}}};
  settings["extra"]["block"] = 16;
  settings["limits"]["gone"] = nullptr;
  for (auto& lane : settings["lanes"])
    lane["colour"] = json::array({json({{"a", 1}}), nullptr});
  json config = whole(settings);
  config["region"] = "south";
  config["limits"]["disk_mb"] = 5;
  Platform platform;
  ASSERT_NO_THROW(platform = parse_platform(config.dump()));
  EXPECT_EQ(platform.unknown, (Keys{"/limits.disk_mb", "/region", "extra.block", "lanes[].colour",
                                    "limits.gone", "new-thing"}));
  EXPECT_EQ(platform.settings.classes.size(), 3u);
}

// One key at a time is null, wherever it is: what may be left out may be null, and means the same.
TEST(Keys, NullIsAbsence) {
  const json config = whole(every_key());
  int taken = 0;
  const json flat = config.flatten();
  for (const auto& [path, value] : flat.items()) {
    if (path.ends_with("/0") || path.ends_with("/1") || path.ends_with("/2") || path.ends_with("/3"))
      continue;  // an item of a list
    json null = config, absent = config;
    const json::json_pointer at(path);
    null[at] = nullptr;
    absent[at.parent_pointer()].erase(at.back());
    std::string faults[2];
    Platform platforms[2];
    for (int i = 0; i < 2; ++i)
      try {
        platforms[i] = parse_platform((i ? absent : null).dump());
      } catch (const ConfigError& error) {
        faults[i] = error.what();
      }
    EXPECT_EQ(faults[0], faults[1]) << path;
    EXPECT_EQ(platforms[0].settings.max_retry_after, platforms[1].settings.max_retry_after);
    EXPECT_EQ(platforms[0].seed, platforms[1].seed);
    taken += faults[0].empty();
  }
  EXPECT_GT(taken, 40);
}

// No reports, no probes, one zone, a short grace: none of it stops the start, and each figure is taken.
TEST(Keys, NodesThatReportNothing) {
  json settings = shapes::three_classes();
  settings["lanes"].erase(2);
  settings["accounts"] = json::array();
  settings["report"] = {{"how", "silent"}, {"columns", json::array()}};
  settings["extra"].erase("report-x0");
  settings["extra"].erase("report-x1");
  settings["safety"]["drain-grace-us"] = 250000;
  settings["safety"]["fall-multiple"] = 2.5;
  settings["limits"]["max-retry-after-us"] = 2000000;
  const auto platform = parse_platform(whole(settings).dump());
  EXPECT_TRUE(platform.settings.report_columns.empty());
  EXPECT_FALSE(platform.settings.report_x0_is_memory || platform.settings.report_x1_is_queued_tokens);
  EXPECT_EQ(platform.settings.drain_grace, std::chrono::milliseconds(250));
  EXPECT_EQ(platform.settings.max_retry_after, std::chrono::seconds(2));
  EXPECT_EQ(platform.settings.overload_factor, 2.5);
}

// Guards against a memory limit that is mistyped and then taken for the usual one.
TEST(Keys, AMemoryLimitIsAPositiveNumber) {
  json file = whole(every_key());
  file["limits"]["memory_mb"] = 64.5;
  EXPECT_EQ(parse_platform(file.dump()).memory_mb, 64u);
  for (const json& wrong : {json("80"), json(0), json(-5), json(true), json::array()}) {
    file["limits"]["memory_mb"] = wrong;
    try {
      parse_platform(file.dump());
      ADD_FAILURE() << wrong;
    } catch (const ConfigError& error) {
      EXPECT_STREQ(error.what(), "limits.memory_mb must be a number from 1 on") << wrong;
    }
  }
}

// What is allowed, what is left unread and what is unknown are one line of the log.
TEST(Keys, AreOneLine) {
  json settings = every_key();
  settings["extra"]["resume"] = true;
  settings["extra"]["block"] = 16;
  const auto platform = parse_platform(whole(settings).dump());
  logging::set_level(logging::Level::info);
  testing::internal::CaptureStderr();
  cli::say_unused(platform);
  const std::string said = testing::internal::GetCapturedStderr();
  EXPECT_EQ(std::count(said.begin(), said.end(), '\n'), 1);
  for (const char* part :
       {"allowed by the settings and not used here: extra.early-pairing, extra.resume;",
        "stated and not used: /limits.cores,", "worth-by; not known, and left out: extra.block\n"})
    EXPECT_NE(said.find(part), std::string::npos) << said;
}

}  // namespace
}  // namespace lemonroute::config
