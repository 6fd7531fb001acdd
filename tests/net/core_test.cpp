// The core without sockets: its rules against nodes and clients that only take notes.
#undef NDEBUG
#include <cassert>
#include <cmath>
#include <cstdio>
#include <fstream>
#include <iostream>

#include "core/load_report.h"
#include "core_bed.h"

namespace {

using namespace lemonroute;
using namespace lemonroute::test;

void served() {
  Bed bed;
  bed.take();
  bed.done(Outcome::prefill_done);
  assert(bed.nodes.begun.size() == 2);
  bed.nodes.begun[1].attempt->on_data("a");
  bed.done(Outcome::ok);
  assert(bed.client.seen == "a|end" && bed.client.answers == 1);
  assert(bed.nodes.released.empty() && bed.core.idle());
}

// A release goes on until it has arrived: the holder, then the other nodes in turn, and the holder again.
void release_again() {
  Bed bed({"r", "w", "w2"});
  bed.take();
  bed.done(Outcome::prefill_done);
  bed.core.client_disconnected(bed.id);
  assert(!bed.nodes.begun.back().open);
  assert(bed.nodes.released.size() == 1 && bed.nodes.released[0].first == bed.nodes.begun[0].host);
  for (std::size_t tries = 1; tries < 5; ++tries) {
    const auto done = bed.nodes.released.back().second;
    done(false);
    bed.pass(100ms);
    assert(bed.nodes.released.size() == tries + 1);
  }
  for (std::size_t i = 1; i < 4; ++i)
    assert(bed.nodes.released[i].first != bed.nodes.begun[0].host);
  assert(bed.nodes.released[1].first != bed.nodes.released[2].first);
  assert(bed.nodes.released[4].first == bed.nodes.begun[0].host);
  assert(!bed.core.idle());
  const auto done = bed.nodes.released.back().second;
  done(true);
  assert(bed.core.idle() && bed.client.answers == 0);
}

// A release that is neither answered nor refused is given up after a while and asked of another node.
void release_unheard() {
  Bed bed({"r", "w", "w2"});
  bed.take();
  bed.done(Outcome::prefill_done);
  bed.core.client_disconnected(bed.id);
  assert(bed.nodes.released.size() == 1);
  bed.pass(400ms);
  bed.pass(100ms);
  assert(bed.nodes.released.size() == 2);
  assert(bed.nodes.released[1].first != bed.nodes.released[0].first);
  // As long as a network cut may last, and not for ever.
  for (int i = 0; i < 140; ++i)
    bed.pass(200ms);
  assert(!bed.core.idle());
  for (int i = 0; i < 20; ++i)
    bed.pass(200ms);
  assert(bed.core.idle());
}

// A machine that vanished is listed for seconds more. Whichever two nodes are lost, the holder one of them, a
// third is asked while there is time, and as long as any is left the lost ones don't take up every other try.
void release_past_lost_nodes() {
  const std::vector<std::string> names{"r", "r2", "w", "w2"};
  for (const auto& name : names) {
    Settings limits = settings();
    limits.reservation_release_timeout = 500ms;
    Bed bed(names, limits);
    bed.take();
    const EndpointId holder = bed.nodes.begun[0].host;
    bed.done(Outcome::prefill_done);
    bed.core.client_disconnected(bed.id);
    const auto lost = [&](EndpointId host) { return host == holder || bed.core.endpoint_name(host) == name; };
    for (Micros waited{}; lost(bed.nodes.released.back().first); waited += 5ms) {
      assert(waited < limits.reservation_release_timeout);
      bed.pass(5ms);
    }
    const auto done = bed.nodes.released.back().second;
    done(true);
    assert(bed.core.idle());
  }
}

// A process that is about to be killed ends what waits while its answer still goes out and the state is let
// go, at every stage; a stream is left alone.
void waits_end() {
  for (const int stage : {0, 1}) {
    Bed bed;
    bed.take();
    if (stage == 1)
      bed.done(Outcome::prefill_done);
    bed.core.set_shutdown_deadline(bed.clock.at + 3200ms);
    bed.pass(3199ms);
    assert(bed.client.answers == 0 && bed.nodes.begun.back().open);
    bed.pass(1ms);
    assert(bed.client.answers == 1 && !bed.nodes.begun.back().open);
    assert(bed.nodes.begun.size() == static_cast<std::size_t>(stage) + 1 && bed.nodes.released.size() == 1);
    const auto done = bed.nodes.released.back().second;
    done(true);
    assert(bed.core.idle());
  }
  Bed bed;
  bed.core.set_shutdown_deadline(bed.clock.at + 3200ms);
  bed.take();
  bed.done(Outcome::prefill_done);
  bed.nodes.begun.back().attempt->on_data("a");
  bed.pass(4s);
  assert(bed.client.answers == 0 && bed.nodes.begun.back().open);
  bed.next_id = "late";
  bed.take();  // its time is over as it comes: no node hears of it
  assert(bed.client.seen == "a|failed" && bed.nodes.begun.size() == 2);
}

// The writer that a process which knows nothing else takes for its first request, once `told` has told it
// something.
std::string first_writer(const std::function<void(Bed&, TestClient&)>& told) {
  Settings s = settings();
  s.report_x0_is_memory = true;
  Bed bed({"r", "w", "w2"}, s);
  TestClient other;
  told(bed, other);
  bed.take();
  bed.done(Outcome::prefill_done);
  return bed.core.endpoint_name(bed.nodes.begun.back().host);
}

// A new process hears of a writer's load by the ends of streams alone, and all that run were begun by the old
// one: what those ends tell counts, and so does what the old process tells of its last reports.
void learns_from_the_other_process() {
  const std::string usual = first_writer([](Bed&, TestClient&) {});
  const auto adopted = [&](AttemptResult end) {
    return first_writer([&](Bed& bed, TestClient& other) {
      RequestId id = 0;
      TestClient light;
      assert(bed.core.adopt_stream({"light", "k", usual == "w" ? "w2" : "w", 1, {}, {}}, light, id));
      bed.nodes.begun.back().attempt->on_done({Outcome::ok, 0, "active=10,x0=0.2", {}});
      assert(bed.core.adopt_stream({"old", "k", usual, 1, {}, {}}, other, id));
      bed.nodes.begun.back().attempt->on_done(end);
      assert(light.answers == 1 && other.answers == 1);
    });
  };
  assert(adopted({Outcome::ok, 0, "active=40,x0=0.8", {}}) != usual);
  assert(adopted({Outcome::ok, 0, "active=4,x0=0.01", {}}) == usual);
  assert(adopted({Outcome::ok, 0, "nonsense", {}}) == usual);
  assert(adopted({Outcome::reset, 0, {}, {}}) != usual);
  const auto told = [&](NodeHandoverState heard) {
    const NodeHandoverState light{usual == "w" ? "w2" : "w", "active=10,x0=0.2", 100ms, false};
    return first_writer([&](Bed& bed, TestClient&) { bed.core.apply_handover_state({{light, heard}, {}}); });
  };
  assert(told({usual, "active=40,x0=0.8", 400ms, false}) != usual);
  assert(told({usual, {}, 0ms, true}) != usual);
  for (const NodeHandoverState& useless : {NodeHandoverState{usual, "active=40,x0=0.8", 4s, false},
                                           NodeHandoverState{usual, "active=40,x0=0.8", -400ms, false},
                                           NodeHandoverState{"unlisted", "active=40,x0=0.8", 0ms, true}})
    assert(told(useless) == usual);
}

void tells_the_other_process() {
  Bed bed;
  assert(bed.core.handover_state().nodes.empty() &&
         bed.core.handover_state().prefill_times_per_token.empty());
  bed.take();
  bed.pass(20ms);
  bed.done(Outcome::prefill_done);
  bed.nodes.begun.back().attempt->on_data("a");
  bed.nodes.begun.back().attempt->on_done({Outcome::ok, 0, "active=2,x0=0.3", {}});
  bed.pass(1s);
  const auto of = [&](const std::string& name) {
    for (const auto& one : bed.core.handover_state().nodes)
      if (one.node == name)
        return one;
    return NodeHandoverState{};
  };
  assert(of("w").load_report == "active=2,x0=0.3" && of("w").age == 1s && of("w").work_rate > 0);
  assert(of("r").load_report.empty() && of("r").work_rate > 0);
  const auto rates = bed.core.handover_state().prefill_times_per_token;
  assert(rates.size() == 1 && rates[0].first == Role::prefill && rates[0].second > 0);
  // Neither an old report nor one of a node that is out, or has started anew since.
  bed.core.update_endpoints(EndpointListKind::incremental, 2, {Bed::node("w", EndpointState::draining)});
  assert(of("w").node.empty());
  bed.core.update_endpoints(EndpointListKind::incremental, 3, {Bed::node("w")});
  assert(!of("w").load_report.empty());
  auto anew = Bed::node("w");
  anew.started_at = bed.clock.at;
  bed.core.update_endpoints(EndpointListKind::incremental, 4, {anew});
  assert(of("w").load_report.empty());
  bed.core.update_endpoints(EndpointListKind::incremental, 5, {Bed::node("w")});
  bed.pass(3s);
  assert(of("w").load_report.empty());
}

// The first read of a process that takes over in a jam waits behind what the process knows nothing of. It
// took that time for the readers' rate, and refused whoever came while another one was read; told of the
// usual rate it goes on.
void takes_over_in_a_jam() {
  const auto refused = [](bool told) {
    Settings s = settings();
    s.report_columns = {"active", "x0", "x1"};
    s.report_x1_is_queued_tokens = true;
    Bed bed({"r", "w", "w2"}, s);
    if (told)
      bed.core.apply_handover_state({{}, {{Role::prefill, 50}}});
    bed.take();
    bed.pass(2s);
    bed.nodes.begun.back().attempt->on_done({Outcome::prefill_done, 0, "active=1,x0=0.1,x1=0", {}});
    bed.nodes.begun.back().attempt->on_data("a");
    bed.done(Outcome::ok);
    bed.nodes.many = true;
    TestClient clients[3];
    int count = 0;
    for (int i = 0; i < 3; ++i) {
      RequestId id = 0;
      ClientRequest client_request;
      client_request.prompt = {"q" + std::to_string(i), "/", std::make_shared<std::string>("{}")};
      client_request.request_class = "k";
      client_request.prompt_tokens = 1000;
      assert(bed.core.submit(client_request, clients[i], id) == Router::SubmitResult::accepted);
      count += clients[i].seen == "|refused";
    }
    return count;
  };
  assert(refused(false) > 0);
  assert(refused(true) == 0);
  // What has been learned here counts more, and what is no rate counts for nothing.
  Bed bed;
  bed.core.apply_handover_state(
      {{}, {{Role::prefill, 0}, {Role::prefill, -1}, {Role::prefill, std::nan("")}}});
  assert(bed.core.handover_state().prefill_times_per_token.empty());
}

// Nodes that have gone are forgotten, though an attempt is still out at one of them.
void nodes_come_and_go() {
  Bed bed;
  bed.take();
  bed.done(Outcome::prefill_done);
  bed.nodes.begun[1].attempt->on_data("a");
  for (std::uint32_t i = 0; i < 100; ++i) {
    const auto name = "r" + std::to_string(i);
    bed.core.update_endpoints(EndpointListKind::incremental, 2 + 2 * i, {Bed::node(name)});
    bed.core.update_endpoints(EndpointListKind::incremental, 3 + 2 * i,
                              {Bed::node(name, EndpointState::removed)});
  }
  bed.core.update_endpoints(EndpointListKind::full, 300, {Bed::node("r")});
  assert(bed.core.listed_node_count() == 1);
  bed.done(Outcome::ok);
  assert(bed.client.seen == "a|end" && bed.core.idle());
}

// A read that is cut may have ended well: released when the request ends without another attempt.
void cut_read() {
  for (const Outcome outcome : {Outcome::reset, Outcome::error}) {
    Bed bed;
    bed.take();
    for (int i = 0; i < 5; ++i)
      bed.done(outcome);
    assert(bed.nodes.begun.size() == 5 && bed.client.answers == 1);
    assert(bed.nodes.released.size() == 1);
  }
  Bed bed;
  bed.take();
  bed.done(Outcome::rejected_over_capacity);  // proves that nothing ran
  assert(bed.nodes.released.empty());
}

void deadline() {
  Bed bed;
  bed.take();
  bed.pass(5999ms);
  assert(bed.client.answers == 0);
  bed.pass(1ms);
  assert(bed.client.seen == "|failed" && !bed.nodes.begun.back().open);
  assert(bed.nodes.released.size() == 1);
}

void drained_node_gets_nothing() {
  Bed bed;
  bed.core.update_endpoints(EndpointListKind::incremental, 2, {Bed::node("r", EndpointState::draining)});
  bed.take();
  assert(bed.nodes.begun.empty() && bed.client.seen == "|refused");
  // A whole list that does not name a node any more tells that it is gone.
  bed.core.update_endpoints(EndpointListKind::full, 3, {Bed::node("w")});
  assert(bed.core.ready_node_count() == 1);
}

// Two processes share the bans through a file: an order to either holds for both, is there after a restart,
// and a file that can't be read changes nothing.
void bans_are_shared() {
  const std::string path = "core_test.bans";
  std::remove(path.c_str());
  using Ordered = Router::OverrideResult;
  {
    LockFile old_lock("core_test.lock"), new_lock("core_test.lock");
    Bed old_one({"r", "w", "w2"}), new_one({"r", "w", "w2"});
    old_one.core.load_overrides(path, old_lock);
    assert(old_one.core.drain_node("w2") == Ordered::applied);
    new_one.core.load_overrides(path, new_lock);
    assert(new_one.unhealthy() == 1);
    assert(new_one.core.drain_node("r") == Ordered::applied &&
           old_one.core.drain_node("w") == Ordered::applied);
    new_one.core.reload_overrides();
    old_one.core.reload_overrides();
    assert(old_one.unhealthy() == 3 && new_one.unhealthy() == 3);
    assert(new_one.core.undrain_node("w") == Ordered::applied &&
           new_one.core.drain_node("x") == Ordered::unknown_node);
    old_one.core.reload_overrides();
    assert(old_one.unhealthy() == 2 && old_one.core.ready_node_count() == 1);
    // Not while the other writes; and without effect then.
    assert(old_lock.take(AdminOverrides::lock_byte));
    assert(new_one.core.undrain_node("r") == Ordered::not_stored && new_one.unhealthy() == 2);
  }
  for (const char* torn : {"{\"out\":[\"r\",", "", "[]", "{\"out\":7,\"back\":{}}", "{\"out\":[]}"}) {
    LockFile lock("core_test.lock");
    Bed bed({"r", "w", "w2"});
    bed.core.load_overrides(path, lock);
    assert(bed.unhealthy() == 2);
    std::ofstream(path) << torn;
    bed.core.reload_overrides();
    assert(bed.unhealthy() == 2);
    assert(bed.core.drain_node("w2") == Ordered::applied);  // writes it whole again
  }
  LockFile lock("core_test.lock"), none("no/such/folder/lock");
  Bed bed;
  bed.core.load_overrides("core_test.bans", none);
  assert(bed.core.drain_node("w") == Ordered::not_stored && bed.core.ready_node_count() == 1);
  std::remove(path.c_str());
  std::remove("core_test.lock");
}

// What is put back is as cold as a node that has just started, whatever discovery has heard of it.
void put_back_cold() {
  Bed bed;
  (void)bed.core.drain_node("r");
  bed.pass(1min);
  (void)bed.core.undrain_node("r");
  int sent = 0;
  for (int i = 0; i < 20; ++i) {
    bed.next_id = "q" + std::to_string(i);
    bed.take();
    sent += static_cast<int>(bed.nodes.begun.size());
    bed.core.client_disconnected(bed.id);
    bed.nodes.begun.clear();
  }
  assert(sent <= 1);
}

// Counts stay with the class that a request was taken with, and those of vanished classes are bounded.
void counts_are_bounded() {
  RequestMetrics counts;
  std::vector<ClassSettings> classes(1);
  classes[0].name = "first";
  counts.set_classes(classes);
  const auto first = counts.counts_of("first");
  for (int i = 0; i < 500; ++i) {
    classes[0].name = "k" + std::to_string(i);
    counts.set_classes(classes);
  }
  ++first->answered;
  assert(counts.all().size() == 65 && counts.all().count("k499") && !counts.all().count("first"));
}

// What comes for a client that has gone is passed to nobody, and the stream is ended at the node.
void gone_in_stream() {
  Bed bed;
  bed.take();
  bed.done(Outcome::prefill_done);
  bed.nodes.begun[1].attempt->on_data("a");
  bed.core.client_disconnected(bed.id);
  assert(!bed.nodes.begun[1].open && bed.client.answers == 0 && bed.core.idle());
}

// The node's silence counts only while it may send.
void slow_client() {
  Bed bed;
  bed.take();
  bed.done(Outcome::prefill_done);
  bed.client.slow = true;
  bed.nodes.begun[1].attempt->on_data("a");
  bed.pass(6s);
  assert(bed.nodes.begun[1].open && bed.client.answers == 0);
  bed.core.resume_stream(bed.id);
  bed.pass(4499ms);
  assert(bed.client.answers == 0);
  bed.pass(1ms);
  assert(bed.client.seen == "a|cut" && !bed.nodes.begun[1].open);
}

void unknown_and_duplicate() {
  Bed bed;
  bed.take();
  ClientRequest client_request;
  client_request.prompt.id = "q";
  client_request.request_class = "k";
  RequestId id = 0;
  assert(bed.core.submit(client_request, bed.client, id) == Router::SubmitResult::duplicate_id);
  client_request.request_class = "other";
  assert(bed.core.submit(client_request, bed.client, id) == Router::SubmitResult::unknown_class);
  assert(bed.core.open_request_count() == 1);
}

void load_reports() {
  const std::vector<std::string> columns{"active", "waiting", "x0"};
  const auto values = parse_load_report("inflight=7, queue=2,x0=0.5,other=1", columns);
  assert((values == std::vector<float>{7, 2, 0.5f}));
  for (const char* bad : {"", "x0", "x0=", "x0=nan", "x0=inf", "x0=1x", "=,=", "zz=1", ",,,", "x0=0.5,queue",
                          "x0=0.5,active=-1", "active=2,x0=1e30", "x0=0.5,active=1\x80"})
    assert(parse_load_report(bad, columns).empty());
  assert(std::isnan(parse_load_report("x0=1", columns)[0]));
}

}  // namespace

int main() {
  served();
  release_again();
  release_unheard();
  release_past_lost_nodes();
  waits_end();
  learns_from_the_other_process();
  tells_the_other_process();
  takes_over_in_a_jam();
  nodes_come_and_go();
  cut_read();
  deadline();
  drained_node_gets_nothing();
  bans_are_shared();
  put_back_cold();
  counts_are_bounded();
  gone_in_stream();
  slow_client();
  unknown_and_duplicate();
  load_reports();
  std::cout << "core: all checks passed\n";
}
