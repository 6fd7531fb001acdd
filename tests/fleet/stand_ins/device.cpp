#include "stand_ins/device.h"

#include <algorithm>
#include <iomanip>
#include <sstream>

namespace lemonroute::rig {
namespace {

using std::chrono::microseconds;
using std::chrono::milliseconds;

constexpr milliseconds read_at_least{5}, first_token{5}, next_token{3};
constexpr microseconds per_token{10};
constexpr int words = 6;

std::string chunk(const std::string& bytes) {
  std::ostringstream out;
  out << std::hex << bytes.size() << "\r\n" << bytes << "\r\n";
  return out.str();
}

std::int64_t unix_ms() {
  return std::chrono::duration_cast<milliseconds>(std::chrono::system_clock::now().time_since_epoch())
      .count();
}

}  // namespace

struct Device::Visit : Server {
  Visit(Device& of, evutil_socket_t fd)
      : Server(of.loop_, fd), device(of), timer(of.loop_, [this] { next(); }) {}
  void whole() override { device.request(*this); }
  void gone() override {
    end();
    take_out(device.loop_, device.visits_, *this);
  }
  void end() {  // of the attempt, if one is out here
    timer.stop();
    if (std::exchange(open, false))
      device.cells_.over(running, device.name_);
  }
  void next() {
    if (device.reader_) {
      device.cells_.held[running] = device.name_;
      device.cells_.holds(running, device.name_);
      end();
      return answer("202 Accepted", "{\"cached_tokens\":" + std::to_string(cached) + "}");
    }
    if (word == 0) {
      device.let_go(running);  // fetched from its reader
      connection.write(
          "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n");
    }
    if (word++ < words) {
      connection.write(chunk("data: {\"choices\":[{\"index\":0,\"delta\":{\"content\":\"atti \"}}]}\n\n"));
      return timer.start(next_token);
    }
    connection.write(chunk("data: [DONE]\n\n") + "0\r\n\r\n");
    end();
  }
  Device& device;
  bool open = false;
  int word = 0;
  std::uint32_t cached = 0;
  std::string running;
  net::Timer timer;
};

Device::Device(net::Loop& loop, Cells& cells, const std::string& host, std::string name, bool reader)
    : loop_(loop), cells_(cells), host_(host), name_(std::move(name)), reader_(reader) {
  listen();
}
Device::~Device() = default;

void Device::listen() {
  listener_ = std::make_unique<net::Listener>(loop_, host_ + ":0", [this](evutil_socket_t fd) {
    visits_.push_back(std::make_unique<Visit>(*this, fd));
  });
  port_ = listener_->port();
}

void Device::request(Visit& visit) {
  if (visit.method == "DELETE") {
    let_go(visit.target.substr(
        std::min<std::size_t>(7, visit.target.size())));  // /state/ID, taken by any device
    return visit.connection.write("HTTP/1.1 204 No Content\r\n\r\n");
  }
  if (visit.method == "GET")
    return visit.answer("200 OK", "");
  visit.running = visit.id;
  visit.open = true;
  visit.word = 0;
  cells_.begun(visit.id, name_);
  if (!reader_ && !cells_.held.count(visit.id)) {
    visit.end();
    return visit.answer("410 Gone", "", "Srv-Declined: 1\r\n");
  }
  if (!reader_)
    return visit.timer.start(first_token);
  const Prompt prompt = cells_.prompt(visit.id);
  visit.cached = keep(prompt);
  cells_.read(name_, prompt, visit.cached);
  visit.timer.start(read_at_least + (prompt.tokens - std::min(prompt.tokens, visit.cached)) * per_token);
}

// The text of a session begins with its opening, and counts only as far as it was the same.
std::uint32_t Device::keep(const Prompt& prompt) {
  std::uint32_t there = 0;
  const auto take = [&](const std::string& key, std::uint32_t tokens) {
    if (key.empty())
      return;
    auto& kept = texts_[key];
    there = std::max(there, std::min(kept, tokens));
    kept = std::max(kept, tokens);
  };
  take("s " + prompt.session, prompt.tokens);
  take("o " + prompt.opening, prompt.opening.empty() ? 0 : prompt.shared);
  return there;
}

void Device::let_go(const std::string& request) {
  const auto held = cells_.held.find(request);
  if (held == cells_.held.end())
    return;
  const std::string holder = held->second;
  cells_.held.erase(held);
  cells_.freed(request, holder);
}

void Device::crash() {
  listener_.reset();
  for (auto& visit : visits_) {
    visit->reset();
    visit->end();
    loop_.dispose(std::move(visit));
  }
  visits_.clear();
  texts_.clear();
  std::vector<std::string> lost;
  for (const auto& [request, holder] : cells_.held)
    if (holder == name_)
      lost.push_back(request);
  for (const auto& request : lost)
    let_go(request);
}

void Device::restart() {
  crash();
  started_ms_ = unix_ms();
  listen();
}

void Device::flush() {
  texts_.clear();
}

}  // namespace lemonroute::rig
