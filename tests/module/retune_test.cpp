// New settings while requests run: what was learned stays, and terms hold from a request's beginning.
#include <gtest/gtest.h>

#include "support.h"

namespace lemonroute::test {
namespace {

TEST(Retune, KeepsWhatWasLearnedOfTexts) {
  Bed bed;
  bed.list({host(1, reader_kind), host(2, reader_kind), host(3, reader_kind), host(9, writer_kind)});
  const Key session = 77;
  const EndpointId home = bed.serve(bed.request(8000, 0, session));
  Settings other = settings();
  std::swap(other.classes[0], other.classes[2]);
  other.max_attempts = 3;
  bed.scheduler.update_settings(other);
  for (int i = 0; i < 3; ++i)
    EXPECT_EQ(bed.serve(bed.request(8000, 2, session)), home);
}

// When the last warm reader has left, the cold ones are given what the learned rate says they can bear, no
// more.
TEST(ColdReaders, AloneGetAPartOfWhatReadsHaveShown) {
  Bed bed;
  bed.list({host(1, reader_kind), host(9, writer_kind)});
  for (int i = 0; i < 12; ++i)
    bed.serve(bed.request(4000), 200ms);  // 50 us a token
  Endpoint cold = host(2, reader_kind);
  cold.started_at = bed.now;
  bed.list({cold, host(9, writer_kind)});
  double tokens = 0;
  for (const Micros until = bed.now + 2900ms; bed.now < until; bed.pass(bed.now + 50ms)) {
    const Request r = bed.request(2000);
    if (Bed::sent(bed.feed(r)) != 2)
      continue;
    tokens += r.prompt_tokens;
    bed.complete(r.id, 0, 2, Outcome::prefill_done, 100ms);
    bed.feed(ClientDisconnected{r.id});
  }
  const double bearable = 2.5 * 0.25 * 3 * 20000;  // multiple x present capacity x window
  EXPECT_GT(tokens, bearable / 8);
  EXPECT_LT(tokens, bearable * 0.6);
}

TEST(Retune, ARequestKeepsItsClassAndItsAttempts) {
  Bed bed;
  bed.list({host(1, reader_kind), host(9, writer_kind)});
  const Request old = bed.request();
  EndpointId at = Bed::sent(bed.feed(old));
  Settings stricter = settings();
  stricter.classes = {stricter.classes[2]};  // unsafe, where the request's class was safe
  stricter.max_attempts = 2;
  bed.scheduler.update_settings(stricter);
  for (std::uint16_t i = 0; i < 3; ++i) {
    ASSERT_EQ(at, 1u);
    at = Bed::sent(bed.complete(old.id, i, 1, Outcome::error));
  }
  // The new ones: one read and one write at the most, and a write that may have run is not repeated.
  const Request fresh = bed.request();
  ASSERT_EQ(Bed::sent(bed.feed(fresh)), 1u);
  EXPECT_EQ(Bed::sent(bed.complete(fresh.id, 0, 1, Outcome::error)), 0u);
  const Request next = bed.request();
  ASSERT_EQ(Bed::sent(bed.feed(next)), 1u);
  ASSERT_EQ(Bed::sent(bed.complete(next.id, 0, 1, Outcome::prefill_done)), 9u);
  EXPECT_TRUE(Bed::find<FailRequest>(bed.complete(next.id, 1, 9, Outcome::error)));
}

}  // namespace
}  // namespace lemonroute::test
