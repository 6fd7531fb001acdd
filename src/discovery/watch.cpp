#include "discovery/watch.h"

#include <utility>

#include "base/log.h"

namespace lemonroute::discovery {
namespace {

// A watch goes on at once after a list, on the same connection: where descriptors are short a second one may
// not be had. A list taken for another one is mended by the next, since each states its version.
http::ClientLimits watch_limits() {
  http::ClientLimits limits;
  limits.rest = {};
  return limits;
}

}  // namespace

Watch::Watch(net::Loop& loop, std::string address, Router& router, Cadence cadence)
    : loop_(loop),
      address_(std::move(address)),
      router_(router),
      client_(loop, watch_limits()),
      again_(loop, [this] { ask(); }),
      cadence_(cadence) {}
Watch::~Watch() = default;

// What the old address knew may be numbered otherwise at the new one, so nothing of it is built on. A whole
// fleet is told of the new address at once, and does not call there at once.
void Watch::move(std::string address) {
  drop_calls();
  client_.hang_up(address_);
  address_ = std::move(address);
  again_.start(cadence_.moved());
}

void Watch::ask() {
  Events& events = *this;
  call_ = std::make_unique<ListCall>(loop_, client_, address_, cadence_.next(), events);
}

void Watch::answered(ListCall& call) {
  try {
    take(cadence_.take(call.status(), call.text(), call.took()));
  } catch (const ListError& error) {
    if (&call == earlier_.get())
      return drop(earlier_);
    drop(call_);
    failed(error.what(), Cadence::Fault::bad_answer);
  }
}

void Watch::take(const Cadence::Answer& answer) {
  drop_calls();
  if (!well_)
    logging::info() << "discovery answers again";
  well_ = heard_ = true;
  if (answer.kind)
    router_.update_endpoints(*answer.kind, answer.list.version, answer.list.nodes);
  if (answer.rest > Micros(0))
    again_.start(answer.rest);
  else
    ask();
}

// Guards against a discovery whose answers take longer than a call is waited for: each call would be given up
// just before its answer, for as long as that lasts. So one call for the whole list is waited for on, up to
// the end of the time for its answer, beside those that find out whether discovery is back.
void Watch::silent(ListCall& call) {
  if (call.asks_for_whole_list() && !earlier_)
    earlier_ = std::move(call_);
  else
    drop(call_);
  failed("no answer", Cadence::Fault::no_answer);
}

void Watch::lost(ListCall& call, std::string_view why) {
  if (&call == earlier_.get())
    return drop(earlier_);
  drop(call_);
  failed(why, Cadence::Fault::no_answer);
}

// The last list stays in use.
void Watch::failed(std::string_view why, Cadence::Fault fault) {
  if (well_)
    logging::warn() << "discovery fails: " << why;
  well_ = false;
  again_.start(cadence_.failed(fault));
}

// Calls tell of themselves from their own timers, so they are destroyed later.
void Watch::drop(std::unique_ptr<ListCall>& call) {
  if (!call)
    return;
  call->stop();
  loop_.dispose(std::move(call));
}

void Watch::drop_calls() {
  again_.stop();
  drop(call_);
  drop(earlier_);
}

}  // namespace lemonroute::discovery
