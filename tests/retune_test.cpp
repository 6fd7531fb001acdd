// New settings while requests run: what was learned stays, and terms hold from a request's beginning.
#include <gtest/gtest.h>

#include "support.h"

namespace lemonroute::test {
namespace {

TEST(Retune, KeepsWhatWasLearnedOfTexts) {
  Bed bed;
  bed.list({host(1, reader_kind), host(2, reader_kind), host(3, reader_kind), host(9, writer_kind)});
  const Key session = 77;
  const HostId home = bed.serve(bed.request(8000, 0, session));
  Settings other = settings();
  std::swap(other.classes[0], other.classes[2]);
  other.max_attempts = 3;
  bed.scheduler.retune(other);
  for (int i = 0; i < 3; ++i) EXPECT_EQ(bed.serve(bed.request(8000, 2, session)), home);
}

TEST(Retune, ARequestKeepsItsClassAndItsAttempts) {
  Bed bed;
  bed.list({host(1, reader_kind), host(9, writer_kind)});
  const Request old = bed.request();
  HostId at = Bed::sent(bed.feed(old));
  Settings stricter = settings();
  stricter.classes = {stricter.classes[2]};  // unsafe, where the request's class was safe
  stricter.max_attempts = 2;
  bed.scheduler.retune(stricter);
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
  ASSERT_EQ(Bed::sent(bed.complete(next.id, 0, 1, Outcome::read)), 9u);
  EXPECT_TRUE(Bed::find<Fail>(bed.complete(next.id, 1, 9, Outcome::error)));
}

}  // namespace
}  // namespace lemonroute::test
