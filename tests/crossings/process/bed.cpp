#include "crossings/process/bed.h"

#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

#include <cerrno>
#include <csignal>
#include <sstream>

#include "base/log.h"
#include "deployments/shapes.h"

namespace lemonroute::crossings {
namespace {

sockaddr_in loopback(std::uint16_t port) {
  sockaddr_in at{};
  at.sin_family = AF_INET;
  at.sin_port = htons(port);
  at.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
  return at;
}

std::string chunk(const std::string& text) {
  std::ostringstream out;
  out << std::hex << text.size() << "\r\n" << text << "\r\n";
  return out.str();
}

}  // namespace

const std::string stream_head =
    "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n";
const std::string stream_end = chunk("data: [DONE]\n\n") + "0\r\n\r\n";
std::string stream_event(const std::string& data) {
  return chunk("data: " + data + "\n\n");
}

Socket::Socket(Socket&& other) noexcept : fd_(-1) {
  *this = std::move(other);
}
Socket& Socket::operator=(Socket&& other) noexcept {
  close();
  fd_ = std::exchange(other.fd_, -1);
  ended_ = other.ended_;
  reset_ = other.reset_;
  text_ = std::move(other.text_);
  return *this;
}
Socket Socket::connect(std::uint16_t port) {
  const int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  const sockaddr_in to = loopback(port);
  EXPECT_EQ(::connect(fd, reinterpret_cast<const sockaddr*>(&to), sizeof to), 0);
  return Socket(fd);
}
void Socket::send(const std::string& text) {
  static_cast<void>(::send(fd_, text.data(), text.size(), MSG_NOSIGNAL));
}
const std::string& Socket::text() {
  char bytes[4096];
  while (fd_ >= 0 && !ended_) {
    const auto got = recv(fd_, bytes, sizeof bytes, MSG_DONTWAIT);
    if (got < 0 && (errno == EAGAIN || errno == EINTR))
      break;
    ended_ = got <= 0;
    reset_ = got < 0;
    if (got > 0)
      text_.append(bytes, static_cast<std::size_t>(got));
  }
  return text_;
}
std::size_t Socket::count(const std::string& text) {
  std::size_t n = 0;
  for (auto at = this->text().find(text); at != std::string::npos; at = text_.find(text, at + 1))
    ++n;
  return n;
}
void Socket::close() {
  if (fd_ >= 0)
    ::close(std::exchange(fd_, -1));
}
void Socket::reset() {
  const linger now{1, 0};
  setsockopt(fd_, SOL_SOCKET, SO_LINGER, &now, sizeof now);
  close();
}

Door::Door(int queue) : fd_(socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0)) {
  const sockaddr_in at = loopback(0);
  EXPECT_EQ(bind(fd_, reinterpret_cast<const sockaddr*>(&at), sizeof at), 0);
  EXPECT_EQ(listen(fd_, queue), 0);
}
Door::~Door() {
  ::close(fd_);
}
std::uint16_t Door::port() const {
  sockaddr_in at{};
  socklen_t size = sizeof at;
  getsockname(fd_, reinterpret_cast<sockaddr*>(&at), &size);
  return ntohs(at.sin_port);
}
Socket Door::accept() {
  return Socket(accept4(fd_, nullptr, nullptr, SOCK_CLOEXEC));
}

Agent::Visit::Visit(Agent& of, evutil_socket_t fd)
    : agent(of), connection(of.loop, fd, *this), wait(of.loop, [this] { answer(agent.whole()); }) {}

void Agent::Visit::on_readable() {
  evbuffer* input = connection.input();
  std::string text(evbuffer_get_length(input), '\0');
  evbuffer_remove(input, text.data(), text.size());
  const auto from = text.find(' ') + 1;
  target = text.substr(from, text.find(' ', from) - from);
  ++agent.calls;
  agent.consider(*this);
}

