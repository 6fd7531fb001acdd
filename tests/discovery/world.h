// Discovery, the network to it and a watch on paper: what each call comes to is worked out from the schedule,
// and the Cadence is told of it as discovery::Watch tells it. The worst is taken throughout: a call that has
// met a disturbance is never answered, even if that ends while the call is out.
#pragma once

#include <algorithm>
#include <map>
#include <nlohmann/json.hpp>
#include <optional>
#include <random>
#include <string>
#include <vector>

#include "discovery/cadence.h"

namespace lemonroute::discovery::paper {

using namespace std::chrono_literals;

enum class Trouble { refused, never_up, silent, stops, drops, reset, status, unreadable, kinds };

struct Disturbance {
  Micros from, to;
  Trouble what;
};

struct Schedule {
  std::vector<Micros> changes;        // discovery has something newer
  std::vector<Disturbance> troubles;  // in order, none touching
  std::vector<Micros> silences;       // a watch that is open then is never heard of again
  std::vector<Micros> restarts;       // discovery counts anew, from a lower figure
  std::vector<Micros> moves;          // SIGHUP to another address, which counts otherwise
  Micros answers_in{};                // a call that goes well
  bool indented = false;
};

class World {
 public:
  World(Schedule schedule, Cadence cadence) : s_(std::move(schedule)), cadence_(std::move(cadence)) {}

  // Plays up to `end`. Told times are those of the changes, in their order.
  void play(Micros end) {
    Micros at{};
    while (at < end)
      at = call(at, cadence_.next());
  }
  std::optional<Micros> told(std::size_t change) const {
    const auto found = told_.find(change);
    return found == told_.end() ? std::nullopt : std::optional(found->second);
  }
  const std::map<std::string, int>& held() const { return held_; }
  std::map<std::string, int> listed(Micros at) const {  // node -> the change that touched it last
    std::map<std::string, int> nodes;
    for (std::size_t i = 0; i < s_.changes.size() && s_.changes[i] <= at; ++i)
      nodes[name(i)] = static_cast<int>(i);
    return nodes;
  }
  std::size_t calls() const { return starts_.size(); }
  const std::vector<Micros>& starts() const { return starts_; }
  std::size_t whole_lists() const { return whole_lists_; }

 private:
  static std::string name(std::size_t change) { return "n" + std::to_string(change % 5); }
  const Disturbance* trouble(Micros at) const {
    for (const auto& one : s_.troubles)
      if (one.from <= at && at < one.to)
        return &one;
    return nullptr;
  }
  static Micros next_of(const std::vector<Micros>& times, Micros after) {
    const auto found = std::upper_bound(times.begin(), times.end(), after);
    return found == times.end() ? Micros::max() : *found;
  }
  std::size_t count(const std::vector<Micros>& times, Micros at) const {
    return static_cast<std::size_t>(std::upper_bound(times.begin(), times.end(), at) - times.begin());
  }
  // Each restart and each move begins a numbering of its own; a restart's is below what was held.
  std::uint32_t offset(Micros at) const {
    return static_cast<std::uint32_t>(10000 - 100 * count(s_.restarts, at) +
                                      1000 * (count(s_.moves, at) % 3));
  }
  std::uint32_t version(Micros at) const {
    return offset(at) + static_cast<std::uint32_t>(count(s_.changes, at));
  }

  std::string text(Micros at, std::optional<std::uint32_t> index) {
    nlohmann::json list{
        {"generation", version(at)}, {"reset", !index}, {"instances", nlohmann::json::array()}};
    whole_lists_ += !index;
    for (const auto& [node, change] : listed(at))
      if (!index || offset(at) + static_cast<std::uint32_t>(change) >= *index)
        list["instances"].push_back({{"instanceId", node},
                                     {"hostPort", "127.0.0.1:1"},
                                     {"machineType", "m"},
                                     {"lifecycle", "active"},
                                     {"startedAtMs", change}});
    return list.dump(s_.indented ? 4 : -1);
  }

