// Pings that this router sends for others, until each is answered or late. Bounded: beyond that it helps
// nobody.
#pragma once

#include <optional>
#include <string>
#include <vector>

#include "peers/membership/limits.h"

namespace lemonroute::peers::membership {

struct Help {
  std::uint32_t own = 0, theirs = 0;  // sequences
  std::string asker, asker_address, of;
  std::uint64_t late_at = 0;  // tick
};

class Helping {
 public:
  bool add(Help help) {
    if (helps_.size() >= limits::helped)
      return false;
    helps_.push_back(std::move(help));
    return true;
  }
  std::optional<Help> answered(std::uint32_t own, std::string_view by) {
    return take([&](const Help& one) { return one.own == own && one.of == by; });
  }
  std::optional<Help> late(std::uint64_t tick) {
    return take([&](const Help& one) { return one.late_at <= tick; });
  }

 private:
  template <class F>
  std::optional<Help> take(F&& wanted) {
    for (auto at = helps_.begin(); at != helps_.end(); ++at) {
      if (!wanted(*at))
        continue;
      Help help = std::move(*at);
      helps_.erase(at);
      return help;
    }
    return std::nullopt;
  }

  std::vector<Help> helps_;
};

}  // namespace lemonroute::peers::membership
