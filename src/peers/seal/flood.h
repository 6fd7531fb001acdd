// How much of what arrives is looked at, decided before any computation of a proof. Free of I/O; bounded.
//
// The stated cost per second, whoever sends what: `taken` datagrams read from the socket; of those `proven`
// proofs computed for addresses from which something proven came within `remembered`, and `strangers` for all
// the others.
#pragma once

#include <array>
#include <cstdint>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

#include "lemonroute/scheduler.h"

namespace lemonroute::peers::seal {

class Bucket {
 public:
  // `rate` a second; half a second's worth may come at once.
  bool take(Micros now, double rate);

 private:
  double spent_ = 0;  // of half a second's worth
  Micros at_{};
};

class Flood {
 public:
  struct Rates {
    double taken = 20000, proven = 8000, strangers = 500, address = 500;
  };
  static constexpr std::size_t most_addresses = 8192;
  static constexpr Micros remembered = std::chrono::seconds(60);

  // `secret`: nobody outside may choose addresses that share a bucket with somebody else's.
  using Secret = std::array<unsigned char, 16>;
  Flood(Rates rates, const Secret& secret) : rates_(rates), secret_(secret), strange_(1024) {}

  bool take(Micros now) { return taken_.take(now, rates_.taken); }  // false: read no more for a moment
  bool look(Micros now, std::string_view address);                  // false: leave it unopened
  void prove(Micros now, std::string_view address);                 // something proven came from there
  std::size_t addresses() const { return proven_.size(); }

 private:
  struct Known {
    Bucket bucket;
    Micros proven{};
  };
  Rates rates_;
  Secret secret_;
  Bucket taken_, all_proven_, all_strange_;
  std::unordered_map<std::string, Known> proven_;
  std::vector<Bucket> strange_;
  Micros swept_{};
};

}  // namespace lemonroute::peers::seal
