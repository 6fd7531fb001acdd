// What became of the requests of a played case, as plain data: attempts, answers and times.
#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "expect/case.h"
#include "rules/monitor.h"

namespace lemonroute::expect {

// One attempt of a request at a node. Times count from the moment the request was asked.
struct Attempted {
  std::string node;
  Micros at{};
  Role role = Role::prefill;  // of the node
  std::string outcome;        // empty: still out at the end
  Micros took{};
};

// A choice of the module's, with the nodes' names as they were at that moment.
struct Told {
  Micros at{};
  Choice choice;
  std::map<EndpointId, std::string> names;
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
  // When the last state held for it was gone; none: it never had any, or has still.
  std::optional<Micros> freed;
  bool held_at_end = false;
  std::vector<Told> choices;  // only when explanations are wanted

  // The last attempt at a node of this stage; nothing if there was none.
  const Attempted* last(Role stage) const;
};

// One run of a case under one seed.
struct Run {
  std::vector<Story> requests;  // those asked for, in order
  std::vector<rules::Breach> breaches;
  std::vector<std::string> impossible;  // steps that could not be played as written, one line each

  const Story* find(const std::string& name) const;
  // Attempts, answers and times of all requests, to tell two runs apart.
  std::string decisions() const;
};

}  // namespace lemonroute::expect