  // When the next call is made.
  Micros call(Micros at, const Cadence::Call& call) {
    starts_.push_back(at);
    const Micros moved = next_of(s_.moves, at);
    const auto index = cadence_.has_list() ? std::optional(held_version_) : std::nullopt;
    if (const auto* met = trouble(at))
      return std::min(comes_to(at, at, call, met->what, moved), Micros::max());
    // When discovery answers, if nothing comes between.
    Micros answered = at + call.wait;
    if (!index || *index != version(at))
      answered = index && *index > version(at) ? answered : at;
    else
      answered = std::min(answered, next_of(s_.changes, at));
    answered = std::max(answered, at);
    const Micros silent = call.wait > 0us ? next_of(s_.silences, at) : Micros::max();
    Micros troubled = Micros::max();
    Trouble what{};
    for (const auto& one : s_.troubles)
      if (one.from > at && one.from < troubled)
        troubled = one.from, what = one.what;
    if (moved <= std::min({silent, troubled, answered}))
      return moved + cadence_.moved();
    if (silent <= std::min(troubled, answered))
      return comes_to(at, silent, call, Trouble::silent, moved);
    if (troubled <= answered + s_.answers_in)
      return comes_to(at, troubled, call, what, moved);
    const Micros end = answered + s_.answers_in;
    if (s_.answers_in > call.first || end - at > call.whole)
      return lost(at + std::min(call.first, call.whole), moved);
    return take(at, end, text(answered, index), index.has_value(), count(s_.changes, answered));
  }

  // A call that meets trouble at `met`.
  Micros comes_to(Micros at, Micros met, const Cadence::Call& call, Trouble what, Micros moved) {
    const Micros given_up = std::min(call.first, call.whole);
    switch (what) {
      case Trouble::refused:
      case Trouble::reset:
        return lost(met, moved);
      case Trouble::stops:
        return lost(std::min(met + Cadence::pause, at + call.whole), moved);
      case Trouble::drops:
        return lost(at + call.whole, moved);
      case Trouble::status:
        return spoilt(std::max(met, at), 503, "{}", moved);
      case Trouble::unreadable:
        return spoilt(std::max(met, at), 200, "{\"generation\":41,\"reset\":true,\"inst", moved);
      default:
        return lost(at + given_up, moved);
    }
  }
  Micros lost(Micros at, Micros moved) {
    if (moved <= at)
      return moved + cadence_.moved();
    return rested(at, cadence_.failed(Cadence::Fault::no_answer), moved);
  }
  Micros spoilt(Micros at, int status, const std::string& text, Micros moved) {
    if (moved <= at)
      return moved + cadence_.moved();
    try {
      cadence_.take(status, text, 0us);
    } catch (const ListError&) {
      return rested(at, cadence_.failed(), moved);
    }
    std::abort();  // it was no list
  }
  Micros rested(Micros at, Micros rest, Micros moved) {
    return moved <= at + rest ? moved + cadence_.moved() : at + rest;
  }

  Micros take(Micros at, Micros end, const std::string& text, bool changes, std::size_t known) {
    const Micros moved = next_of(s_.moves, at);
    if (moved <= end)
      return moved + cadence_.moved();
    Cadence::Answer answer;
    try {
      answer = cadence_.take(200, text, end - at);
    } catch (const ListError&) {
      if (!changes)
        std::abort();  // a whole list is always taken
      return rested(end, cadence_.failed(), moved);
    }
    held_version_ = answer.list.version;
    if (answer.kind == EndpointListKind::full)
      held_.clear();
    if (answer.kind)
      for (const auto& node : answer.list.nodes)
        held_[node.name] = static_cast<int>(node.started_at / 1ms);
    // What is held is what tells: a version alone would not.
    for (std::size_t i = 0; i < known; ++i) {
      const auto have = held_.find(name(i));
      if (have != held_.end() && have->second >= static_cast<int>(i))
        told_.emplace(i, end);
    }
    return rested(end, answer.rest, moved);
  }

  const Schedule s_;
  Cadence cadence_;
  std::uint32_t held_version_ = 0;
  std::map<std::string, int> held_;
  std::map<std::size_t, Micros> told_;
  std::vector<Micros> starts_;
  std::size_t whole_lists_ = 0;
};

}  // namespace lemonroute::discovery::paper
