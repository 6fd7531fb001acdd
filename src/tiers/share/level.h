// One level above the device: the site's or the region's. Takes votes as a collector, tells as a head of
// shards, and takes what the heads of other shards tell.
#pragma once

#include <unordered_map>

#include "tiers/names/homes.h"
#include "tiers/share/known.h"
#include "tiers/store/announcements.h"
#include "tiers/store/told.h"
#include "tiers/store/vote_table.h"

namespace lemonroute::tiers {

class Level {
 public:
  Level(Known& known, Tier tier, std::size_t most_keys);

  std::vector<std::size_t> viewed(const peers::View& view);  // the shards whose collectors have changed
  void votes(Micros now, NameId contributor, const Payload& payload);
  bool rows(Micros now, std::string_view from, const Payload& payload);  // whether hints have changed
  void asked(Micros now, std::string_view from);
  void ask(Micros now, peers::Outbox& out);  // for all rows, of each head
  bool run(Micros now, peers::Outbox& out);  // whether hints have changed
  void generations_advanced() { choose_all_ = true; }

  // Puts a vote of this router to the key's collectors, itself included; the payloads go with `flush`.
  struct Mail {
    std::unordered_map<std::string, Packer> open;
  };
  void vote(Mail& mail, const Line& line, Micros now, Budget& budget, peers::Outbox& out);
  void flush(Mail& mail, Budget& budget, peers::Outbox& out);

  const Homes& homes() const { return homes_; }
  const VoteTable& vote_table() const { return vote_table_; }
  const Announcements& announcements() const { return announcements_; }
  const Told& told() const { return told_; }
  std::uint64_t not_collectors() const { return not_collectors_; }

 private:
  bool choose_one(KeyId key, Micros now);
  void tell_all(Micros now, peers::Outbox& out);
  void serve_asks(Micros now, peers::Outbox& out);
  const char* word() const { return tier_ == Tier::site ? "site-rows" : "region-rows"; }
  Known& known_;
  Tier tier_;
  Homes homes_;
  VoteTable vote_table_;
  Announcements announcements_;
  Told told_;
  Budget push_;
  struct Asker {
    KeyId cursor = 0;
    Micros at{};
    bool open = true;
  };
  std::map<std::string, Asker> askers_;  // members only
  Micros chosen_all_{};
  bool choose_all_ = false;
  std::uint64_t not_collectors_ = 0;
};

}  // namespace lemonroute::tiers
