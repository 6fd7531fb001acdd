#include "discovery/watch.h"

#include "base/log.h"

namespace lemonroute::discovery {
namespace {

constexpr std::size_t most_list = 8 * 1024 * 1024;

// A watch goes on at once after a list, on the same connection: where descriptors are short a second one may
// not be had. A list taken for another one is mended by the next, since each states its version.
http::ClientLimits watch_limits() {
  http::ClientLimits limits;
  limits.rest = {};
  return limits;
}

}  // namespace

Watch::Watch(net::Loop& loop, std::string address, Router& router, Cadence cadence)
    : address_(std::move(address)),
      router_(router),
      client_(loop, watch_limits()),
      again_(loop, [this] { ask(); }),
      overdue_(loop, [this] { broken("no answer"); }),
      whole_(loop, [this] { broken("an answer without an end"); }),
      cadence_(std::move(cadence)) {}

// What the old address knew may be numbered otherwise at the new one, so nothing of it is built on. A whole
// fleet is told of the new address at once, and does not call there at once.
void Watch::move(std::string address) {
  overdue_.stop();
  whole_.stop();
  exchange_.reset();
  client_.hang_up(address_);
  address_ = std::move(address);
  again_.start(cadence_.moved());
}

void Watch::ask() {
  text_.clear();
  status_ = 0;
  const Cadence::Call call = cadence_.next();
  asked_ = std::chrono::steady_clock::now();
  overdue_.start(call.first);
  whole_.start(call.whole);
  exchange_ = client_.start(address_, "GET " + call.target + " HTTP/1.1\r\nHost: " + address_ + "\r\n\r\n",
                            {}, *this);
}

void Watch::body(std::string_view piece) {
  overdue_.start(Cadence::pause);
  if (text_.size() + piece.size() <= most_list)
    text_ += piece;
  else
    status_ = 0;
}

void Watch::ended(http::Ending how) {
  overdue_.stop();
  whole_.stop();
  exchange_.reset();
  if (how != http::Ending::whole)
    return failed("the connection failed", Cadence::Fault::no_answer);
  try {
    take();
  } catch (const ListError& error) {
    return failed(error.what(), Cadence::Fault::bad_answer);
  }
}

void Watch::take() {
  const auto took = std::chrono::duration_cast<Micros>(std::chrono::steady_clock::now() - asked_);
  const Cadence::Answer answer = cadence_.take(status_, text_, took);
  if (!well_)
    logging::info() << "discovery answers again";
  well_ = heard_ = true;
  if (answer.kind)
    router_.update(*answer.kind, answer.list.version, answer.list.nodes);
  if (answer.rest > Micros(0))
    again_.start(answer.rest);
  else
    ask();
}

// The last list stays in use.
void Watch::failed(std::string_view why, Cadence::Fault fault) {
  if (well_)
    logging::warn() << "discovery fails: " << why;
  well_ = false;
  again_.start(cadence_.failed(fault));
}

void Watch::broken(std::string_view why) {
  overdue_.stop();
  whole_.stop();
  exchange_.reset();
  failed(why, Cadence::Fault::no_answer);
}

}  // namespace lemonroute::discovery
