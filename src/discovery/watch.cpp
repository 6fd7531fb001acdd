#include "discovery/watch.h"

#include "base/log.h"
#include "discovery/list.h"

namespace lemonroute::discovery {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

// Guards against a watch whose connection has gone silent: nothing tells that apart from a list that does not
// change, so it goes unnoticed for as long as discovery may wait. What is told meanwhile counts as told 2 s after
// that wait at the latest. The agent is on this machine, and a call costs it nothing.
constexpr milliseconds wait_at_discovery = seconds(1);
constexpr milliseconds answer_within = seconds(1);  // beyond that wait, and between parts of an answer
constexpr milliseconds list_within = milliseconds(500);  // for a call that does not wait
constexpr milliseconds ask_again = milliseconds(100);  // a watch goes on if the next call comes within 200 ms
constexpr std::size_t most_list = 8 * 1024 * 1024;

}  // namespace

Watch::Watch(net::Loop& loop, std::string address, Conductor& conductor)
    : address_(std::move(address)),
      conductor_(conductor),
      client_(loop, {}),
      again_(loop, [this] { ask(); }),
      overdue_(loop, [this] {
        exchange_.reset();
        failed("no answer");
      }) {}

// What the old address knew may be numbered otherwise at the new one, so nothing of it is built on.
void Watch::move(std::string address) {
  client_.hang_up(address_);
  address_ = std::move(address);
  has_list_ = false;
  again_.stop();
  ask();
}

void Watch::ask() {
  text_.clear();
  status_ = 0;
  std::string target = "/v1/servers";
  if (has_list_)
    target += "?index=" + std::to_string(version_) + "&wait=" + std::to_string(wait_at_discovery.count());
  overdue_.start(has_list_ ? wait_at_discovery + answer_within : list_within);
  exchange_ =
      client_.start(address_, "GET " + target + " HTTP/1.1\r\nHost: " + address_ + "\r\n\r\n", {}, *this);
}

void Watch::body(std::string_view piece) {
  overdue_.start(answer_within);
  if (text_.size() + piece.size() <= most_list) text_ += piece;
  else status_ = 0;
}

void Watch::ended(http::Ending how) {
  overdue_.stop();
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
  const bool whole = list.whole || !has_list_;
  version_ = list.version;
  has_list_ = true;
  if (whole || !list.nodes.empty())
    conductor_.update(whole ? ListKind::full : ListKind::delta, list.version, list.nodes);
}

// The last list stays in use. The whole new one is asked for, since that call does not wait: whether discovery
// is back shows at once, and not after another wait.
void Watch::failed(std::string_view why) {
  if (well_) logging::warn() << "discovery fails: " << why;
  well_ = false;
  has_list_ = false;
  again_.start(ask_again);
}

}  // namespace lemonroute::discovery
