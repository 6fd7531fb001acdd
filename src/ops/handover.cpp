#include "ops/handover.h"

#include <sys/socket.h>
#include <sys/stat.h>
#include <sys/un.h>
#include <unistd.h>

#include <algorithm>
#include <array>
#include <cerrno>
#include <cstring>
#include <nlohmann/json.hpp>
#include <utility>

#include "base/log.h"

namespace lemonroute::ops {
namespace {

constexpr std::size_t most_text = 4096;
using Descriptors = std::array<int, 2>;  // the client's and the node's

bool address_of(const std::string& path, sockaddr_un& address) {
  address.sun_family = AF_UNIX;
  if (path.size() >= sizeof address.sun_path)
    return false;
  std::memcpy(address.sun_path, path.c_str(), path.size() + 1);
  return true;
}

// A message of text and the two descriptors, for sending or receiving.
struct Message {
  Message(char* text, std::size_t size) : part{text, size} {
    header.msg_iov = &part;
    header.msg_iovlen = 1;
    header.msg_control = control;
    header.msg_controllen = sizeof control;
  }
  iovec part;
  msghdr header{};
  alignas(cmsghdr) char control[CMSG_SPACE(sizeof(Descriptors))]{};
};

std::string text_of(const nlohmann::json& all) {
  return all.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
}

bool post(const std::string& path, std::string text, const Descriptors* both) {
  sockaddr_un address{};
  if (text.size() > most_text || !address_of(path, address))
    return false;
  const int fd = socket(AF_UNIX, SOCK_DGRAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
  if (fd < 0)
    return false;
  Message message(text.data(), text.size());
  message.header.msg_name = &address;
  message.header.msg_namelen = sizeof address;
  if (both) {
    cmsghdr* control = CMSG_FIRSTHDR(&message.header);
    control->cmsg_level = SOL_SOCKET;
    control->cmsg_type = SCM_RIGHTS;
    control->cmsg_len = CMSG_LEN(sizeof(Descriptors));
    std::memcpy(CMSG_DATA(control), both->data(), sizeof *both);
  } else {
    message.header.msg_control = nullptr;
    message.header.msg_controllen = 0;
  }
  const bool sent = sendmsg(fd, &message.header, MSG_NOSIGNAL) == static_cast<ssize_t>(text.size());
  close(fd);
  return sent;
}

}  // namespace

Handover::Handover(net::Loop& loop, const std::string& path, Taken taken, Told told)
    : taken_(std::move(taken)), told_(std::move(told)) {
  sockaddr_un address{};
  fd_ = socket(AF_UNIX, SOCK_DGRAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
  unlink(path.c_str());
  if (fd_ < 0 || !address_of(path, address) || fchmod(fd_, 0600) != 0 ||
      bind(fd_, reinterpret_cast<sockaddr*>(&address), sizeof address) != 0 ||
      chmod(path.c_str(), 0600) != 0) {
    logging::warn() << path << ": streams of another process can't be taken over: " << std::strerror(errno);
    return;
  }
  event_.reset(event_new(
      loop.base(), fd_, EV_READ | EV_PERSIST,
      [](evutil_socket_t, short, void* self) { static_cast<Handover*>(self)->receive(); }, this));
  event_add(event_.get(), nullptr);
}

// The file stays: it may be another process's by now.
Handover::~Handover() {
  event_.reset();
  if (fd_ >= 0)
    close(fd_);
}

bool Handover::send(const std::string& path, const TransferredStream& stream) {
  const nlohmann::json all{{"id", stream.id},
                           {"kind", stream.request_class},
                           {"node", stream.node},
                           {"attempt", stream.attempt},
                           {"client", stream.client.close_after_response},
                           {"call", stream.call.close_after_response}};
  const Descriptors both{stream.client.fd, stream.call.fd};
  return post(path, text_of(all), &both);
}

void Handover::tell(const std::string& path, const HandoverState& handover_state) {
  auto rates = nlohmann::json::array();
  for (const auto& [role, rate] : handover_state.prefill_times_per_token)
    rates.push_back({static_cast<int>(role), rate});
  const std::string begins = R"({"read_rates":)" + text_of(rates) + R"(,"nodes":[)", ends = "]}";
  std::string list;
  const auto flush = [&] {
    post(path, begins + list + ends, nullptr);
    list.clear();
  };
  for (const auto& one : handover_state.nodes) {
    const std::string text = text_of({{"node", one.node},
                                      {"load", one.load_report},
                                      {"age_us", one.age.count()},
                                      {"avoided", one.ejected},
                                      {"sent", one.work_rate}});
    if (begins.size() + list.size() + 1 + text.size() + ends.size() > most_text && !list.empty())
      flush();
    list += (list.empty() ? "" : ",") + text;
  }
  flush();
}

// Danger: a stream that was sent is its sender's no more, so one left in the socket's queue would be cut when
// the socket closes. Shut for receiving it takes no more, and still gives out what it has.
void Handover::finish() {
  event_.reset();
  if (fd_ < 0)
    return;
  shutdown(fd_, SHUT_RD);
  while (receive()) {
  }
}

bool Handover::receive() {
  char text[most_text];
  Message message(text, sizeof text);
  const ssize_t size = recvmsg(fd_, &message.header, MSG_CMSG_CLOEXEC);
  if (size <= 0)
    return false;
  Descriptors both{-1, -1};
  const cmsghdr* control = CMSG_FIRSTHDR(&message.header);
  // Guards against a process short of descriptors, which gets only the first of them: that one is closed
  // again.
  if (control && control->cmsg_type == SCM_RIGHTS)
    std::memcpy(both.data(), CMSG_DATA(control), std::min(control->cmsg_len - CMSG_LEN(0), sizeof both));
  try {
    const auto all = nlohmann::json::parse(std::string_view(text, static_cast<std::size_t>(size)));
    if (const auto nodes = all.find("nodes"); nodes != all.end()) {
      HandoverState handover_state;
      for (const auto& one : all.at("read_rates"))
        handover_state.prefill_times_per_token.emplace_back(static_cast<Role>(one.at(0).get<int>()),
                                                            one.at(1).get<double>());
      for (const auto& one : *nodes)
        handover_state.nodes.push_back({one.at("node"), one.at("load"),
                                        Micros(one.at("age_us").get<Micros::rep>()), one.at("avoided"),
                                        one.at("sent")});
      for (int& fd : both)  // such a message brings none; whatever came along is closed, once
        if (fd >= 0)
          close(std::exchange(fd, -1));
      told_(handover_state);
      return true;
    }
    if (both[1] < 0)
      throw std::runtime_error("it brings no connections");
    TransferredStream stream{all.at("id"), all.at("kind"), all.at("node"), all.at("attempt"), {}, {}};
    stream.client = {both[0], all.at("client").get<bool>()};
    stream.call = {both[1], all.at("call").get<bool>()};
    taken_(stream);
  } catch (const std::exception& error) {
    logging::error() << "a stream of the other process can't be taken over: " << error.what();
    for (const int fd : both)
      if (fd >= 0)
        close(fd);
  }
  return true;
}

}  // namespace lemonroute::ops
