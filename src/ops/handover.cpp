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
constexpr const char* last_data_key = "last_data_us";  // on the steady clock; absent: just now
// The sockets of the client and the node, and what keeps the stream's id locked.
enum DescriptorIndex : std::size_t { client_socket, node_socket, id_lock_file, descriptor_count };
using Descriptors = std::array<int, descriptor_count>;
constexpr Descriptors no_descriptors{-1, -1, -1};

bool address_of(const std::string& path, sockaddr_un& address) {
  address.sun_family = AF_UNIX;
  if (path.size() >= sizeof address.sun_path)
    return false;
  std::memcpy(address.sun_path, path.c_str(), path.size() + 1);
  return true;
}

// Descriptors that came with a message. Those that nobody has taken are closed.
class ReceivedDescriptors {
 public:
  // A process short of descriptors gets only the first ones.
  explicit ReceivedDescriptors(const msghdr& header) {
    const cmsghdr* control = CMSG_FIRSTHDR(&header);
    if (control && control->cmsg_type == SCM_RIGHTS)
      std::memcpy(all_.data(), CMSG_DATA(control), std::min(control->cmsg_len - CMSG_LEN(0), sizeof all_));
  }
  ~ReceivedDescriptors() {
    for (const int fd : all_)
      if (fd >= 0)
        close(fd);
  }
  ReceivedDescriptors(const ReceivedDescriptors&) = delete;
  ReceivedDescriptors& operator=(const ReceivedDescriptors&) = delete;

  bool has_sockets() const { return all_[client_socket] >= 0 && all_[node_socket] >= 0; }
  int take(DescriptorIndex index) { return std::exchange(all_[index], -1); }

 private:
  Descriptors all_ = no_descriptors;
};

// A message of text and descriptors, for sending or receiving.
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

// The same clock in all processes of a machine.
Micros steady_now() {
  return std::chrono::duration_cast<Micros>(std::chrono::steady_clock::now().time_since_epoch());
}

std::string text_of(const nlohmann::json& all) {
  return all.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
}

bool post(const std::string& path, std::string text, const Descriptors& descriptors) {
  sockaddr_un address{};
  if (text.size() > most_text || !address_of(path, address))
    return false;
  const int fd = socket(AF_UNIX, SOCK_DGRAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
  if (fd < 0)
    return false;
  Message message(text.data(), text.size());
  message.header.msg_name = &address;
  message.header.msg_namelen = sizeof address;
  const auto first_missing = std::find(descriptors.begin(), descriptors.end(), -1);
  const auto size = static_cast<std::size_t>(first_missing - descriptors.begin()) * sizeof(int);
  if (size > 0) {
    cmsghdr* control = CMSG_FIRSTHDR(&message.header);
    control->cmsg_level = SOL_SOCKET;
    control->cmsg_type = SCM_RIGHTS;
    control->cmsg_len = CMSG_LEN(size);
    std::memcpy(CMSG_DATA(control), descriptors.data(), size);
    message.header.msg_controllen = CMSG_SPACE(size);
  } else {
    message.header.msg_control = nullptr;
    message.header.msg_controllen = 0;
  }
  const bool sent = sendmsg(fd, &message.header, MSG_NOSIGNAL) == static_cast<ssize_t>(text.size());
  close(fd);
  return sent;
}

HandoverState state_of(const nlohmann::json& all) {
  HandoverState state;
  for (const auto& one : all.at("read_rates"))
    state.prefill_times_per_token.emplace_back(static_cast<Role>(one.at(0).get<int>()),
                                               one.at(1).get<double>());
  for (const auto& one : all.at("nodes"))
    state.nodes.push_back({one.at("node"), one.at("load"), Micros(one.at("age_us").get<Micros::rep>()),
                           one.at("avoided"), one.at("sent")});
  return state;
}

// Without its connections. An earlier version does not state how long the stream has been idle.
TransferredStream stream_of(const nlohmann::json& all) {
  TransferredStream stream;
  stream.id = all.at("id");
  stream.request_class = all.at("kind");
  stream.node = all.at("node");
  stream.attempt = all.at("attempt");
  if (const auto last_data_at = all.find(last_data_key); last_data_at != all.end())
    stream.idle_for = std::max(steady_now() - Micros(last_data_at->get<Micros::rep>()), Micros(0));
  stream.client.close_after_response = all.at("client");
  stream.call.close_after_response = all.at("call");
  return stream;
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

bool Handover::send(const std::string& path, const TransferredStream& stream, int id_lock) {
  nlohmann::json all{{"id", stream.id},
                     {"kind", stream.request_class},
                     {"node", stream.node},
                     {"attempt", stream.attempt},
                     {"client", stream.client.close_after_response},
                     {"call", stream.call.close_after_response}};
  if (stream.idle_for > Micros(0))
    all[last_data_key] = (steady_now() - stream.idle_for).count();
  return post(path, text_of(all), {stream.client.fd, stream.call.fd, id_lock});
}

void Handover::tell(const std::string& path, const HandoverState& handover_state) {
  auto rates = nlohmann::json::array();
  for (const auto& [role, rate] : handover_state.prefill_times_per_token)
    rates.push_back({static_cast<int>(role), rate});
  const std::string begins = R"({"read_rates":)" + text_of(rates) + R"(,"nodes":[)", ends = "]}";
  std::string list;
  const auto flush = [&] {
    post(path, begins + list + ends, no_descriptors);
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
  ReceivedDescriptors descriptors(message.header);
  try {
    const auto all = nlohmann::json::parse(std::string_view(text, static_cast<std::size_t>(size)));
    if (all.contains("nodes")) {
      told_(state_of(all));
      return true;
    }
    if (!descriptors.has_sockets())
      throw std::runtime_error("it brings no connections");
    TransferredStream stream = stream_of(all);
    stream.client.fd = descriptors.take(client_socket);
    stream.call.fd = descriptors.take(node_socket);
    taken_(stream);
  } catch (const std::exception& error) {
    logging::error() << "a stream of the other process can't be taken over: " << error.what();
  }
  return true;
}

}  // namespace lemonroute::ops
