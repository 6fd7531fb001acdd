#include "discovery/watch.h"

#include "base/log.h"
#include "discovery/list.h"

namespace lemonroute::discovery {
namespace {

constexpr std::size_t most_list = 8 * 1024 * 1024;

}  // namespace

Watch::Watch(net::Loop& loop, std::string address, Conductor& conductor)
    : address_(std::move(address)),
      conductor_(conductor),
      client_(loop, {}),
      again_(loop, [this] { ask(); }),
      overdue_(loop, [this] { broken("no answer"); }),
      whole_(loop, [this] { broken("an answer without an end"); }) {}

// What the old address knew may be numbered otherwise at the new one, so nothing of it is built on.
void Watch::move(std::string address) {
  client_.hang_up(address_);
  address_ = std::move(address);
  cadence_.failed();
  again_.stop();
  ask();
}

void Watch::ask() {
  text_.clear();
  status_ = 0;
  const Cadence::Call call = cadence_.next();
  overdue_.start(call.first);
  whole_.start(call.whole);
  exchange_ =
      client_.start(address_, "GET " + call.target + " HTTP/1.1\r\nHost: " + address_ + "\r\n\r\n", {}, *this);
}

void Watch::body(std::string_view piece) {
  overdue_.start(Cadence::pause);
  if (text_.size() + piece.size() <= most_list) text_ += piece;
  else status_ = 0;
}

void Watch::ended(http::Ending how) {
  overdue_.stop();
  whole_.stop();
  exchange_.reset();
  if (how != http::Ending::whole) return failed("the connection failed");
  if (status_ != 200) return failed("status " + std::to_string(status_));
  try {
    take();
  } catch (const ListError& error) {
    return failed(error.what());
  }
  if (!well_) logging::info() << "discovery answers again";
  well_ = true;
  ask();
}

void Watch::take() {
  const NodeList list = parse_list_text(text_);
  const bool whole = list.whole || !cadence_.has_list();
  cadence_.answered(list.version);
  if (whole || !list.nodes.empty())
    conductor_.update(whole ? ListKind::full : ListKind::delta, list.version, list.nodes);
}

// The last list stays in use. The whole new one is asked for, since that call does not wait: whether discovery
// is back shows at once, and not after another wait.
void Watch::failed(std::string_view why) {
  if (well_) logging::warn() << "discovery fails: " << why;
  well_ = false;
  cadence_.failed();
  again_.start(Cadence::again);
}

void Watch::broken(std::string_view why) {
  overdue_.stop();
  whole_.stop();
  exchange_.reset();
  failed(why);
}

}  // namespace lemonroute::discovery
