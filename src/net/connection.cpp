#include "net/connection.h"

#include <linux/sockios.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/ioctl.h>
#include <sys/socket.h>

#include <cerrno>
#include <cstring>
#include <optional>
#include <stdexcept>

#include "base/log.h"

namespace lemonroute::net {
namespace {

constexpr std::chrono::milliseconds out_of_descriptors_rest{50};

bool out_of_descriptors(int error) {
  return error == EMFILE || error == ENFILE;
}

std::optional<int> tcp_state(evutil_socket_t fd) {
  tcp_info info{};
  socklen_t size = sizeof info;
  if (getsockopt(fd, IPPROTO_TCP, TCP_INFO, &info, &size) != 0)
    return std::nullopt;
  return info.tcpi_state;
}

void no_delay(evutil_socket_t fd) {
  const int on = 1;
  setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
}

}  // namespace

SocketAddress::SocketAddress(const std::string& text) {
  // libevent takes no port 0, which asks for any free one when listening.
  const bool any_port = text.ends_with(":0");
  const std::string parsed = any_port ? text.substr(0, text.size() - 1) + "1" : text;
  auto* address = reinterpret_cast<sockaddr*>(&storage_);
  if (evutil_parse_sockaddr_port(parsed.c_str(), address, &length_) != 0 ||
      text.rfind(':') == std::string::npos || text.back() == ']')
    throw std::invalid_argument("'" + text + "' is not an address of the form IP:PORT");
  if (any_port && address->sa_family == AF_INET)
    reinterpret_cast<sockaddr_in*>(address)->sin_port = 0;
  if (any_port && address->sa_family == AF_INET6)
    reinterpret_cast<sockaddr_in6*>(address)->sin6_port = 0;
}

Connection::Connection(Loop& loop, evutil_socket_t accepted, Handler& handler)
    : bev_(bufferevent_socket_new(loop.base(), accepted, BEV_OPT_CLOSE_ON_FREE)) {
  no_delay(accepted);
  set_up(handler);
}

Connection::Connection(Loop& loop, const SocketAddress& to, Handler& handler, Purpose purpose)
    : bev_(bufferevent_socket_new(loop.base(), -1, BEV_OPT_CLOSE_ON_FREE)) {
  const auto make = [&] {
    return socket(to.address()->sa_family, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
  };
  evutil_socket_t fd = make();
  if (fd < 0 && out_of_descriptors(errno)) {
    // Guards what has to go on when clients have filled the table: without a socket to discovery they never
    // go.
    const int why = errno;
    if (loop.reserve().lend(purpose))
      fd = make();
    else
      errno = why;
    loop.reserve().run_short();
  }
  if (fd < 0) {
    started_ = false;
    loop.tally().note(Overdone::no_socket, std::strerror(errno));
    return;
  }
  no_delay(fd);
  bufferevent_setfd(bev_.get(), fd);
  set_up(handler);
  if (bufferevent_socket_connect(bev_.get(), to.address(), to.length()) != 0)
    started_ = false;
}

void Connection::set_up(Handler& handler) {
  handler_ = &handler;
  bufferevent_setcb(
      bev_.get(), [](bufferevent*, void* self) { static_cast<Connection*>(self)->handler_->on_readable(); },
      [](bufferevent*, void* self) { static_cast<Connection*>(self)->handler_->on_drained(); },
      [](bufferevent*, short what, void* self) {
        Handler& to = *static_cast<Connection*>(self)->handler_;
        if (what & BEV_EVENT_CONNECTED)
          to.on_connected();
        else
          to.on_closed();
      },
      this);
  bufferevent_enable(bev_.get(), EV_READ | EV_WRITE);
}

void Connection::write(std::string_view bytes) {
  bufferevent_write(bev_.get(), bytes.data(), bytes.size());
}

void Connection::write(std::shared_ptr<const std::string> bytes) {
  if (bytes->empty())
    return;
  using Held = std::shared_ptr<const std::string>;
  auto* held = new Held(std::move(bytes));
  evbuffer_add_reference(
      bufferevent_get_output(bev_.get()), (*held)->data(), (*held)->size(),
      [](const void*, std::size_t, void* extra) { delete static_cast<Held*>(extra); }, held);
}

void Connection::read(bool on) {
  if (on)
    bufferevent_enable(bev_.get(), EV_READ);
  else
    bufferevent_disable(bev_.get(), EV_READ);
}
void Connection::limit_input(std::size_t n) {
  bufferevent_setwatermark(bev_.get(), EV_READ, 0, n);
}
bool Connection::silent() const {
  char byte = 0;
  return evbuffer_get_length(bufferevent_get_input(bev_.get())) == 0 &&
         recv(bufferevent_getfd(bev_.get()), &byte, 1, MSG_PEEK | MSG_DONTWAIT) < 0 &&
         (errno == EAGAIN || errno == EWOULDBLOCK);
}
bool Connection::ended() const {
  char byte = 0;
  const auto got = recv(bufferevent_getfd(bev_.get()), &byte, 1, MSG_PEEK | MSG_DONTWAIT);
  return got == 0 || (got < 0 && errno != EAGAIN && errno != EWOULDBLOCK && errno != EINTR);
}
bool Connection::peer_has_closed() const {
  switch (tcp_state(descriptor()).value_or(TCP_ESTABLISHED)) {
    case TCP_CLOSE_WAIT:
    case TCP_CLOSING:
    case TCP_LAST_ACK:
    case TCP_TIME_WAIT:
    case TCP_CLOSE:
      return true;
    default:
      return ended();
  }
}
bool Connection::unacknowledged() const {
  const bool open = tcp_state(descriptor()).value_or(TCP_CLOSE) != TCP_CLOSE;
  int bytes = 0;
  return open && ioctl(bufferevent_getfd(bev_.get()), SIOCOUTQ, &bytes) == 0 && bytes > 0;
}
// Once: with bytes in front of it the end can't be seen without reading them, and the loop would spin on
// them.
void Connection::leave_unread() {
  bufferevent_disable(bev_.get(), EV_READ);
  end_.reset(event_new(
      bufferevent_get_base(bev_.get()), descriptor(), EV_READ,
      [](evutil_socket_t, short, void* self) {
        auto* connection = static_cast<Connection*>(self);
        if (connection->ended())
          connection->handler_->on_closed();
      },
      this));
  event_add(end_.get(), nullptr);
}
void Connection::push() {
  evbuffer* output = bufferevent_get_output(bev_.get());
  if (evbuffer_get_length(output) == 0)
    return;
  evbuffer_unfreeze(output, 1);  // the bufferevent keeps its front to itself
  evbuffer_write(output, bufferevent_getfd(bev_.get()));
  evbuffer_freeze(output, 1);
}
void Connection::end_sending() {
  shutdown(bufferevent_getfd(bev_.get()), SHUT_WR);
}
void Connection::poke() {
  bufferevent_trigger(bev_.get(), EV_READ,
                      static_cast<int>(BEV_OPT_DEFER_CALLBACKS) | BEV_TRIG_IGNORE_WATERMARKS);
}

namespace {

// Guards against a number that names anything but the clients' socket: what arrived elsewhere would never be
// taken, and the program would still look ready.
void check_inherited(evutil_socket_t fd, const SocketAddress& at, const std::string& address) {
  const std::string socket = "the inherited socket, descriptor " + std::to_string(fd) + ", ";
  int listens = 0;
  socklen_t size = sizeof listens;
  if (getsockopt(fd, SOL_SOCKET, SO_ACCEPTCONN, &listens, &size) != 0)
    throw std::runtime_error(socket + "is none: " + std::strerror(errno));
  if (!listens)
    throw std::runtime_error(socket + "does not listen");
  sockaddr_storage bound{};
  socklen_t length = sizeof bound;
  getsockname(fd, reinterpret_cast<sockaddr*>(&bound), &length);
  const auto* wanted = reinterpret_cast<const sockaddr_in*>(at.address());
  const auto* wanted6 = reinterpret_cast<const sockaddr_in6*>(at.address());
  const auto& is = reinterpret_cast<const sockaddr_in&>(bound);
  const auto& is6 = reinterpret_cast<const sockaddr_in6&>(bound);
  const bool same = bound.ss_family == AF_INET6
                        ? wanted6->sin6_family == AF_INET6 && is6.sin6_port == wanted6->sin6_port &&
                              std::memcmp(&is6.sin6_addr, &wanted6->sin6_addr, sizeof is6.sin6_addr) == 0
                        : wanted->sin_family == bound.ss_family && is.sin_port == wanted->sin_port &&
                              is.sin_addr.s_addr == wanted->sin_addr.s_addr;
  if (!same)
    throw std::runtime_error(socket + "does not listen on " + address);
}

}  // namespace

Listener::Listener(Loop& loop, const std::string& address, Accepted accepted, bool shared)
    : loop_(loop), accepted_(std::move(accepted)), rest_(loop, [this] { end_rest(); }) {
  const SocketAddress at(address);
  const unsigned options = LEV_OPT_CLOSE_ON_FREE | LEV_OPT_CLOSE_ON_EXEC | LEV_OPT_REUSEABLE |
                           (shared ? static_cast<unsigned>(LEV_OPT_REUSEABLE_PORT) : 0u);
  listener_.reset(
      evconnlistener_new_bind(loop.base(), taken, this, options, 1024, at.address(), at.length()));
  if (!listener_)
    throw std::runtime_error("cannot listen on " + address + ": " + std::string(std::strerror(errno)));
  made();
}

// Nothing is done to the socket that its other holders would feel. Not blocking is the one thing that they
// share and that is needed: of two processes that wake for one connection, the second would hang in accept.
Listener::Listener(Loop& loop, const std::string& address, evutil_socket_t inherited, Accepted accepted)
    : loop_(loop), accepted_(std::move(accepted)), rest_(loop, [this] { end_rest(); }) {
  check_inherited(inherited, SocketAddress(address), address);
  evutil_make_socket_nonblocking(inherited);
  evutil_make_socket_closeonexec(inherited);
  constexpr int listens_already = 0;
  listener_.reset(
      evconnlistener_new(loop.base(), taken, this, LEV_OPT_CLOSE_ON_FREE, listens_already, inherited));
  if (!listener_)
    throw std::runtime_error("the inherited socket can't be used on " + address);
  made();
}

void Listener::taken(evconnlistener*, evutil_socket_t fd, sockaddr*, int, void* self) {
  static_cast<Listener*>(self)->accepted_(fd);
}

void Listener::made() {
  evconnlistener_set_error_cb(listener_.get(),
                              [](evconnlistener*, void* self) { static_cast<Listener*>(self)->failed(); });
}

void Listener::failed() {
  const int why = EVUTIL_SOCKET_ERROR();
  if (always_ && out_of_descriptors(why) && loop_.reserve().lend(Purpose::management))
    return;  // the loop comes again
  loop_.tally().note(Overdone::not_taken, evutil_socket_error_to_string(why));
  rest();
  if (out_of_descriptors(why))
    loop_.reserve().run_short();
}

// Guards against a full descriptor table: the waiting connection stays readable, and the loop would spin on
// it without serving the requests whose end frees descriptors.
void Listener::rest() {
  evconnlistener_disable(listener_.get());
  rest_.start(out_of_descriptors_rest);
}
void Listener::end_rest() {
  if (!always_ && !loop_.reserve().whole())
    return rest_.start(out_of_descriptors_rest);
  pause(paused_);
}

std::uint16_t Listener::port() const {
  sockaddr_storage at{};
  socklen_t length = sizeof at;
  getsockname(evconnlistener_get_fd(listener_.get()), reinterpret_cast<sockaddr*>(&at), &length);
  return ntohs(at.ss_family == AF_INET6 ? reinterpret_cast<sockaddr_in6&>(at).sin6_port
                                        : reinterpret_cast<sockaddr_in&>(at).sin_port);
}

void Listener::take_waiting(std::size_t most) {
  for (; most > 0; --most) {
    const evutil_socket_t fd =
        accept4(evconnlistener_get_fd(listener_.get()), nullptr, nullptr, SOCK_NONBLOCK | SOCK_CLOEXEC);
    if (fd < 0)
      return;
    accepted_(fd);
  }
}

void Listener::pause(bool on) {
  paused_ = on;
  if (on || rest_.pending())
    evconnlistener_disable(listener_.get());
  else
    evconnlistener_enable(listener_.get());
}

}  // namespace lemonroute::net
