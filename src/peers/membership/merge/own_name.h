// What others say of this router itself. It refutes what is said against it. A later process of its name
// supersedes it: an upgrade, in which both run for a while, or a mistake of two routers with one name;
// either way this one becomes quiet about itself. A later process that is never heard is a lie, or it has
// ended: the name is taken back.
#pragma once

#include <optional>

#include "peers/membership/fact.h"

namespace lemonroute::peers::membership {

class OwnName {
 public:
  enum class Then { nothing, refuted, superseded, updated, reclaimed };

  OwnName(Fact own, Micros period) : own_(std::move(own)), period_(period) {}

  const Fact& own() const { return own_; }
  const std::optional<Fact>& later() const { return later_; }  // who superseded this one, as far as was told
  bool superseded() const { return later_.has_value(); }

  Then told(const Fact& of_my_name, Micros now, std::uint64_t unix_now);
  void heard(const Fact& sender, Micros now);  // a packet that says to be from that later process
  Then check(Micros now);                      // once a period
  void end() { own_.standing = Standing::left; }

 private:
  Then reclaim();

  Fact own_;
  Micros period_;
  std::optional<Fact> later_;
  Micros since_{};
  bool confirmed_ = false;
};

}  // namespace lemonroute::peers::membership
