// What all parts of one router's map share.
#pragma once

#include <algorithm>
#include <map>
#include <string>

#include "peers/extension.h"
#include "tiers/generation/generations.h"
#include "tiers/merge/choose.h"
#include "tiers/trust/trust.h"

namespace lemonroute::tiers {

// At most so many bytes a second, a second's worth at once. A payload goes while anything is left, so that
// the debt is one payload's.
class Budget {
 public:
  explicit Budget(std::size_t a_second) : rate_(static_cast<double>(a_second)), left_(rate_) {}
  void refill(Micros now) {
    left_ = std::min(rate_, left_ + rate_ * std::chrono::duration<double>(now - at_).count());
    at_ = now;
  }
  double left() const { return left_; }
  void spend(std::size_t bytes) { left_ -= static_cast<double>(bytes); }

 private:
  double rate_, left_;
  Micros at_{};
};

struct Traffic {
  std::uint64_t payloads_out = 0, bytes_out = 0, payloads_in = 0, bytes_in = 0;
};

struct Known {
  explicit Known(Options o)
      : options(std::move(o)),
        names(options.secret),
        me(names.of(options.name)),
        generations(names, static_cast<unsigned>(names.of(options.site) % 4), options.limits.devices) {}

  Options options;
  Names names;
  NameId me;
  Generations generations;
  Trust trust;
  Denied denied;
  std::uint64_t number = 0;                // of the last payload of votes
  std::map<std::string, Traffic> traffic;  // by kind
  std::map<std::string, std::uint64_t> dropped;

  double believed(NameId name, Micros now) const { return name == me ? 1.0 : trust.of(name, now); }
  Stamp next_stamp() { return {options.start, ++number}; }
  void send(const char* kind, peers::Outbox& out, std::string_view to, const std::string& bytes) {
    auto& counts = traffic[kind];
    ++counts.payloads_out;
    counts.bytes_out += bytes.size();
    out.send(peers::Topic::tiers, to, bytes);
  }
};

}  // namespace lemonroute::tiers
