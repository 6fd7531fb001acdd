// Which questions are out, so that an answer is counted from when its question was sent.
#pragma once

#include <deque>
#include <optional>
#include <string>
#include <string_view>

#include "pools/rights/terms.h"

namespace lemonroute::pools {

class Questions {
 public:
  Questions(Terms terms, std::uint64_t seed) : terms_(terms), next_(seed) {}

  // To that keeper, sent now: its number.
  std::uint64_t ask(std::string_view keeper, Micros now);
  // When the question was sent that this keeper answers; nothing for one that was not asked, or a lease ago.
  std::optional<Micros> sent(std::string_view keeper, std::uint64_t nonce, Micros now) const;

 private:
  static constexpr std::size_t most = 1024;
  struct Out {
    std::uint64_t nonce;
    std::string keeper;
    Micros sent;
  };
  Terms terms_;
  std::uint64_t next_;
  std::deque<Out> out_;  // the oldest first
};

}  // namespace lemonroute::pools
