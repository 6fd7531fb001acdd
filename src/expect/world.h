// Plays a case: the real core and the real Scheduler, on a clock that is moved from event to event, with
// scripted nodes and clients around them. Nothing here decides anything; the monitor of the rules watches
// every edge.
#pragma once

#include <deque>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "core/router.h"
#include "expect/case.h"
#include "rules/monitor.h"

namespace lemonroute::expect {

struct Attempted {
  std::string node;
  Micros at{};
  Role role = Role::read;  // of the node
  std::string outcome;     // empty: still out at the end
  Micros took{};
};

// A choice of the module's, with the nodes' names as they were at that moment.
struct Told {
  Micros at{};
  Choice choice;
  std::map<HostId, std::string> names;
};

// What became of one request. Times count from the moment it was asked.
struct Story {
  std::string name;
  Micros asked{};  // on the case's clock
  Answer answer = Answer::none;
  Micros answered{};
  std::optional<Micros> first, retry_after, left;
  std::vector<Attempted> attempts;
  std::vector<std::string> holders;  // nodes that held most of the prompt when it was asked
  std::optional<Micros>
      freed;  // when the last state held for it was gone; none: it never had any, or has still
  bool held_at_end = false;
  std::vector<Told> choices;                // only when explanations are wanted
  const Attempted* last(Role stage) const;  // nothing if there was none
};

struct Run {
  std::vector<Story> requests;  // those asked for, in order
  std::vector<rules::Breach> breaches;
  std::vector<std::string> impossible;  // steps that could not be played as written, one line each
  const Story* find(const std::string& name) const;
  std::string decisions() const;  // attempts, answers and times of all requests, to tell two runs apart
};

struct Options {
  std::uint64_t seed = 0;
  bool explain = false;
  std::optional<rules::Limits> limits;  // instead of those that the setup's settings give
};

rules::Limits limits_of(const Settings& settings);
Run play(const Case& one, const Setup& setup, const Options& options);

}  // namespace lemonroute::expect
