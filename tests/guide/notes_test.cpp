#include "guide/notes.h"

#include <gtest/gtest.h>

#include <map>
#include <string>
#include <thread>

#include "guide/fleet_guide.h"

namespace lemonroute::guide {
namespace {

Node node(HostId id, const std::string& name) {
  Node node;
  node.id = id;
  node.name = name;
  return node;
}

struct Heard : NodeObserver {
  void kept(const Node& node, Key session, Key, double, double, Micros) override {
    text += " kept " + node.name + ":" + std::to_string(session);
    ++kepts;
  }
  void lost(const Node& node, Micros) override {
    text += " lost " + node.name;
    ++losses;
  }
  void listed(const std::vector<Node>& nodes, Micros) override {
    text += " listed " + std::to_string(nodes.size());
  }
  void demand(const Demand& demand, Micros) override { taken += demand.taken; }
  std::string text;
  std::uint64_t kepts = 0, losses = 0, taken = 0;
};

TEST(Notes, arrive_in_order_and_of_nodes_that_are_known_only) {
  int rung = 0;
  Notes notes([&] { ++rung; });
  Heard heard;
  notes.kept(node(1, "a"), 7, 0, 1, 0, Micros(1));  // before any list: of nobody
  notes.listed({node(1, "a"), node(2, "b")}, Micros(2));
  notes.kept(node(2, "b"), 8, 0, 1, 0, Micros(3));
  notes.lost(node(1, "a"), Micros(4));
  notes.listed({node(2, "c")}, Micros(5));
  notes.lost(node(1, "a"), Micros(6));
  notes.lost(node(2, "c"), Micros(7));
  notes.read({&heard});
  EXPECT_EQ(heard.text, " listed 2 kept b:8 lost a listed 1 lost c");
  EXPECT_EQ(rung, 5);  // for lists and losses
  EXPECT_EQ(notes.dropped(), 0u);
}

TEST(Notes, a_reader_that_stands_still_costs_bounded_memory_and_no_loss_of_text_goes_unheard) {
  Notes notes([] {});
  Heard heard;
  notes.listed({node(1, "a")}, Micros(1));
  for (std::size_t i = 0; i < 3 * Notes::room; ++i)
    notes.kept(node(1, "a"), i, 0, 1, 0, Micros(2));
  EXPECT_GT(notes.dropped(), 2 * Notes::room - 10);
  for (int i = 0; i < 10; ++i)
    notes.lost(node(1, "a"), Micros(3));
  for (int i = 0; i < 5; ++i)
    notes.listed({node(1, "a"), node(2, "b")}, Micros(4));
  const auto before = notes.dropped();
  notes.lost(node(2, "b"), Micros(5));
  EXPECT_EQ(notes.dropped(), before);
  notes.read({&heard});
  notes.kept(node(2, "b"), 99, 0, 1, 0, Micros(6));  // brings along what had to wait
  heard.text.clear();
  notes.read({&heard});
  EXPECT_EQ(heard.losses, 11u);
  EXPECT_EQ(heard.text.substr(heard.text.size() - 26), " listed 2 lost b kept b:99");
}

TEST(Notes, between_two_threads_each_is_heard_once_or_counted) {
  Notes notes([] {});
  Heard heard;
  constexpr std::uint64_t many = 200'000;
  notes.listed({node(1, "a")}, Micros(1));
  std::thread writer([&] {
    for (std::uint64_t i = 0; i < many; ++i)
      notes.demand({0, 0, 1, 0, 1}, Micros(2));
  });
  while (heard.taken + notes.dropped() < many)
    notes.read({&heard});
  writer.join();
  notes.read({&heard});
  EXPECT_EQ(heard.taken + notes.dropped(), many);
}

struct Fixed : Guide {
  Fixed(Laid laid, std::string holder, Micros lost) : laid_(laid), holder_(std::move(holder)), lost_(lost) {}
  Laid lay(const Node&) const override { return laid_; }
  std::vector<KeptAt> kept(Key, Key) const override {
    return holder_.empty() ? std::vector<KeptAt>{} : std::vector<KeptAt>{{holder_, 10, 1}};
  }
  Micros lost(const Node&) const override { return lost_; }
  Laid laid_;
  std::string holder_;
  Micros lost_;
};

TEST(FleetGuide, says_what_its_parts_say_and_in_doubt_that_a_node_is_away) {
  const FleetGuide none(3, {});
  EXPECT_EQ(none.siblings(), 3u);
  EXPECT_FALSE(none.lay(node(1, "a")).away);
  EXPECT_EQ(none.lay(node(1, "a")).until, Micros::max());
  const FleetGuide both(3,
                        {std::make_shared<Fixed>(Guide::Laid{true, Micros(5), Micros(90)}, "a", Micros(0)),
                         std::make_shared<Fixed>(Guide::Laid{false, Micros(7), Micros(80)}, "b", Micros(4))});
  const auto laid = both.lay(node(1, "a"));
  EXPECT_TRUE(laid.away);
  EXPECT_EQ(laid.started, Micros(7));
  EXPECT_EQ(laid.until, Micros(80));
  EXPECT_EQ(both.kept(1, 2).size(), 2u);
  EXPECT_EQ(both.lost(node(1, "a")), Micros(4));
}

}  // namespace
}  // namespace lemonroute::guide
