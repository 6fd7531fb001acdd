// A peer that can send any frame, cut at any byte, and see every frame that comes back. It stands on the same
// loop as what it tries, so nothing here waits by the clock.
#pragma once

#include <arpa/inet.h>
#include <fcntl.h>
#include <netinet/in.h>
#include <nghttp2/nghttp2.h>
#include <sys/socket.h>
#include <unistd.h>

#include <functional>
#include <string>
#include <string_view>
#include <vector>

#include "grpc/message.h"
#include "net/loop.h"

namespace lemonroute::conformance {

using grpc::Headers;
using std::string;

enum Type : std::uint8_t {
  DATA,
  HEADERS,
  PRIORITY,
  RST_STREAM,
  SETTINGS,
  PUSH_PROMISE,
  PING,
  GOAWAY,
  WINDOW_UPDATE,
  CONTINUATION
};
enum Flag : std::uint8_t {
  NONE = 0,
  ACK = 1,
  END_STREAM = 1,
  END_HEADERS = 4,
  PADDED = 8,
  WITH_PRIORITY = 32
};
enum Code : std::uint32_t {
  NO_ERROR,
  PROTOCOL_ERROR,
  INTERNAL_ERROR,
  FLOW_CONTROL_ERROR,
  SETTINGS_TIMEOUT,
  STREAM_CLOSED,
  FRAME_SIZE_ERROR,
  REFUSED_STREAM,
  CANCEL,
  COMPRESSION_ERROR,
  CONNECT_ERROR,
  ENHANCE_YOUR_CALM,
  INADEQUATE_SECURITY,
  HTTP_1_1_REQUIRED
};

inline const string preface = "PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n";

inline string number(std::uint32_t value, int bytes = 4) {
  string out;
  for (int shift = 8 * (bytes - 1); shift >= 0; shift -= 8)
    out += static_cast<char>(value >> shift & 0xff);
  return out;
}
inline string frame(std::uint8_t type, std::uint8_t flags, std::uint32_t stream, std::string_view payload) {
  return number(static_cast<std::uint32_t>(payload.size()), 3) + static_cast<char>(type) +
         static_cast<char>(flags) + number(stream) + string(payload);
}
inline string setting(std::uint16_t id, std::uint32_t value) {
  return number(id, 2) + number(value);
}

struct Seen {
  std::uint8_t type, flags;
  std::uint32_t stream;
  string payload;
  Headers headers;  // of HEADERS, decoded
};

class Peer {
 public:
  Peer(net::Loop& loop, int fd) : loop_(loop), fd_(fd) {
    fcntl(fd_, F_SETFL, fcntl(fd_, F_GETFL) | O_NONBLOCK);
    nghttp2_hd_inflate_new(&inflater_);
    nghttp2_hd_deflate_new(&deflater_, 0);
  }
  ~Peer() {
    if (fd_ >= 0)
      close(fd_);
    nghttp2_hd_inflate_del(inflater_);
    nghttp2_hd_deflate_del(deflater_);
  }
  Peer(const Peer&) = delete;
  static int dial(std::uint16_t port) {
    const int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    sockaddr_in to{};
    to.sin_family = AF_INET;
    to.sin_port = htons(port);
    to.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    if (connect(fd, reinterpret_cast<sockaddr*>(&to), sizeof to) != 0)
      abort();
    return fd;
  }

  std::vector<Seen> seen;
  bool closed = false;

  void send(std::string_view bytes) {
    while (!bytes.empty() && !closed) {
      const ssize_t sent = ::send(fd_, bytes.data(), bytes.size(), MSG_NOSIGNAL);
      if (sent > 0)
        bytes.remove_prefix(static_cast<std::size_t>(sent));
      else if (errno == EAGAIN)
        turn();
      else
        closed = true;
    }
  }
  void end() { shutdown(fd_, SHUT_WR); }
  void end_sending() { shutdown(fd_, SHUT_WR); }
  void drop() {
    close(fd_);
    fd_ = -1;
    closed = true;
  }
  string block(const Headers& headers) {
    std::vector<nghttp2_nv> nv;
    for (const auto& [name, value] : headers)
      nv.push_back({reinterpret_cast<std::uint8_t*>(const_cast<char*>(name.data())),
                    reinterpret_cast<std::uint8_t*>(const_cast<char*>(value.data())), name.size(),
                    value.size(), NGHTTP2_NV_FLAG_NO_INDEX});
    string out(nghttp2_hd_deflate_bound(deflater_, nv.data(), nv.size()) + 64, '\0');
    const ssize_t size = nghttp2_hd_deflate_hd(deflater_, reinterpret_cast<std::uint8_t*>(out.data()),
                                               out.size(), nv.data(), nv.size());
    out.resize(static_cast<std::size_t>(size));
    return out;
  }

