#include <gtest/gtest.h>
#include <toml++/toml.h>

#include "config/pools.h"

namespace lemonroute::config {
namespace {

// Returns the faults of a file with two regions; `extra` begins at line 4.
std::vector<std::string> faults_of(const std::string& extra,
                                   Regions regions = {{"north", {{"a", "b"}, {"k1", "k2", "k3"}, 7}},
                                                      {"south", {{"c"}, {}, 9}}}) {
  const auto root = toml::parse("\n\n\n" + extra);
  std::vector<Fault> faults;
  Section file(root, "f", "", faults);
  read_pools(file, regions);
  std::vector<std::string> lines;
  for (const auto& fault : faults)
    lines.push_back(fault.text());
  return lines;
}
const std::string open = "[pools]\n[pools.calendar.north]\nzone = \"Europe/Rome\"\n";  // lines 4 to 6
std::string entry(const std::string& days, const std::string& from, const std::string& until,
                  const std::string& rest) {
  return "[[pools.calendar.north.hours]]\ndays = [" + days + "]\nfrom = \"" + from + "\"\nuntil = \"" +
         until + "\"\n" + rest + "\n";
}

TEST(PoolsConfig, ReportsEachFaultInOneLineWithPlaceKeyAndReason) {
  const std::string good = entry("\"mon\"", "08:00", "18:00", "share = 0.6");  // lines 7 to 11
  struct Row {
    std::string text, fault;
  };
  const std::vector<Row> rows{
      {"[pools]\n[pools.calendar.north]\nzone = \"Europe/Roma\"\n",
       "f:6: pools.calendar.north.zone: 'Europe/Roma' is no zone of the system's tzdata"},
      {"[pools]\n[pools.calendar.north]\n", "f:5: pools.calendar.north.zone: is missing"},
      {open + good + entry("\"tue\", \"mon\"", "17:30", "20:00", "share = 0.2"),
       "f:12: pools.calendar.north.hours[1]: overlaps the hours of line 7"},
      {open + entry("\"mon\"", "08:00", "18:00", "share = 1.2"),
       "f:11: pools.calendar.north.hours[0].share: is a share over 1"},
      {open + entry("\"mon\"", "22:00", "06:00", "share = 0.2"),
       "f:10: pools.calendar.north.hours[0].until: is not after from; hours past midnight are two entries"},
      {open + entry("\"mon\"", "8:00", "18:00", "share = 0.2"),
       "f:9: pools.calendar.north.hours[0].from: '8:00' is no time of day like \"08:30\", up to \"24:00\""},
      {open + entry("\"mo\"", "08:00", "18:00", "share = 0.2"),
       "f:8: pools.calendar.north.hours[0].days: 'mo' is not mon, tue, wed, thu, fri, sat or sun"},
      {open + good + entry("\"tue\"", "08:00", "18:00", "requests = 20"),
       "f:16: pools.calendar.north.hours[1].requests: is not the unit that the first hours are written in"},
      {open + "reserve = [\"c/1\"]\n",
       "f:7: pools.calendar.north.reserve: can't be met: 'c/1' is at no site of the region"},
      {open + "reserve = [\"a\"]\n", "f:7: pools.calendar.north.reserve: 'a' is no pool, SITE/CELL"},
      {open + "[[pools.calendar.north.holidays]]\ndates = [\"2026-02-30\"]\n",
       "f:8: pools.calendar.north.holidays[0].dates: '2026-02-30' is no date like \"2026-12-25\""},
      {"[pools]\n[pools.calendar.west]\nzone = \"Europe/Rome\"\n",
       "f:5: pools.calendar.west: 'west' is no region of the file"},
      {"[pools]\nlease = \"1s\"\nmargin = \"200ms\"\n",
       "f:6: pools.margin: is more than a tenth of the lease"},
      {open + "otherwise = 0.8\n[pools.calendar.south]\nzone = \"Europe/Amsterdam\"\notherwise = 0.3\n",
       "f:5: pools.calendar: shares sum up to 1.1, over 1, first on 2026-01-01 at 0:00 UTC"},
      {"[pools]\n[[pools.distance]]\nregion = \"north\"\nsite = \"z\"\nis = 2\n",
       "f:7: pools.distance[0].site: 'z' is at no region of the file"},
      {"[pools]\nleese = \"3s\"\n", "f:5: pools.leese: is not a known key"},
  };
  for (const auto& row : rows)
    EXPECT_EQ(faults_of(row.text), std::vector<std::string>{row.fault}) << row.text;
  EXPECT_TRUE(faults_of(open + good).empty());
  EXPECT_TRUE(faults_of("").empty());
}

TEST(PoolsConfig, RejectsRegionsThatCannotServe) {
  using Lines = std::vector<std::string>;
  EXPECT_EQ(faults_of("[pools]\n", {}), Lines{"f:4: pools: needs regions, [regions.NAME]"});
  EXPECT_EQ(faults_of("[pools]\n", {{"r", {{}, {}, 3}}}), Lines{"f:3: regions.r: has no sites"});
  EXPECT_EQ(faults_of("[pools]\n", {{"r", {{"a"}, {"x", "y"}, 3}}}),
            Lines{"f:3: regions.r: needs 3, 5 or 7 keepers, or none"});
  EXPECT_EQ(faults_of("[pools]\n", {{"r", {{"a"}, {}, 3}}, {"s", {{"a"}, {}, 5}}}),
            Lines{"f:5: regions.s: has the site 'a' of regions.r"});
}

TEST(PoolsConfig, ReportsReservesThatTheFilesNodesLack) {
  const auto root = toml::parse(R"(
[pools.calendar.north]
zone = "Europe/Rome"
reserve = ["a/1", "a/2"]
)");
  std::vector<Fault> faults;
  Section file(root, "f", "", faults);
  const auto settings = read_pools(file, {{"north", {{"a"}, {"x", "y", "z"}, 1}}});
  ASSERT_TRUE(settings && faults.empty());
  Installation in;
  in.fixed = true;
  in.platform.kinds = {"reader", "writer"};
  in.platform.settings.role_by_kind = {Role::prefill, Role::decode};
  for (const auto& [kind, cell] : {std::pair("writer", 1), std::pair("reader", 2)}) {
    Router::ListedNode node;
    node.name = kind;
    node.zone = "a";
    node.kind = kind;
    node.cell = static_cast<std::uint16_t>(cell);
    in.platform.known.nodes.push_back(node);
  }
  check_reserves(root, "f", *settings, in, faults);
  ASSERT_EQ(faults.size(), 1u);
  EXPECT_EQ(faults[0].text(),
            "f:4: pools.calendar.north.reserve: can't be met: no writer of the file is in 'a/2'");
}

}  // namespace
}  // namespace lemonroute::config
