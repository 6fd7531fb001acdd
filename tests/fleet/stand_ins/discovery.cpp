#include "stand_ins/discovery.h"

#include <charconv>
#include <nlohmann/json.hpp>

namespace lemonroute::rig {
namespace {

std::uint32_t number(const std::string& text) {
  std::uint32_t value = 0;
  std::from_chars(text.data(), text.data() + text.size(), value);
  return value;
}

}  // namespace

struct Discovery::Visit : Server {
  Visit(Discovery& of, evutil_socket_t fd)
      : Server(of.loop_, fd), agent(of), timer(of.loop_, [this] { agent.answer(*this); }) {}
  void whole() override {
    const auto index = http::query_value(target, "index"), wait = http::query_value(target, "wait");
    known = index ? number(*index) : 0;
    waits = index && wait && known == agent.generation_;
    if (waits)
      timer.start(std::chrono::milliseconds(number(*wait)));
    else
      agent.answer(*this);
  }
  void gone() override { take_out(agent.loop_, agent.visits_, *this); }
  Discovery& agent;
  std::uint32_t known = 0;
  bool waits = false;
  net::Timer timer;
};

Discovery::Discovery(net::Loop& loop, const std::string& host, Told told)
    : loop_(loop),
      host_(host),
      told_(std::move(told)),
      listener_(std::make_unique<net::Listener>(loop, host + ":0", [this](evutil_socket_t fd) {
        visits_.push_back(std::make_unique<Visit>(*this, fd));
      })) {}
Discovery::~Discovery() = default;

void Discovery::list(const DeviceLine& device, const Listing& listing) {
  entries_[device.name] = {device, listing, ++generation_};
  for (auto& visit : visits_)
    if (visit->waits)
      answer(*visit);
}

void Discovery::answer(Visit& visit) {
  visit.timer.stop();
  visit.waits = false;
  auto list = nlohmann::json::array();
  for (const auto& [name, entry] : entries_) {
    const bool left = entry.listing.lifecycle == "left";
    if (visit.known ? entry.since <= visit.known : left)
      continue;
    list.push_back({{"instanceId", name},
                    {"hostPort", entry.listing.address},
                    {"zone", entry.device.site},
                    {"cell", entry.device.cell},
                    {"weight", 1.0},
                    {"machineType", entry.device.reader ? "reader" : "writer"},
                    {"lifecycle", entry.listing.lifecycle},
                    {"startedAtMs", entry.listing.started_ms}});
    told_(name, entry.listing);
  }
  const nlohmann::json body{{"generation", generation_}, {"reset", visit.known == 0}, {"instances", list}};
  visit.answer("200 OK", body.dump());
}

}  // namespace lemonroute::rig
