// New settings while requests run: what was learned stays, and terms hold from a request's beginning.
#include <gtest/gtest.h>

#include "support.h"

namespace lemonroute::test {
namespace {

TEST(Retune, KeepsWhatWasLearnedOfTexts) {
  SchedulerFixture fixture;
  fixture.list({host(1, prefill_kind), host(2, prefill_kind), host(3, prefill_kind), host(9, decode_kind)});
  const Key session = 77;
  const EndpointId home = fixture.serve(fixture.request(8000, 0, session));
  Settings other = settings();
  std::swap(other.classes[0], other.classes[2]);
  other.max_attempts = 3;
  fixture.scheduler.update_settings(other);
  for (int i = 0; i < 3; ++i)
    EXPECT_EQ(fixture.serve(fixture.request(8000, 2, session)), home);
}

// When the last warm reader has left, the cold ones are given what the learned rate says they can bear, no
// more.
TEST(ColdReaders, AloneGetAPartOfWhatReadsHaveShown) {
  SchedulerFixture fixture;
  fixture.list({host(1, prefill_kind), host(9, decode_kind)});
  for (int i = 0; i < 12; ++i)
    fixture.serve(fixture.request(4000), 200ms);  // 50 us a token
  Endpoint cold = host(2, prefill_kind);
  cold.started_at = fixture.now;
  fixture.list({cold, host(9, decode_kind)});
  double tokens = 0;
  for (const Micros until = fixture.now + 2900ms; fixture.now < until;
       fixture.advance_to(fixture.now + 50ms)) {
    const Request r = fixture.request(2000);
    if (SchedulerFixture::sent_to(fixture.handle(r)) != 2)
      continue;
    tokens += r.prompt_tokens;
    fixture.complete(r.id, 0, 2, Outcome::prefill_done, 100ms);
    fixture.handle(ClientDisconnected{r.id});
  }
  const double bearable = 2.5 * 0.25 * 3 * 20000;  // multiple x present capacity x window
  EXPECT_GT(tokens, bearable / 8);
  EXPECT_LT(tokens, bearable * 0.6);
}

TEST(Retune, ARequestKeepsItsClassAndItsAttempts) {
  SchedulerFixture fixture;
  fixture.list({host(1, prefill_kind), host(9, decode_kind)});
  const Request old = fixture.request();
  EndpointId at = SchedulerFixture::sent_to(fixture.handle(old));
  Settings stricter = settings();
  stricter.classes = {stricter.classes[2]};  // unsafe, where the request's class was safe
  stricter.max_attempts = 2;
  fixture.scheduler.update_settings(stricter);
  for (std::uint16_t i = 0; i < 3; ++i) {
    ASSERT_EQ(at, 1u);
    at = SchedulerFixture::sent_to(fixture.complete(old.id, i, 1, Outcome::error));
  }
  // The new ones: one read and one write at the most, and a write that may have run is not repeated.
  const Request fresh = fixture.request();
  ASSERT_EQ(SchedulerFixture::sent_to(fixture.handle(fresh)), 1u);
  EXPECT_EQ(SchedulerFixture::sent_to(fixture.complete(fresh.id, 0, 1, Outcome::error)), 0u);
  const Request next = fixture.request();
  ASSERT_EQ(SchedulerFixture::sent_to(fixture.handle(next)), 1u);
  ASSERT_EQ(SchedulerFixture::sent_to(fixture.complete(next.id, 0, 1, Outcome::prefill_done)), 9u);
  EXPECT_TRUE(SchedulerFixture::find<FailRequest>(fixture.complete(next.id, 1, 9, Outcome::error)));
}

}  // namespace
}  // namespace lemonroute::test
