// The view as its users see it, made when it is asked for: at a thousand members a change costs nothing until
// then.
#pragma once

#include "peers/membership/table.h"

namespace lemonroute::peers::membership {

class Present {
 public:
  Present(std::string me, Micros period);
  void note(const Table& table, Micros now);  // keeps since when this router has been in a minority
  std::optional<Micros> minority_since() const { return minority_since_; }
  const View& view(const Table& table, Micros now);

 private:
  View view_;
  std::optional<Micros> minority_since_;
  std::uint64_t made_of_ = 0;
};

}  // namespace lemonroute::peers::membership
