// What routers know together, as the core uses it: pools laid over the list, hints, losses, and what it
// tells.
#include <cassert>
#include <iostream>
#include <map>

#include "core_bed.h"

namespace {

using namespace lemonroute;
using namespace lemonroute::test;

struct Told : FleetView {
  std::map<std::string, NodeOverlay> laid;
  std::map<std::string, Micros> losses;
  std::uint32_t count = 0;
  std::vector<CacheLocation> keeps;
  std::uint32_t router_count() const override { return count; }
  NodeOverlay overlay(const Node& node) const override {
    return laid.count(node.name) ? laid.at(node.name) : NodeOverlay{};
  }
  std::vector<CacheLocation> cache_locations(Key, Key) const override { return keeps; }
  Micros cache_lost_at(const Node& node) const override {
    return losses.count(node.name) ? losses.at(node.name) : Micros(0);
  }
};

// A writer of a pool that is away gets no new work, whatever discovery lists, and serves again once it is
// back.
void lent_away() {
  Bed bed({"r", "w"});
  auto told = std::make_shared<Told>();
  told->laid["w"].drained = true;
  bed.core.set_fleet_view(told);
  assert(bed.core.ready_node_count() == 1);
  bed.take();
  bed.done(Outcome::prefill_done);
  assert(bed.nodes.begun.size() == 1 && bed.client.answers == 1);
  bed.core.set_fleet_view(std::make_shared<Told>());
  assert(bed.core.ready_node_count() == 2);
}

// Guards a pool against a process that was frozen while its right ran out: the first event after it finds the
// writer draining, although no newer guide has come. Without the check before each event this sends to it.
void run_out() {
  for (const Micros frozen : {Micros(0), Micros(999999), Micros(1s), Micros(1h)}) {
    Bed bed({"r", "w"});
    auto told = std::make_shared<Told>();
    told->laid["w"].expires_at = bed.clock.at + 1s;
    bed.core.set_fleet_view(told);
    bed.next_id = "f";
    bed.take();
    bed.clock.at += frozen;
    bed.done(Outcome::prefill_done);
    const bool sent = bed.nodes.begun.size() == 2;
    assert(sent == (frozen < 1s));
  }
}

// A pool taken over is cold: of two requests within a window the second finds no room, unlike at a warm
// writer.
void taken_over() {
  for (const bool cold : {false, true}) {
    Bed bed({"r", "w"});
    auto told = std::make_shared<Told>();
    if (cold)
      told->laid["w"].started_at = bed.clock.at;
    bed.core.set_fleet_view(told);
    for (const char* name : {"q1", "q2"}) {
      bed.next_id = name;
      bed.take();
      bed.done(Outcome::prefill_done);
      if (bed.nodes.begun.back().open)
        bed.done(Outcome::ok);
      bed.pass(1ms);
    }
    assert(bed.nodes.begun.size() == (cold ? 3 : 4));
  }
}

struct Notes : NodeObserver {
  int kept_ = 0, lists = 0, demands = 0;
  double tokens = 0;
  Demand last;
  void on_prefix_cached(const Node& node, Key, Key, double prompt, double, Micros) override {
    assert(node.name == "r");
    ++kept_, tokens = prompt;
  }
  void on_cache_lost(const Node&, Micros) override {}
  void on_endpoints(const std::vector<Node>& nodes, Micros) override { lists += nodes.size() == 2; }
  void on_demand(const Demand& demand, Micros) override { ++demands, last = demand; }
};

void tell_observer() {
  Notes notes;
  Bed bed({"r", "w"});
  bed.core.set_node_observer(&notes);
  assert(notes.lists == 1 && notes.demands == 1 && notes.last.decode_nodes == 1);
  bed.take();
  bed.done(Outcome::prefill_done);
  assert(notes.kept_ == 1 && notes.tokens == 100);
  bed.pass(1s);
  assert(notes.demands == 2 && notes.last.accepted_requests == 1 && notes.last.rejected_requests == 0);
  assert(std::abs(notes.last.own_load - 100.0 / 150000) < 1e-9);
  bed.done(Outcome::ok);
  bed.pass(1s);
  assert(notes.demands == 3 && notes.last.own_load == 0 && notes.kept_ == 1);
  bed.core.set_node_observer(nullptr);
  bed.pass(1s);
  assert(notes.demands == 3);
}

}  // namespace

int main() {
  lent_away();
  run_out();
  taken_over();
  tell_observer();
  std::cout << "guide: all checks passed\n";
}
