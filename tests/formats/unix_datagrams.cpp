#include "formats/unix_datagrams.h"

#include <sys/socket.h>
#include <sys/stat.h>
#include <sys/un.h>
#include <unistd.h>

#include <cerrno>
#include <cstring>
#include <stdexcept>
#include <system_error>

namespace lemonroute::formats {
namespace {

constexpr std::size_t most_text = 65536, most_descriptors = 4;

void check(bool good, const char* what) {
  if (!good)
    throw std::system_error(errno, std::generic_category(), what);
}

sockaddr_un address_of(const std::string& path) {
  sockaddr_un address{};
  address.sun_family = AF_UNIX;
  if (path.size() >= sizeof address.sun_path)
    throw std::runtime_error(path + " is too long for a socket");
  std::memcpy(address.sun_path, path.c_str(), path.size() + 1);
  return address;
}

int open_socket() {
  const int fd = socket(AF_UNIX, SOCK_DGRAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
  check(fd >= 0, "socket");
  return fd;
}

// The parts of a message with room for descriptors.
struct Message {
  Message(char* text, std::size_t size) : part{text, size} {
    header.msg_iov = &part;
    header.msg_iovlen = 1;
    header.msg_control = control;
    header.msg_controllen = sizeof control;
  }
  iovec part;
  msghdr header{};
  alignas(cmsghdr) char control[CMSG_SPACE(most_descriptors * sizeof(int))]{};
};

void attach(Message& message, const std::vector<int>& descriptors) {
  const std::size_t bytes = descriptors.size() * sizeof(int);
  message.header.msg_controllen = descriptors.empty() ? 0 : CMSG_SPACE(bytes);
  if (descriptors.empty())
    return;
  cmsghdr* control = CMSG_FIRSTHDR(&message.header);
  control->cmsg_level = SOL_SOCKET;
  control->cmsg_type = SCM_RIGHTS;
  control->cmsg_len = CMSG_LEN(bytes);
  std::memcpy(CMSG_DATA(control), descriptors.data(), bytes);
}

}  // namespace

TwoDescriptors::TwoDescriptors() {
  check(socketpair(AF_UNIX, SOCK_STREAM | SOCK_CLOEXEC, 0, both_) == 0, "socketpair");
}
TwoDescriptors::~TwoDescriptors() {
  close(both_[0]);
  close(both_[1]);
}

bool same_file(int one, int other) {
  struct stat first {
  }, second{};
  return fstat(one, &first) == 0 && fstat(other, &second) == 0 && first.st_dev == second.st_dev &&
         first.st_ino == second.st_ino;
}

DatagramSocket::DatagramSocket(const std::string& path) : fd_(open_socket()) {
  const auto address = address_of(path);
  check(bind(fd_, reinterpret_cast<const sockaddr*>(&address), sizeof address) == 0, "bind");
}
DatagramSocket::~DatagramSocket() {
  close(fd_);
}

Datagram DatagramSocket::receive() {
  std::string text(most_text, '\0');
  Message message(text.data(), text.size());
  const ssize_t size = recvmsg(fd_, &message.header, MSG_CMSG_CLOEXEC);
  if (size < 0)
    return {};
  text.resize(static_cast<std::size_t>(size));
  Datagram datagram{std::move(text), {}};
  const cmsghdr* control = CMSG_FIRSTHDR(&message.header);
  if (control && control->cmsg_type == SCM_RIGHTS) {
    const std::size_t bytes = control->cmsg_len - CMSG_LEN(0);
    datagram.descriptors.resize(bytes / sizeof(int));
    std::memcpy(datagram.descriptors.data(), CMSG_DATA(control), bytes);
  }
  return datagram;
}

bool send_datagram(const std::string& path, const Datagram& datagram) {
  const auto address = address_of(path);
  std::string text = datagram.text;
  Message message(text.data(), text.size());
  message.header.msg_name = const_cast<sockaddr_un*>(&address);
  message.header.msg_namelen = sizeof address;
  attach(message, datagram.descriptors);
  const int fd = open_socket();
  const bool sent = sendmsg(fd, &message.header, MSG_NOSIGNAL) == static_cast<ssize_t>(text.size());
  close(fd);
  return sent;
}

}  // namespace lemonroute::formats
