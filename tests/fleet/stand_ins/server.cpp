#include "stand_ins/server.h"

#include <sys/socket.h>

#include <charconv>

namespace lemonroute::rig {

Server::Server(net::Loop& loop, evutil_socket_t fd) : fd_(fd), connection(loop, fd, *this) {}

void Server::on_readable() {
  evbuffer* input = connection.input();
  const auto scan = http::scan_head(input, http::Kind::request, scanned_);
  if (scan.state != http::Scan::head)
    return;
  const auto length = scan.head.field("Content-Length");
  std::size_t body = 0;
  std::from_chars(length.data(), length.data() + length.size(), body);
  if (evbuffer_get_length(input) < scan.length + body)
    return;
  method = scan.head.method;
  target = scan.head.target;
  id = scan.head.field("Req-Id");
  evbuffer_drain(input, scan.length + body);
  scanned_ = 0;
  whole();
}

void Server::answer(const std::string& status, const std::string& body, const std::string& fields) {
  connection.write("HTTP/1.1 " + status + "\r\n" + fields + "Content-Length: " + std::to_string(body.size()) +
                   "\r\n\r\n" + body);
}

void Server::reset() {
  const linger now{1, 0};
  setsockopt(fd_, SOL_SOCKET, SO_LINGER, &now, sizeof now);
}

}  // namespace lemonroute::rig
