// When discovery is asked, for what, and how long an answer is waited for. Told what came of each call; no I/O, no clock.
#pragma once

#include <optional>
#include <string>

#include "core/types.h"

namespace lemonroute::discovery {

class Cadence {
 public:
  struct Call {
    std::string target;
    Micros wait{};   // how long discovery may think before it answers; 0 for the whole list
    Micros first{};  // if nothing has come by then the call is broken, counted from its start,
    Micros whole{};  // and if its answer has not ended by then
  };
  Call next() const;
  void answered(std::uint32_t version) { version_ = version; }
  void failed() { version_.reset(); }  // the next call asks for the whole list, and does not wait
  bool has_list() const { return version_.has_value(); }

  // An answer that has begun is broken once nothing more has come for so long.
  static constexpr Micros pause = std::chrono::seconds(1);
  // A watch goes on if the next call comes within 200 ms of an answer.
  static constexpr Micros again = std::chrono::milliseconds(100);

 private:
  std::optional<std::uint32_t> version_;  // of the list that is held; none: it has to be asked for
};

}  // namespace lemonroute::discovery
