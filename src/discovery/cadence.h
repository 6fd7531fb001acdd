// When discovery is asked, for what, how long an answer is waited for, and what an answer says. Told what
// came of each call; no I/O, no clock. docs/discovery.md has the states, the figures and the worst cases.
#pragma once

#include <optional>
#include <random>
#include <string>
#include <string_view>

#include "core/types.h"
#include "discovery/list.h"

namespace lemonroute::discovery {

// Where lists are pushed an agent on this machine has them, answers at once and for nothing, and what it has
// counts as told. Where they are asked for, each call costs, and what is to be told counts as told 6 s later.
enum class Lists { pushed, asked };

class Cadence {
 public:
  struct Call {
    std::string target;
    Micros wait{};   // how long discovery may think before it answers; 0 for the whole list
    Micros first{};  // if nothing has come by then the call is broken, counted from its start,
    Micros whole{};  // and if its answer has not ended by then
  };
  // `drain_grace` is how long after being told new work may go on. Cadences of different seeds don't keep
  // step.
  explicit Cadence(Lists lists = Lists::pushed, Micros drain_grace = std::chrono::milliseconds(500),
                   std::uint64_t seed = 0);
  void retune(Lists lists, Micros drain_grace);  // from the next call on

  Call next();

  struct Answer {
    NodeList list;
    std::optional<EndpointListKind> kind;  // how the core is to take it; none: there is nothing to take
    Micros rest{};                         // until the next call
  };
  // Of a call that took `took` from its start. Throws ListError if the answer can't be used; that call has
  // failed.
  Answer take(int status, std::string_view text, Micros took);

  // No answer came, or none that can be used. Both return how long to rest until the next call.
  enum class Fault { no_answer, bad_answer };
  Micros failed(Fault fault = Fault::bad_answer);
  Micros moved();  // discovery is elsewhere from now on, and may number its lists otherwise

  void answered(std::uint32_t version);
  bool has_list() const { return version_.has_value(); }

  // An answer that has begun is broken once nothing more has come for so long.
  static constexpr Micros pause = std::chrono::milliseconds(500);
  // The longest rest where lists are pushed. A watch goes on if the next call comes within 200 ms of an
  // answer.
  static constexpr Micros again = std::chrono::milliseconds(100);

 private:
  Micros between(Micros least, Micros most);
  Call ask_whole();
  Call ask_changes(Micros wait, Micros patience);
  Micros rest();

  Lists lists_;
  Micros turn_;  // from one call to the next while none is answered, where lists are pushed
  std::mt19937_64 random_;
  std::optional<std::uint32_t> version_;  // of the list that is held; none: it has to be asked for
  Micros waits_{};                        // of the call that is out
  int failures_ = 0;                      // since the last answer
};

}  // namespace lemonroute::discovery
