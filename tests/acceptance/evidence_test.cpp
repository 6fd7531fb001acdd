// What a router goes by has to fade, to be weighed against what else there is, and to be kept of those who
// come now.
#include <random>

#include "module/support.h"

namespace lemonroute::test {
namespace {

Settings reporting() {
  Settings s = settings();
  s.report_columns = {"x0", "x1"};
  s.report_x0_is_memory = s.report_x1_is_queued_tokens = true;
  return s;
}

// Danger: writers that were full once. Whoever refuses all hears of no writer, and would go by that for
// minutes.
TEST(Evidence, FullWritersAreAskedAgainSoon) {
  const Settings s = reporting();
  SchedulerFixture fixture(s);
  fixture.update_endpoints({make_endpoint(1, prefill_kind), make_endpoint(2, prefill_kind),
                            make_endpoint(8, decode_kind), make_endpoint(9, decode_kind)});
  fixture.serve(fixture.make_request(2000), 60ms);
  for (int i = 0; i < 5; ++i)
    for (const EndpointId id : {8, 9})
      fixture.handle(HealthResult{id, Outcome::ok, 1ms, {1, 0}});
  EXPECT_EQ(SchedulerFixture::sent_to(fixture.handle(fixture.make_request(2000))), 0u) << "full as they are";
  const Micros longest = s.classes[0].deadline, from = fixture.now;
  while (!SchedulerFixture::sent_to(fixture.handle(fixture.make_request(2000))) &&
         fixture.now < from + 20 * longest)
    fixture.now += 500ms;
  EXPECT_LE(fixture.now - from, 2 * longest);
}

// Danger: a session whose text is kept at a jammed reader. It is asked first for the reads that it saves, and
// its wait is then held against the session, turn after turn, while another reader stands idle.
TEST(Evidence, AJammedHomeIsNoReasonToRefuse) {
  for (const float tokens : {2000.f, 4000.f, 8000.f, 16000.f})
    for (const float queue : {10.f, 20.f, 25.f, 30.f, 40.f, 60.f}) {
      SchedulerFixture fixture(reporting());
      fixture.update_endpoints({make_endpoint(1, prefill_kind), make_endpoint(2, prefill_kind),
                                make_endpoint(3, prefill_kind), make_endpoint(8, decode_kind),
                                make_endpoint(9, decode_kind)});
      for (int i = 0; i < 30; ++i)
        fixture.serve(fixture.make_request(2000), 120ms);
      const EndpointId home =
          fixture.serve(fixture.make_request(tokens, 0, 77), Micros(static_cast<long>(60 * tokens)));
      for (const EndpointId id : {1, 2, 3})
        fixture.handle(HealthResult{id, Outcome::ok, 1ms, {0, id == home ? queue : 0}});
      EXPECT_NE(SchedulerFixture::sent_to(fixture.handle(fixture.make_request(tokens + 300, 0, 77))), 0u)
          << tokens << " tokens, " << queue << " thousand waiting where they are kept, two readers idle";
    }
}

// Danger: a table that is full and gives up the smallest key: those who come now are forgotten at once, and
// the table ends up with the largest keys there ever were.
TEST(Evidence, SessionsOfNowAreRemembered) {
  SchedulerFixture fixture;
  fixture.update_endpoints({make_endpoint(1, prefill_kind), make_endpoint(2, prefill_kind),
                            make_endpoint(3, prefill_kind), make_endpoint(8, decode_kind),
                            make_endpoint(9, decode_kind)});
  std::mt19937_64 random(1);
  for (int i = 0; i < 40000; ++i) {  // more than are remembered
    const Request r = fixture.make_request(2000, 0, random());
    const EndpointId at = SchedulerFixture::sent_to(fixture.handle(r));
    fixture.handle(ClientDisconnected{r.id});
    fixture.complete_attempt(r.id, 0, at, Outcome::cancelled, 1ms, 0, true);
    fixture.timers.clear();
    fixture.now += 1ms;
  }
  int known = 0;
  for (int i = 0; i < 100; ++i) {
    const Key key = random();
    const EndpointId at = fixture.serve(fixture.make_request(2000, 0, key), 50ms);
    for (int k = 0; k < 10; ++k)
      fixture.serve(fixture.make_request(2000, 0, random()), 50ms);
    double match = 0;
    fixture.scheduler.set_choice_observer([&](const Choice& choice) {
      for (const auto& one : choice.candidates)
        if (one.endpoint == at)
          match = std::max(match, one.recorded_cached_tokens);
    });
    fixture.serve(fixture.make_request(2300, 0, key), 50ms);
    fixture.scheduler.set_choice_observer({});
    known += match > 1000;
  }
  EXPECT_GE(known, 90);
}

}  // namespace
}  // namespace lemonroute::test