  // One round of the loop, and what has come of it.
  void turn() {
    event_base_loop(loop_.base(), EVLOOP_NONBLOCK);
    char buffer[65536];
    while (fd_ >= 0) {
      const ssize_t got = recv(fd_, buffer, sizeof buffer, 0);
      if (got > 0) {
        in_.append(buffer, static_cast<std::size_t>(got));
        continue;
      }
      if (got == 0 || errno != EAGAIN)
        closed = true;
      break;
    }
    if (!raw)
      take();
  }
  // Until it holds; false if it has not after many rounds.
  bool until(const std::function<bool()>& holds, int rounds = 4000) {
    for (int i = 0; i < rounds; ++i) {
      if (holds())
        return true;
      turn();
      if (i > 200)
        usleep(250);
    }
    return holds();
  }
  // All that was sent has been taken, and all that came of it has arrived: a PING is answered behind it.
  void settle() {
    const string payload = "settle" + number(++settled_, 2);
    send(frame(PING, NONE, 0, payload));
    until([&] {
      for (const auto& one : seen)
        if (one.type == PING && one.flags & ACK && one.payload == payload)
          return true;
      return closed;
    });
  }
  const Seen* find(std::uint8_t type, std::uint32_t stream) const {
    for (const auto& one : seen)
      if (one.type == type && one.stream == stream)
        return &one;
    return nullptr;
  }
  // A field of the stream's answer, headers or trailers; the last one that was sent.
  string field(std::uint32_t stream, std::string_view name) const {
    string value;
    for (const auto& one : seen)
      if (one.type == HEADERS && one.stream == stream)
        for (const auto& [key, text] : one.headers)
          if (key == name)
            value = text;
    return value;
  }
  string body(std::uint32_t stream) const {
    string all;
    for (const auto& one : seen)
      if (one.type == DATA && one.stream == stream)
        all += one.payload;
    return all;
  }
  bool over(std::uint32_t stream) const {
    for (const auto& one : seen)
      if (one.stream == stream &&
          (one.type == RST_STREAM || ((one.type == DATA || one.type == HEADERS) && one.flags & END_STREAM)))
        return true;
    return false;
  }
  std::uint32_t code(const Seen& one) const {
    const std::size_t at = one.type == GOAWAY ? 4 : 0;
    std::uint32_t value = 0;
    for (std::size_t i = at; i < at + 4 && i < one.payload.size(); ++i)
      value = value << 8 | static_cast<unsigned char>(one.payload[i]);
    return value;
  }
  bool raw =
      false;  // the peer is a server of ours that is spoken to before its preface: frames are not taken apart
  string in_;

  // Takes the client's preface off, where this peer is the server.
  bool preface_in() {
    raw = true;
    const bool there =
        until([&] { return in_.size() >= preface.size() || closed; }) && in_.starts_with(preface);
    if (there)
      in_.erase(0, preface.size());
    raw = false;
    return there;
  }

 private:
  void take() {
    while (in_.size() >= 9) {
      const auto byte = [&](std::size_t i) {
        return static_cast<std::uint32_t>(static_cast<unsigned char>(in_[i]));
      };
      const std::size_t length = byte(0) << 16 | byte(1) << 8 | byte(2);
      if (in_.size() < 9 + length)
        return;
      Seen one{static_cast<std::uint8_t>(in_[3]),
               static_cast<std::uint8_t>(in_[4]),
               (byte(5) << 24 | byte(6) << 16 | byte(7) << 8 | byte(8)) & 0x7fffffff,
               in_.substr(9, length),
               {}};
      in_.erase(0, 9 + length);
      if (one.type == HEADERS)
        decode(one);
      seen.push_back(std::move(one));
    }
  }
  void decode(Seen& one) {
    const auto* at = reinterpret_cast<const std::uint8_t*>(one.payload.data());
    std::size_t left = one.payload.size();
    for (;;) {
      nghttp2_nv nv;
      int flags = 0;
      const ssize_t used = nghttp2_hd_inflate_hd2(inflater_, &nv, &flags, at, left, 1);
      if (used < 0)
        return;
      at += used;
      left -= static_cast<std::size_t>(used);
      if (flags & NGHTTP2_HD_INFLATE_EMIT)
        one.headers.emplace_back(string(reinterpret_cast<char*>(nv.name), nv.namelen),
                                 string(reinterpret_cast<char*>(nv.value), nv.valuelen));
      if (flags & NGHTTP2_HD_INFLATE_FINAL)
        break;
      if (!(flags & NGHTTP2_HD_INFLATE_EMIT) && left == 0)
        break;
    }
    nghttp2_hd_inflate_end_headers(inflater_);
  }

  net::Loop& loop_;
  std::uint32_t settled_ = 0;
  int fd_;
  nghttp2_hd_inflater* inflater_ = nullptr;
  nghttp2_hd_deflater* deflater_ = nullptr;
};

// One case: the section that it holds us to, what it tries, and a run of it that returns what is wrong, "" if
// nothing.
struct Case {
  string section, what;
  std::function<string()> run;
};
std::vector<Case> server_cases();  // a scripted client against our server
std::vector<Case> node_cases();    // a scripted node against our node client

}  // namespace lemonroute::conformance
