// Settings updates while requests are open: learned state is kept, and open requests keep their settings.
#include <gtest/gtest.h>

#include "support.h"

namespace lemonroute::test {
namespace {

TEST(SettingsUpdate, KeepsPrefixCacheRecords) {
  SchedulerFixture fixture;
  fixture.update_endpoints({make_endpoint(1, prefill_kind), make_endpoint(2, prefill_kind),
                            make_endpoint(3, prefill_kind), make_endpoint(9, decode_kind)});
  const Key session = 77;
  const EndpointId cache_node = fixture.serve(fixture.make_request(8000, 0, session));
  Settings updated = settings();
  std::swap(updated.classes[0], updated.classes[2]);  // class 2 is idempotent now
  updated.max_attempts = 3;
  fixture.scheduler.update_settings(updated);
  for (int i = 0; i < 3; ++i)
    EXPECT_EQ(fixture.serve(fixture.make_request(8000, 2, session)), cache_node);
}

// When no warm prefill node is left, the budget of a node in slow start follows from the measured prefill
// time.
TEST(SlowStartWithoutWarmNodes, BudgetFollowsFromMeasuredPrefillTime) {
  SchedulerFixture fixture;
  fixture.update_endpoints({make_endpoint(1, prefill_kind), make_endpoint(9, decode_kind)});
  for (int i = 0; i < 12; ++i)
    fixture.serve(fixture.make_request(4000), 200ms);  // 50 us per token
  Endpoint new_node = make_endpoint(2, prefill_kind);
  new_node.started_at = fixture.now;
  fixture.update_endpoints({new_node, make_endpoint(9, decode_kind)});
  double tokens = 0;
  for (const Micros until = fixture.now + 2900ms; fixture.now < until;
       fixture.advance_to(fixture.now + 50ms)) {
    const Request r = fixture.make_request(2000);
    if (SchedulerFixture::sent_to(fixture.handle(r)) != 2)
      continue;
    tokens += r.prompt_tokens;
    fixture.complete_attempt(r.id, 0, 2, Outcome::prefill_done, 100ms);
    fixture.handle(ClientDisconnected{r.id});
  }
  // overload_factor * slow_start_initial_capacity * overload_window in seconds * tokens per second
  const double overload_tokens = 2.5 * 0.25 * 3 * 20000;
  EXPECT_GT(tokens, overload_tokens / 8);
  EXPECT_LT(tokens, overload_tokens * 0.6);
}

TEST(SettingsUpdate, OpenRequestKeepsItsClassAndAttemptLimit) {
  SchedulerFixture fixture;
  fixture.update_endpoints({make_endpoint(1, prefill_kind), make_endpoint(9, decode_kind)});
  const Request open_request = fixture.make_request();
  EndpointId sent_to = SchedulerFixture::sent_to(fixture.handle(open_request));
  Settings stricter = settings();
  stricter.classes = {stricter.classes[2]};  // class 0 is not idempotent now
  stricter.max_attempts = 2;
  fixture.scheduler.update_settings(stricter);
  for (std::uint16_t i = 0; i < 3; ++i) {
    ASSERT_EQ(sent_to, 1u);
    sent_to = SchedulerFixture::sent_to(fixture.complete_attempt(open_request.id, i, 1, Outcome::error));
  }
  // New requests get one prefill and one decode at most, and a decode that may have run is not repeated.
  const Request first_request = fixture.make_request();
  ASSERT_EQ(SchedulerFixture::sent_to(fixture.handle(first_request)), 1u);
  EXPECT_EQ(SchedulerFixture::sent_to(fixture.complete_attempt(first_request.id, 0, 1, Outcome::error)), 0u);
  const Request second_request = fixture.make_request();
  ASSERT_EQ(SchedulerFixture::sent_to(fixture.handle(second_request)), 1u);
  ASSERT_EQ(
      SchedulerFixture::sent_to(fixture.complete_attempt(second_request.id, 0, 1, Outcome::prefill_done)),
      9u);
  EXPECT_TRUE(SchedulerFixture::find_action<FailRequest>(
      fixture.complete_attempt(second_request.id, 1, 9, Outcome::error)));
}

}  // namespace
}  // namespace lemonroute::test
