// How far this router believes each of the others, by the nodes' own counts alone. Told to nobody: a liar
// can't talk the trust in others down. Beside it, the hints that a count has just disproved.
#pragma once

#include <map>
#include <unordered_map>

#include "tiers/names/names.h"

namespace lemonroute::tiers {

class Trust {
 public:
  static constexpr double unknown = 0.5, least = 0.1;  // below the least nothing of it is used
  // 0, or from `least` to 1. Drifts back to `unknown` by half in ten minutes.
  double of(NameId name, Micros now) const;
  void confirmed(NameId name, Micros now);
  void contradicted(NameId name, Micros now,
                    double factor);  // 0.5 for a contributor, 0.9 for a collector that passed it on
  std::size_t size() const { return all_.size(); }
  std::size_t distrusted(Micros now) const;

 private:
  struct One {
    double trust = unknown;
    Micros at{};
  };
  static double drifted(const One& one, Micros now);
  One& place(NameId name);
  std::unordered_map<NameId, One> all_;  // those that were ever judged, 4096 at the most
};

class Denied {
 public:
  void add(KeyId key, NameId device, Micros until);
  bool has(KeyId key, NameId device, Micros now) const;
  void expire(Micros now);
  std::size_t size() const { return all_.size(); }

 private:
  std::map<std::pair<KeyId, NameId>, Micros> all_;  // 1024 at the most
};

}  // namespace lemonroute::tiers
