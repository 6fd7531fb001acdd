// Requests with a key are repeated only within the group of nodes that detect repeats, however zones and
// cells are named.
#include <gtest/gtest.h>

#include "base/log.h"
#include "discovery/list.h"
#include "net/core_bed.h"

namespace lemonroute::test {
namespace {

struct RetryScopeTest : ::testing::Test {
  RetryScopeTest() { logging::set_level(logging::Level::error); }

  static Settings keyed(RetryScope scope) {
    Settings keyed = settings();
    keyed.classes[0].idempotency = Idempotency::idempotent_with_key;
    keyed.classes[0].retry_scope = scope;
    keyed.classes[0].retry_window = 5s;
    return keyed;
  }
  // Two prefill and two decode nodes, as discovery lists them. The second of each is at `second`.
  static std::vector<ListedNode> listed(const std::string& first, const std::string& second) {
    const auto entry = [](const std::string& name, const std::string& kind, const std::string& place) {
      return R"({"instanceId":")" + name + R"(","hostPort":"127.0.0.1:1","machineType":")" + kind +
             R"(","lifecycle":"active")" + place + "}";
    };
    return discovery::parse_list_text(R"({"generation":1,"reset":true,"instances":[)" +
                                      entry("r1", "r", first) + "," + entry("r2", "r", second) + "," +
                                      entry("w1", "w", first) + "," + entry("w2", "w", second) + "]}")
        .nodes;
  }
  // Plays one request whose first decode is reset after the node has it. Returns the names of the decode
  // nodes that got the request, in order.
  static std::vector<std::string> decode_nodes(RetryScope scope, const std::vector<std::string>& zones,
                                               const std::vector<ListedNode>& list) {
    Bed bed({}, keyed(scope));
    bed.core.update_settings(keyed(scope), zones, {"r", "w"});
    bed.core.update_endpoints(EndpointListKind::full, 2, list);
    bed.take();
    std::vector<std::string> names;
    for (std::size_t i = 0; i < bed.nodes.begun.size() && i < 12; ++i) {
      const std::string name = bed.core.endpoint_name(bed.nodes.begun[i].host);
      const bool is_prefill = name[0] == 'r';
      if (!is_prefill)
        names.push_back(name);
      const Outcome outcome = is_prefill ? Outcome::prefill_done : Outcome::reset;
      bed.nodes.begun[i].attempt->on_done({outcome, 0, {}, {}});
    }
    EXPECT_EQ(bed.client.answers, 1);
    return names;
  }
  static void expect_only_the_first_node(const std::vector<std::string>& names) {
    ASSERT_FALSE(names.empty());
    for (const std::string& name : names)
      EXPECT_EQ(name, names.front());
  }
};

// Guards against zones that only the list names and that all count as one: a request ran in two zones.
TEST_F(RetryScopeTest, ZonesThatTheSettingsDoNotNameAreDifferent) {
  for (const std::vector<std::string>& zones :
       {std::vector<std::string>{}, {"a"}, {"brescia"}, {"brescia", "verona"}})
    expect_only_the_first_node(
        decode_nodes(RetryScope::zone, zones, listed(R"(,"zone":"brescia")", R"(,"zone":"verona")")));
}

// The other side: within a zone that the settings do not name a request is repeated.
TEST_F(RetryScopeTest, AZoneThatTheSettingsDoNotNameIsOneGroup) {
  const auto names =
      decode_nodes(RetryScope::zone, {"a"}, listed(R"(,"zone":"verona")", R"(,"zone":"verona")"));
  EXPECT_NE(std::find(names.begin(), names.end(), "w1"), names.end());
  EXPECT_NE(std::find(names.begin(), names.end(), "w2"), names.end());
}

// Guards against nodes without a zone or a cell that count as one group.
TEST_F(RetryScopeTest, NodesWithoutAZoneOrACellShareItWithNoOther) {
  for (const RetryScope scope : {RetryScope::zone, RetryScope::cell}) {
    expect_only_the_first_node(decode_nodes(scope, {"a"}, listed("", "")));
    expect_only_the_first_node(decode_nodes(scope, {"a"}, listed(R"(,"zone":null,"cell":null)", "")));
  }
  expect_only_the_first_node(
      decode_nodes(RetryScope::cell, {"a"}, listed(R"(,"zone":"a")", R"(,"zone":"a","cell":0)")));
  const auto one_cell = decode_nodes(RetryScope::cell, {"a"}, listed(R"(,"cell":0)", R"(,"cell":0)"));
  EXPECT_NE(std::find(one_cell.begin(), one_cell.end(), "w1"), one_cell.end());
  EXPECT_NE(std::find(one_cell.begin(), one_cell.end(), "w2"), one_cell.end());
}

// More zones than there are numbers for them, in one list and in lists that follow each other.
TEST_F(RetryScopeTest, ZonesBeyondTheNumbersOfZonesAreNotTakenForOne) {
  std::vector<ListedNode> list = listed(R"(,"zone":"brescia")", R"(,"zone":"verona")");
  for (int i = 0; i < 300; ++i)
    list.insert(list.begin(), {"x" + std::to_string(i), "127.0.0.1:1", "zone" + std::to_string(i), "w",
                               unknown_cell, EndpointState::draining});
  expect_only_the_first_node(decode_nodes(RetryScope::zone, {"a"}, list));

  Bed bed({}, keyed(RetryScope::zone));
  for (std::uint32_t version = 2; version < 400; ++version) {
    const std::string zone = R"(,"zone":"z)" + std::to_string(version) + "\"";
    bed.core.update_endpoints(EndpointListKind::full, version, listed(zone, zone));
  }
  bed.take();
  bed.done(Outcome::prefill_done);
  const EndpointId first = bed.nodes.begun.back().host;
  bed.done(Outcome::reset);
  while (bed.client.answers == 0 && bed.nodes.begun.back().host == first)
    bed.done(Outcome::reset);
  EXPECT_EQ(bed.client.answers, 0) << "zones that have gone leave their numbers to others";
}

}  // namespace
}  // namespace lemonroute::test
