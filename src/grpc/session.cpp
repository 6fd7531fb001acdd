#include "grpc/session.h"

namespace lemonroute::grpc {

Session::Session(net::Loop& loop, evutil_socket_t accepted, SessionOwner& owner, Limits limits)
    : loop_(loop),
      owner_(owner),
      limits_(limits),
      server_(true),
      connected_(true),
      guard_(limits.guard),
      output_memory_(loop.memory()),
      self_(std::make_shared<Session*>(this)),
      connect_timer_(loop, [this] { close(); }),
      ping_timer_(loop, [this] { unheard(); }),
      look_timer_(loop, [this] { look(); }),
      last_timer_(loop, [this] { last_call(); }),
      end_timer_(loop, [this] { close(); }),
      connection_(new net::Connection(loop, accepted, *this)) {
  connect_timer_.start(limits.greeting_timeout);  // guards against peers that connect and say nothing
  look_timer_.start(look_again);
  start(true);
}

Session::Session(net::Loop& loop, const std::string& address, SessionOwner& owner, Limits limits)
    : loop_(loop),
      owner_(owner),
      limits_(limits),
      server_(false),
      connected_(false),
      guard_(limits.guard),
      output_memory_(loop.memory()),
      self_(std::make_shared<Session*>(this)),
      connect_timer_(loop, [this] { close(); }),
      ping_timer_(loop, [this] { unheard(); }),
      look_timer_(loop, [this] { look(); }),
      last_timer_(loop, [this] { last_call(); }),
      end_timer_(loop, [this] { close(); }),
      connection_(new net::Connection(loop, net::SocketAddress(address), *this)) {
  connect_timer_.start(connection_->started() ? limits.connect_timeout : std::chrono::microseconds(0));
  start(false);
}

Session::~Session() = default;

void Session::start(bool server) {
  nghttp2_option* option = nullptr;
  nghttp2_option_new(&option);
  nghttp2_option_set_no_auto_window_update(option, 1);
  nghttp2_session* made = nullptr;
  if (server)
    nghttp2_session_server_new2(&made, callbacks(), this, option);
  else
    nghttp2_session_client_new2(&made, callbacks(), this, option);
  nghttp2_option_del(option);
  session_.reset(made);
  const nghttp2_settings_entry settings[] = {
      {NGHTTP2_SETTINGS_MAX_CONCURRENT_STREAMS, server ? limits_.streams : 0},
      {NGHTTP2_SETTINGS_MAX_HEADER_LIST_SIZE, static_cast<std::uint32_t>(most_header_bytes)},
      {NGHTTP2_SETTINGS_ENABLE_PUSH, 0}};
  // Servers may not state ENABLE_PUSH.
  nghttp2_submit_settings(session_.get(), NGHTTP2_FLAG_NONE, settings, server ? 2 : 3);
  flush_soon();
}

Session::Stream* Session::stream(std::int32_t id) {
  const auto found = streams_.find(id);
  return found == streams_.end() ? nullptr : &found->second;
}

void Session::check_alive() {
  if (closed_ || !connected_ || ping_timer_.pending())
    return;
  nghttp2_submit_ping(session_.get(), NGHTTP2_FLAG_NONE, nullptr);
  ping_timer_.start(limits_.ping_timeout / 4);
  flush_soon();
}

// The connection goes on taking calls until the answer is late: what a call that was given up left behind is
// released on the same one, behind its reset, and must not overtake it.
void Session::unheard() {
  if (doubted_)
    return close();
  doubt(true);
  ping_timer_.start(limits_.ping_timeout - limits_.ping_timeout / 4);
}

void Session::doubt(bool on) {
  if (!server_ && !closed_ && std::exchange(doubted_, on) != on)
    owner_.doubted(*this, on);
}

void Session::go_away() {
  if (closed_ || std::exchange(going_, true))
    return;
  if (!server_) {
    nghttp2_submit_goaway(session_.get(), NGHTTP2_FLAG_NONE, 0, NGHTTP2_NO_ERROR, nullptr, 0);
    owner_.going(*this);
  } else {
    nghttp2_submit_shutdown_notice(session_.get());
    // What the peer had sent before it read the notice has arrived once this is answered.
    nghttp2_submit_ping(session_.get(), NGHTTP2_FLAG_NONE, nullptr);
    last_timer_.start(limits_.last_call);
  }
  flush_soon();
}

void Session::last_call() {
  last_timer_.stop();
  if (closed_ || std::exchange(counted_out_, true))
    return;
  last_counted_ = nghttp2_session_get_last_proc_stream_id(session_.get());
  nghttp2_submit_goaway(session_.get(), NGHTTP2_FLAG_NONE, last_counted_, NGHTTP2_NO_ERROR, nullptr, 0);
  flush_soon();
}

void Session::end_after_answers() {
  go_away();
  end_timer_.start(guard_.limits().taking);
}

void Session::close() {
  if (std::exchange(closed_, true))
    return;
  for (net::Timer* timer : {&connect_timer_, &ping_timer_, &look_timer_, &last_timer_, &end_timer_})
    timer->stop();
  if (connection_->started())
    connection_->end_sending();
  // Danger: a call that is told of its end is begun again there and then, and must not come back to this
  // connection. So the owner hears first.
  owner_.closed(*this);
  end_streams();
}

void Session::end_streams() {
  waiting_.clear();
  while (!streams_.empty()) {
    const auto first = streams_.begin();
    StreamEvents* events = first->second.events;
    const bool was_sent = connected_ && sent(first->second);
    streams_.erase(first);
    if (events)
      events->closed(connection_lost, was_sent);
  }
}

}  // namespace lemonroute::grpc
