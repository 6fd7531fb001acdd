#include "discovery/list_call.h"

namespace lemonroute::discovery {
namespace {

constexpr std::size_t most_list = 8 * 1024 * 1024;  // bytes

}  // namespace

ListCall::ListCall(net::Loop& loop, http::Client& client, const std::string& address,
                   const Cadence::Call& call, Events& events)
    : events_(events),
      asks_for_whole_list_(call.wait == Micros(0)),
      overdue_(loop, [this] { overdue(); }),
      whole_(loop, [this] { events_.lost(*this, "an answer without an end"); }) {
  overdue_.start(call.first);
  whole_.start(call.whole);
  exchange_ =
      client.start(address, "GET " + call.target + " HTTP/1.1\r\nHost: " + address + "\r\n\r\n", {}, *this);
}

void ListCall::stop() {
  overdue_.stop();
  whole_.stop();
  exchange_.reset();
}

Micros ListCall::took() const {
  return std::chrono::duration_cast<Micros>(std::chrono::steady_clock::now() - asked_);
}

void ListCall::overdue() {
  if (begun_)
    return events_.lost(*this, "an answer that stops midway");
  events_.silent(*this);
}

void ListCall::body(std::string_view piece) {
  begun_ = true;
  overdue_.start(Cadence::pause);
  too_long_ = too_long_ || text_.size() + piece.size() > most_list;
  if (too_long_)
    status_ = 0;
  else
    text_ += piece;
}

void ListCall::ended(http::Ending how) {
  stop();
  if (how == http::Ending::whole)
    return events_.answered(*this);
  events_.lost(*this, "the connection failed");
}

}  // namespace lemonroute::discovery