void Agent::Visit::answer(const std::string& body) {
  if (closed || target.empty())
    return;
  wait.stop();
  target.clear();
  connection.write("HTTP/1.1 200 OK\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body);
}

// A watch that has the newest list is answered once its wait is over.
void Agent::consider(Visit& visit) {
  if (held_)
    return;
  const bool has_it = visit.target.find("index=" + std::to_string(generation) + "&") != std::string::npos;
  const auto at = visit.target.find("wait=");
  const Micros waits =
      has_it ? Micros(std::chrono::milliseconds(std::stoi(visit.target.substr(at + 5)))) : Micros(0);
  visit.wait.start(waits + delay);
}

std::string Agent::whole() const {
  return R"({"generation":)" + std::to_string(generation) + R"(,"reset":true,"instances":[)" + instance_ +
         "]}";
}

void Agent::list(const std::string& node, const std::string& address, const std::string& lifecycle) {
  instance_ = R"({"instanceId":")" + node + R"(","hostPort":")" + address +
              R"(","zone":"milano","machineType":"lettura","lifecycle":")" + lifecycle +
              R"(","startedAtMs":0})";
  ++generation;
  if (!held_)
    for (Visit* visit : waiting())
      consider(*visit);
}

void Agent::hold(bool on) {
  held_ = on;
  if (on)
    for (Visit* visit : waiting())
      visit->wait.stop();
}

void Agent::hang_up() {
  visits_.clear();
}

std::vector<Agent::Visit*> Agent::waiting() {
  std::vector<Visit*> all;
  for (const auto& visit : visits_)
    if (!visit->closed && !visit->target.empty())
      all.push_back(visit.get());
  return all;
}

config::Platform platform(const std::string& name, const std::string& discovery, const std::string& node,
                          std::chrono::milliseconds longest) {
  auto wanted = shapes::one_class();
  wanted["lanes"][0]["hard-limit-us"] = std::chrono::duration_cast<Micros>(longest).count();
  wanted["extra"]["kind-role"] = {"both", "both"};
  auto file = shapes::json::parse(shapes::file(wanted));
  file["name"] = name + "-" + std::to_string(getpid());
  file["listen"] = "127.0.0.1:0";
  file["discovery"] = discovery;
  file["known"]["instances"][0]["hostPort"] = node;
  return config::parse_platform(file.dump());
}

std::string request(const std::string& id, const std::string& deadline) {
  return "POST /v1/chat/completions HTTP/1.1\r\nHost: x\r\nReq-Id: " + id +
         "\r\nReq-Kind: estratto\r\nReq-Deadline: " + deadline + "\r\nContent-Length: 2\r\n\r\n{}";
}

Bed::Bed() {
  std::signal(SIGPIPE, SIG_IGN);
  logging::set_level(logging::Level::error);
  agent.list("s-1", node.address(), "active");
}
Bed::~Bed() = default;

void Bed::start(std::chrono::milliseconds longest) {
  settings = platform("crossing", agent.address(), node.address(), longest);
  program = std::make_unique<cli::Program>(loop, settings, config::Operator{}, [this] { return reload(); });
}

Socket Bed::ask_at(const cli::Program& at, const std::string& id) {
  Socket client = Socket::connect(at.port());
  client.send(request(id));
  return client;
}

bool Bed::until(const std::function<bool()>& seen, Wall::duration most) {
  const auto end = Wall::now() + most;
  while (!seen()) {
    if (Wall::now() >= end)
      return false;
    for (net::Loop* one : {&loop, beside})
      if (one)
        event_base_loop(one->base(), EVLOOP_NONBLOCK);
    usleep(200);
  }
  return true;
}

void Bed::run(Wall::duration span) {
  until([] { return false; }, span);
}

bool Bed::has_list(Wall::duration most) {
  const std::string newest = "index=" + std::to_string(agent.generation) + "&";
  return until(
      [&] {
        for (const Agent::Visit* visit : agent.waiting())
          if (visit->target.find(newest) != std::string::npos)
            return true;
        return false;
      },
      most);
}

Socket Bed::next_at_node() {
  Socket at_node;
  EXPECT_TRUE(until([&] { return (at_node = node.accept()).open(); }));
  EXPECT_TRUE(until([&] { return at_node.has("\r\n\r\n{}"); }));
  return at_node;
}

}  // namespace lemonroute::crossings
