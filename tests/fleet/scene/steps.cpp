#include "scene/steps.h"

#include <algorithm>
#include <map>

namespace lemonroute::rig {
namespace {

const std::map<std::string, Verb> verbs{
    {"start", Verb::start},     {"kill", Verb::kill},     {"stop", Verb::stop},
    {"continue", Verb::go_on},  {"term", Verb::term},     {"restart", Verb::restart},
    {"crash", Verb::crash},     {"drain", Verb::drain},   {"list", Verb::list},
    {"flush", Verb::flush},     {"cut", Verb::cut},       {"slow", Verb::slow},
    {"lose", Verb::lose},       {"repeat", Verb::repeat}, {"reorder", Verb::reorder},
    {"corrupt", Verb::corrupt}, {"heal", Verb::heal},     {"load", Verb::load},
    {"ask", Verb::ask},         {"flood", Verb::flood},   {"wait", Verb::wait},
    {"expect", Verb::expect},   {"hold", Verb::hold}};

constexpr std::uint32_t most_periods = 10000;

// A | B both ways, A > B one way. `rest`: all routers that are not on the other side.
void read_link(const Scene& scene, Line& line, Step& step) {
  step.names = read_names(scene, line, true);
  if (line.skip(">"))
    step.both_ways = false;
  else if (!line.skip("|"))
    line.fault("'|' or '>' is missing between the two sides");
  if (line.skip("rest")) {
    for (const auto& one : scene.routers)
      if (std::find(step.names.begin(), step.names.end(), one.name) == step.names.end())
        step.others.push_back(one.name);
    if (step.others.empty())
      line.fault("nobody is left for the other side");
  } else {
    step.others = read_names(scene, line, true);
  }
  for (const auto& name : step.names)
    if (std::find(step.others.begin(), step.others.end(), name) != step.others.end())
      line.fault("'" + name + "' is on both sides");
  for (const auto* side : {&step.names, &step.others})
    for (const auto& name : *side)
      if (scene.device(name) && !scene.relay_devices)
        line.fault("links to devices are out of reach without 'relay devices'");
}

void read_requests(const Scene& scene, Line& line, Step& step) {
  if (!line.skip("on"))
    line.fault("'on' and routers are missing");
  step.names = read_names(scene, line, false);
  while (!line.empty()) {
    if (const auto n = line.option("openings"))
      step.openings = line.whole(*n, 0, 1000);
    else if (const auto name = line.option("opening"))
      step.opening = *name;
    else if (const auto tokens = line.option("tokens"))
      step.tokens = line.whole(*tokens, 1, 100000);
    else if (const auto kind = line.option("class"))
      step.kind = *kind;
    else
      line.end();
  }
  if (scene.devices.empty())
    line.fault("there is no device that could answer");
}

void routers_only(const Scene& scene, const Line& line, const Names& names, bool routers) {
  for (const auto& name : names)
    if ((scene.router(name) != nullptr) != routers)
      line.fault("'" + name + (routers ? "' is no router" : "' is no device"));
}

std::uint32_t read_within(Line& line) {
  return line.skip("within") ? line.whole(line.take("periods"), 1, most_periods) : 0;
}

}  // namespace

Step read_step(const Scene& scene, Line& line, const std::string& verb) {
  const auto known = verbs.find(verb);
  if (known == verbs.end())
    line.fault("'" + verb + "' is no verb");
  Step step;
  step.line = line.number();
  step.verb = known->second;
  switch (step.verb) {
    case Verb::start:
    case Verb::kill:
    case Verb::stop:
    case Verb::go_on:
    case Verb::term:
      step.names = read_names(scene, line, false);
      break;
    case Verb::restart:
      step.names = read_names(scene, line, true);
      routers_only(scene, line, step.names, scene.router(step.names.front()) != nullptr);
      if (const auto state = line.option("state")) {
        if (*state != "lost" || !scene.router(step.names.front()))
          line.fault("only state=lost is known, of routers");
        step.state_lost = true;
      }
      break;
    case Verb::crash:
    case Verb::drain:
    case Verb::list:
    case Verb::flush:
      step.names = read_names(scene, line, true);
      routers_only(scene, line, step.names, false);
      break;
    case Verb::cut:
      read_link(scene, line, step);
      break;
    case Verb::slow:
      read_link(scene, line, step);
      step.span = line.span(line.take("a span"));
      if (step.span < Micros(0))
        line.fault("a link can't be early");
      break;
    case Verb::lose:
    case Verb::repeat:
    case Verb::reorder:
    case Verb::corrupt:
      read_link(scene, line, step);
      step.part = line.part(line.take("a part"));
      break;
    case Verb::heal:
      if (!line.empty())
        read_link(scene, line, step);
      break;
    case Verb::load:
      if (line.skip("off"))
        break;
      step.rate = line.rate(line.take("a rate"));
      read_requests(scene, line, step);
      break;
    case Verb::ask:
      step.count = line.whole(line.take("a count"), 1, 10000);
      read_requests(scene, line, step);
      break;
    case Verb::flood:
      if (line.skip("off"))
        break;
      step.names = read_names(scene, line, false);
      step.rate = line.rate(line.take("a rate"));
      step.forged = line.skip("forged");
      break;
    case Verb::wait:
      step.periods = line.whole(line.take("periods"), 1, most_periods);
      break;
    case Verb::expect:
      step.fact = read_fact(scene, line);
      step.periods = read_within(line);
      break;
    case Verb::hold:
      step.periods = line.whole(line.take("periods"), 1, most_periods);
      step.fact = read_fact(scene, line);
      break;
  }
  line.end();
  return step;
}

}  // namespace lemonroute::rig
