#include "ops/management.h"

#include <nlohmann/json.hpp>

#include "base/log.h"

namespace lemonroute::ops {
namespace {

using std::chrono::seconds;

constexpr seconds for_a_call{2};     // to come whole, from connecting on
constexpr seconds for_an_answer{1};  // to be taken

constexpr const char* json_fields = "Content-Type: application/json\r\nCache-Control: no-store\r\n";

}  // namespace

class Management::Caller : net::Connection::Handler {
 public:
  Caller(Management& owner, evutil_socket_t fd)
      : owner_(owner), timer_(owner.loop_, [this] { on_timer(); }), connection_(owner.loop_, fd, *this) {
    connection_.limit_input(2 * http::most_head);  // enough to see that a head is too long
    timer_.start(for_a_call);
  }

 private:
  void on_readable() override {
    if (!has_head_)
      read_head();
    if (has_head_ && !answered_)
      read_body();
    // What else comes is read and dropped: closing with bytes unread would reset the connection, and the
    // answer could be lost with it.
    if (answered_)
      evbuffer_drain(connection_.input(), evbuffer_get_length(connection_.input()));
  }
  void read_head() {
    const auto scan = http::scan_head(connection_.input(), http::Kind::request, scanned_);
    if (scan.state == http::Scan::more)
      return;
    auto fault = scan.fault;
    if (scan.state == http::Scan::head)
      if (const auto body = http::Body::of_request(scan.head, fault))
        body_ = *body;
    if (fault != http::Fault::none)
      return send({static_cast<int>(fault), {}, {}});
    has_head_ = true;
    const auto* bytes = evbuffer_pullup(connection_.input(), static_cast<ev_ssize_t>(scan.length));
    head_.assign(reinterpret_cast<const char*>(bytes), scan.length - 4);
    if (http::same_name(scan.head.field("Expect"), "100-continue"))
      connection_.write("HTTP/1.1 100 Continue\r\n\r\n");
    evbuffer_drain(connection_.input(), scan.length);
  }
  // A call takes effect once it is whole, its body too, of which nothing is used.
  void read_body() {
    const auto state = body_.take(connection_.input(), [](std::string_view) { return true; });
    if (state == http::Body::State::more)
      return;
    if (state == http::Body::State::fault)
      return send({static_cast<int>(body_.fault()), {}, {}});
    http::Head head;
    http::parse_head(head_, http::Kind::request, head);
    send(owner_.answer(head));
  }
  void send(const Answer& answer) {
    if (answer.status >= 400)
      logging::info() << "management: a call is answered with " << answer.status;
    answered_ = true;
    connection_.write(
        http::whole_answer(answer.status, answer.fields + "Connection: close\r\n", answer.body));
    timer_.start(for_an_answer);
  }
  void on_drained() override {
    if (answered_)
      connection_.end_sending();
  }
  void on_closed() override { owner_.leave(*this); }
  void on_timer() {
    if (answered_)
      return owner_.leave(*this);
    send({408, {}, {}});
  }

  Management& owner_;
  bool has_head_ = false, answered_ = false;
  std::size_t scanned_ = 0;
  std::string head_;
  http::Body body_;
  net::Timer timer_;
  net::Connection connection_;
};

Management::Management(net::Loop& loop, const std::string& listen, Router& router, const Status& status,
                       std::function<Reloads()> reloads, Fleet fleet)
    : loop_(loop), router_(router), status_(status), reloads_(std::move(reloads)), fleet_(std::move(fleet)) {
  listener_ = std::make_unique<net::Listener>(loop, listen, [this](evutil_socket_t fd) { accept(fd); });
  listener_->serve_always();
}
Management::~Management() = default;

// Guards against callers that connect and finish no call: they may take all places, but whoever comes next
// gets the place of the one that has been there longest, and a call that comes whole is answered there and
// then.
void Management::accept(evutil_socket_t fd) {
  if (callers_.size() >= most_callers)
    leave(*callers_.front());
  callers_.push_back(std::make_unique<Caller>(*this, fd));
}

void Management::leave(Caller& caller) {
  const auto found =
      std::find_if(callers_.begin(), callers_.end(), [&](auto& one) { return one.get() == &caller; });
  if (found == callers_.end())
    return;
  loop_.dispose(std::move(*found));
  callers_.erase(found);
}

Management::Answer Management::answer(const http::Head& head) {
  const auto path = head.target.substr(0, head.target.find('?'));
  const bool reads = path == "/ready" || path == "/metrics" || (fleet_ && path == "/fleet");
  const bool out = path == "/instances/disable", orders = out || path == "/instances/enable";
  if (!reads && !orders)
    return {404, {}, {}};
  if (head.method != (reads ? "GET" : "POST"))
    return {405, {}, reads ? "Allow: GET\r\n" : "Allow: POST\r\n"};
  if (path == "/metrics")
    return metrics();
  if (path == "/fleet")
    return fleet();
  if (path == "/ready")
    return {status_.state() == State::draining ? 503 : 200, {}, {}};
  const auto name = http::query_value(head.target, "name");
  if (!name || name->empty())
    return {400, "name=ID is missing or can't be read\n", {}};
  switch (out ? router_.drain_node(*name) : router_.undrain_node(*name)) {
    case Router::OverrideResult::applied:
      return {200, *name + (out ? " is out\n" : " may serve\n"), {}};
    case Router::OverrideResult::unknown_node:
      return {404, *name + " was never listed\n", {}};
    case Router::OverrideResult::not_stored:
      break;
  }
  return {503, "it can't be stored, nothing has changed\n", {}};
}

Management::Answer Management::metrics() const {
  const RouterMetrics figures = router_.metrics();
  const Reloads reloads = reloads_();
  auto transactions = nlohmann::json::object();
  for (const auto& [name, counts] : figures.classes)
    transactions[name] = {
        {"answered", counts.answered}, {"deferred", counts.rejected}, {"errored", counts.failed}};
  auto peers = nlohmann::json::object();
  for (std::size_t i = 0; i < net::Tally::kinds; ++i) {
    const auto kind = static_cast<net::Overdone>(i);
    peers[std::string(net::Tally::name(kind))] = loop_.tally().counted(kind);
  }
  const nlohmann::json all{{"bad_peers", peers},
                           {"transactions", transactions},
                           {"sends", figures.sent_attempts},
                           {"current", figures.open_requests},
                           {"cluster_size", figures.listed_nodes},
                           {"cluster_unhealthy", figures.unhealthy_nodes},
                           {"conf_loaded", reloads.loaded},
                           {"conf_invalid", reloads.invalid}};
  // Names of classes come from a file: what is no UTF-8 there must not end the program here.
  return {200, all.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace) + "\n", json_fields};
}

Management::Answer Management::fleet() const {
  const auto known = fleet_();
  return known ? Answer{200, *known, json_fields} : Answer{503, "nothing is known yet\n", {}};
}

}  // namespace lemonroute::ops
