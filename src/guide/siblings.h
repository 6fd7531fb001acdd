// How many routers share the nodes, as rule 4 is to count them: each sends a cold node one part in so many,
// so too few is the dangerous side and too many only warms nodes slower. Free of I/O.
//
// It rises at once with the view. It falls only after a stated number of periods in which no view was larger,
// and only while this router sees more than half of those it has known, and of those the settings name: of
// the parts of a fleet that is cut, one at the most may count less than all. Of n routers with s in that part
// the parts of a cold node sum to s/s + (n-s)/n, below 1.5; the module uses no more than 0.6 of what a cold
// node bears, so that rule 4 holds there as with the fixed number, at any cut.
#pragma once

#include <cstdint>
#include <deque>

#include "peers/view.h"

namespace lemonroute::guide {

class Siblings {
 public:
  struct Limits {
    std::uint32_t stated = 1;  // by the settings: what holds until the view has been heard for long enough
    std::uint32_t least = 1, most = 100'000;  // of the result
    std::uint32_t periods = 30;               // for which nothing larger was seen, before it falls
  };
  explicit Siblings(Limits limits) : limits_(limits) {}

  // With each change of the view, and each period; the times never go back.
  std::uint32_t see(Micros now, const peers::View& view);

 private:
  struct Seen {
    Micros at{};  // when it was seen last
    std::uint32_t count = 0;
  };
  Limits limits_;
  std::deque<Seen> falling_;  // counts fall from front to back: each the largest since the one before it
  std::uint32_t last_ = 0;
};

}  // namespace lemonroute::guide
