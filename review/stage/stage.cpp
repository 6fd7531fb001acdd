#include "stage.h"

#include <arpa/inet.h>
#include <fcntl.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <signal.h>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

#include <algorithm>
#include <cerrno>
#include <cstdlib>
#include <cstring>
#include <iomanip>
#include <iostream>
#include <sstream>

namespace stage {
namespace {

using Clock = std::chrono::steady_clock;
const Clock::time_point begun = Clock::now();
std::unique_ptr<Record> record;

sockaddr_in address_of(int port) {
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
  address.sin_port = htons(static_cast<std::uint16_t>(port));
  return address;
}

std::string lower(std::string text) {
  for (char& c : text)
    if (c >= 'A' && c <= 'Z')
      c = static_cast<char>(c + 32);
  return text;
}

std::string chunk(const std::string& text) {
  std::ostringstream out;
  out << std::hex << text.size() << "\r\n" << text << "\r\n";
  return out.str();
}

std::string trimmed(const std::string& text) {
  const auto first = text.find_first_not_of(" \t\r");
  if (first == std::string::npos)
    return {};
  return text.substr(first, text.find_last_not_of(" \t\r") - first + 1);
}

}  // namespace

double now() {
  return std::chrono::duration<double>(Clock::now() - begun).count();
}
double unix_time() {
  return std::chrono::duration<double>(std::chrono::system_clock::now().time_since_epoch()).count();
}
void sleep_for(double seconds) {
  if (seconds > 0)
    std::this_thread::sleep_for(std::chrono::duration<double>(seconds));
}
void sleep_until(double at) {
  sleep_for(at - now());
}

std::string figure(double value) {
  std::ostringstream out;
  out << std::fixed << std::setprecision(3) << value;
  return out.str();
}

void Record::line(const std::string& text) {
  const std::lock_guard lock(mutex_);
  file_ << std::setw(8) << figure(now()) << "  " << text << std::endl;
}
void open_record(const std::string& path) {
  record = std::make_unique<Record>(path);
  signal(SIGPIPE, SIG_IGN);
}
void say(const std::string& text) {
  if (record)
    record->line(text);
}

// ---- sockets ----

int Socket::connect_to(int port) {
  const int fd = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  const sockaddr_in address = address_of(port);
  const int on = 1;
  setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
  if (::connect(fd, reinterpret_cast<const sockaddr*>(&address), sizeof address) == 0)
    return fd;
  ::close(fd);
  return -1;
}

bool Socket::send(const std::string& bytes) {
  std::size_t sent = 0;
  while (sent < bytes.size()) {
    const ssize_t size = ::send(fd_, bytes.data() + sent, bytes.size() - sent, MSG_NOSIGNAL);
    if (size <= 0)
      return false;
    sent += static_cast<std::size_t>(size);
  }
  return true;
}

int Socket::receive(double seconds) {
  if (ended_)
    return -1;
  pollfd one{fd_, POLLIN, 0};
  const int ready = ::poll(&one, 1, std::max(0, static_cast<int>(seconds * 1000)));
  if (ready <= 0)
    return 0;
  char bytes[16384];
  const ssize_t size = ::recv(fd_, bytes, sizeof bytes, 0);
  if (size > 0) {
    buffer_.append(bytes, static_cast<std::size_t>(size));
    return 1;
  }
  ended_ = true;
  return size == 0 ? -1 : -2;
}

void Socket::close() {
  if (fd_ >= 0)
    ::close(fd_);
  fd_ = -1;
}
void Socket::reset() {
  const linger at_once{1, 0};
  setsockopt(fd_, SOL_SOCKET, SO_LINGER, &at_once, sizeof at_once);
  close();
}

std::string Message::field(const std::string& name) const {
  const auto found = fields.find(name);
  return found == fields.end() ? "" : found->second;
}

bool read_message(Socket& socket, Message& message, double seconds) {
  const double until = now() + seconds;
  std::string& buffer = socket.buffer();
  std::size_t end = 0;
  while ((end = buffer.find("\r\n\r\n")) == std::string::npos)
    if (now() >= until || socket.receive(std::min(0.5, until - now())) < 0)
      return false;
  message = {};
  std::istringstream head(buffer.substr(0, end));
  std::string line;
  std::getline(head, line);
  message.start = trimmed(line);
  while (std::getline(head, line)) {
    const auto colon = line.find(':');
    if (colon != std::string::npos)
      message.fields[lower(line.substr(0, colon))] = trimmed(line.substr(colon + 1));
  }
  const auto length = static_cast<std::size_t>(std::atol(message.field("content-length").c_str()));
  while (buffer.size() < end + 4 + length)
    if (now() >= until || socket.receive(std::min(0.5, until - now())) < 0)
      return false;
  message.body = buffer.substr(end + 4, length);
  buffer.erase(0, end + 4 + length);
  return true;
}

int listen_any(int& port) {
  const int fd = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  const int on = 1;
  setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &on, sizeof on);
  sockaddr_in address = address_of(port);
  if (::bind(fd, reinterpret_cast<sockaddr*>(&address), sizeof address) != 0 || ::listen(fd, 512) != 0)
    cannot_run("no port can be had");
  socklen_t size = sizeof address;
  getsockname(fd, reinterpret_cast<sockaddr*>(&address), &size);
  port = ntohs(address.sin_port);
  return fd;
}

int free_port() {
  int port = 0;
  const int fd = listen_any(port);
  ::close(fd);
  return port;
}

// ---- nodes ----

std::size_t Fleet::arrives(const std::string& node, const std::string& id, double told, bool reads) {
  const std::lock_guard lock(mutex);
  for (const Attempt& other : attempts)
    if (other.id == id && other.ended == 0)
      doubles.push_back("an attempt of " + id + " arrived at " + node + " at " + figure(now()) +
                        " while one was out at " + other.node + " since " + figure(other.arrived));
  attempts.push_back({node, id, now(), 0, told, reads});
  say("node " + node + ": attempt of " + id + " has arrived, told " + figure(told) + " s");
  return attempts.size() - 1;
}
void Fleet::ends(std::size_t attempt) {
  const std::lock_guard lock(mutex);
  Attempt& one = attempts[attempt];
  if (one.ended > 0)
    return;
  one.ended = now();
  say("node " + one.node + ": attempt of " + one.id + " is over");
}
void Fleet::hold(const std::string& node, const std::string& id) {
  const std::lock_guard lock(mutex);
  held[id].insert(node);
  say("node " + node + ": holds a state for " + id);
}
bool Fleet::take(const std::string& id) {
  const std::lock_guard lock(mutex);
  return held.erase(id) > 0;
}
void Fleet::release(const std::string& id) {
  const std::lock_guard lock(mutex);
  if (held.erase(id) > 0)
    say("the state for " + id + " is released");
}

Node::Node(Fleet& fleet, std::string name, bool reader, NodeSettings settings)
    : fleet_(fleet), name_(std::move(name)), reader_(reader), settings_(settings) {
  listener_ = listen_any(port_);
  accepter_ = std::thread([this] { accept_all(); });
}
Node::~Node() {
  over_ = true;
  accepter_.join();
  while (visits_ > 0)
    sleep_for(0.01);
  ::close(listener_);
}

void Node::accept_all() {
  while (!over_) {
    pollfd one{listener_, POLLIN, 0};
    if (::poll(&one, 1, 50) <= 0)
      continue;
    const int fd = ::accept4(listener_, nullptr, nullptr, SOCK_CLOEXEC);
    if (fd < 0)
      continue;
    ++visits_;
    std::thread([this, fd] {
      serve(fd);
      --visits_;
    }).detach();
  }
}

bool Node::pause(Socket& socket, double seconds) {
  const double until = now() + seconds;
  while (now() < until) {
    if (over_ || socket.receive(std::min(0.02, until - now())) < 0)
      return false;
  }
  return true;
}

void Node::serve(int fd) {
  Socket socket(fd);
  const int on = 1;
  setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
  while (!over_) {
    Message message;
    if (socket.buffer().empty() && socket.receive(0.05) == 0)
      continue;
    if (socket.ended() || !read_message(socket, message, 20))
      return;
    const auto first = message.start.find(' ');
    const std::string method = message.start.substr(0, first);
    const std::string target = message.start.substr(first + 1, message.start.rfind(' ') - first - 1);
    if (method == "DELETE") {
      const std::string id = target.substr(target.rfind('/') + 1);
      say("node " + name_ + ": DELETE of " + id);
      fleet_.release(id);
      if (!socket.send("HTTP/1.1 204 No Content\r\n\r\n"))
        return;
      continue;
    }
    if (method != "POST") {
      socket.send("HTTP/1.1 404 Not Found\r\nContent-Length: 0\r\n\r\n");
      continue;
    }
    const std::string id = message.field("req-id");
    const auto attempt = fleet_.arrives(name_, id, std::atof(message.field("req-deadline").c_str()), reader_);
    bool goes_on = true;
    if (reader_)
      read(socket, id, attempt);
    else
      goes_on = write(socket, id, attempt);
    fleet_.ends(attempt);
    if (!goes_on || socket.ended())
      return;
  }
}

// An attempt is over for the record before its answer leaves: what the answer sets off may arrive at once.
// Waiting work is dropped when its connection ends.
void Node::read(Socket& socket, const std::string& id, std::size_t attempt) {
  while (hangs && hangs(id, 0))
    if (!pause(socket, 0.02))
      return;
  if (!pause(socket, settings_.read_time))
    return;
  fleet_.hold(name_, id);
  fleet_.ends(attempt);
  const std::string body = "{\"cached_tokens\":0}";
  socket.send("HTTP/1.1 202 Accepted\r\nContent-Type: application/json\r\nContent-Length: " +
              std::to_string(body.size()) + "\r\n\r\n" + body);
}

bool Node::write(Socket& socket, const std::string& id, std::size_t attempt) {
  if (!fleet_.take(id)) {
    say("node " + name_ + ": no state for " + id);
    fleet_.ends(attempt);
    return socket.send("HTTP/1.1 410 Gone\r\nSrv-Declined: 1\r\nContent-Length: 0\r\n\r\n");
  }
  if (!pause(socket, settings_.first_time))
    return false;
  if (breaks && breaks(id)) {
    say("node " + name_ + ": resets the connection under " + id + ", which has begun");
    fleet_.ends(attempt);
    socket.reset();
    return false;
  }
  for (int i = 0; i < settings_.events; ++i) {
    while (hangs && hangs(id, i))
      if (!pause(socket, 0.02))
        return false;
    const std::string event = "data: {\"choices\":[{\"index\":0,\"delta\":{\"content\":\"w" +
                              std::to_string(i) + "\"},\"finish_reason\":null}]}\n\n";
    if (i == 0 && !socket.send("HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n"
                               "Transfer-Encoding: chunked\r\n\r\n"))
      return false;
    if (!socket.send(chunk(event)) || !pause(socket, settings_.event_gap)) {
      say("node " + name_ + ": the stream of " + id + " was cut after " + std::to_string(i + 1) + " events");
      return false;
    }
  }
  const std::string last =
      "data: {\"choices\":[],\"usage\":{\"prompt_tokens\":2000,\"completion_tokens\":240,"
      "\"prompt_tokens_details\":{\"cached_tokens\":0}}}\n\n";
  fleet_.ends(attempt);
  return socket.send(chunk(last)) && socket.send(chunk("data: [DONE]\n\n")) && socket.send("0\r\n\r\n");
}

// ---- discovery ----

Discovery::Discovery() {
  listener_ = listen_any(port_);
  accepter_ = std::thread([this] { accept_all(); });
}
Discovery::~Discovery() {
  over_ = true;
  accepter_.join();
  while (visits_ > 0)
    sleep_for(0.01);
  ::close(listener_);
}

void Discovery::accept_all() {
  while (!over_) {
    pollfd one{listener_, POLLIN, 0};
    if (::poll(&one, 1, 50) <= 0)
      continue;
    const int fd = ::accept4(listener_, nullptr, nullptr, SOCK_CLOEXEC);
    if (fd < 0)
      continue;
    ++visits_;
    std::thread([this, fd] {
      serve(fd);
      --visits_;
    }).detach();
  }
}

void Discovery::list(const Node& node, const std::string& zone, int cell, const std::string& lifecycle) {
  const std::lock_guard lock(mutex_);
  ++generation_;
  entries_[node.name()] = {
      "{\"instanceId\":\"" + node.name() + "\",\"hostPort\":\"127.0.0.1:" + std::to_string(node.port()) +
          "\",\"zone\":\"" + zone + "\",\"machineType\":\"" + (node.reader() ? "lettura" : "scrittura") +
          "\",\"cell\":" + std::to_string(cell) + ",\"lifecycle\":\"" + lifecycle +
          "\",\"weight\":1.0,\"startedAtMs\":0}",
      generation_};
  say("discovery: " + node.name() + " is " + lifecycle);
}

std::string Discovery::changes(unsigned after, bool whole) {
  const std::lock_guard lock(mutex_);
  std::string list;
  for (const auto& [name, entry] : entries_)
    if (whole || entry.since > after)
      list += (list.empty() ? "" : ",") + entry.json;
  return "{\"generation\":" + std::to_string(generation_) + ",\"reset\":" + (whole ? "true" : "false") +
         ",\"instances\":[" + list + "]}";
}
std::string Discovery::known() {
  return changes(0, true);
}

void Discovery::serve(int fd) {
  Socket socket(fd);
  while (!over_) {
    Message message;
    if (socket.buffer().empty() && socket.receive(0.05) == 0)
      continue;
    if (socket.ended() || !read_message(socket, message, 5))
      return;
    const auto index = message.start.find("index="), wait = message.start.find("wait=");
    std::string body;
    if (index == std::string::npos) {
      body = known();
    } else {
      const auto version = static_cast<unsigned>(std::atol(message.start.c_str() + index + 6));
      const double until =
          now() + (wait == std::string::npos ? 0 : std::atof(message.start.c_str() + wait + 5) / 1000);
      const auto newest = [this] {
        const std::lock_guard lock(mutex_);
        return generation_;
      };
      while (!over_ && now() < until && newest() <= version)
        if (socket.receive(0.005) < 0)
          return;
      body = changes(version, false);
    }
    if (!socket.send("HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nContent-Length: " +
                     std::to_string(body.size()) + "\r\n\r\n" + body))
      return;
  }
}

// ---- the program ----

std::string write_config(const Platform& platform, const std::string& known, const std::string& name) {
  std::ostringstream out;
  const auto us = [](double seconds) { return std::to_string(static_cast<long>(seconds * 1e6)); };
  out << "{\"name\":\"n1\",\"listen\":\"127.0.0.1:" << platform.listen
      << "\",\"discovery\":\"127.0.0.1:" << platform.discovery << "\",\"seed\":\"8c1f30d27a5be964\","
      << "\"limits\":{\"cores\":1.0,\"memory_mb\":" << platform.memory_mb
      << ",\"sockets\":1024},\"known\":" << known << ",\"settings\":{"
      << "\"accounts\":[],\"clients\":{\"marks-retry\":true},\"discovery\":\"pushed\","
      << "\"extra\":{\"aim-us-per-1000-prompt-tokens\":[40000.0],\"cross-cell-price\":0.03,"
      << "\"early-pairing\":false,\"kind-role\":[\"read\",\"write\"],\"read-in-place\":false,"
      << "\"release-us\":1000000,\"report-x0\":\"share_of_memory_that_is_held\","
      << "\"report-x1\":\"thousands_of_prompt_tokens_waiting_to_be_read_or_fetched\",\"resume\":false,"
      << "\"token-aim-us\":[70000.0],\"tokens-by-kind\":[217071,176827]},"
      << "\"kinds\":[\"lettura\",\"scrittura\"],"
      << "\"lanes\":[{\"group\":\"all\",\"hard-limit-us\":" << us(platform.deadline) << ","
      << platform.idempotency
      << ",\"late-worth\":0.3,\"name\":\"estratto\",\"slo-us\":1500000,\"stream\":true,\"window-us\":5000000,"
      << "\"worth\":1.0}],"
      << "\"limits\":{\"cancel\":true,\"conn-idle-us\":15000000,\"connect-timeout-us\":250000,"
      << "\"cpu-us-per-request\":0.0,\"cpu-us-per-s\":400000,\"max-attempts\":6,\"max-retry-after-us\":"
         "500000,"
      << "\"may-tell\":false,\"multiplex\":32,\"open-cap\":20000,\"probes\":true,\"retry-after\":true,"
      << "\"second-copies\":false" << platform.extra << "},"
      << "\"locality\":0,\"me\":0,\"over-share-worth\":0.1,"
      << "\"report\":{\"columns\":[\"active\",\"waiting\",\"x0\",\"x1\"],\"how\":\"piggyback\"},"
      << "\"safety\":{\"answer-slack-us\":8000,\"ask-every-us\":10000000,\"cold-from\":0.26,\"cold-us\":"
         "13000000,"
      << "\"drain-grace-us\":500000,\"fall-multiple\":3.0,\"fall-us\":1000000},"
      << "\"siblings\":1,\"tick-us\":2000,\"tier\":0,\"tiers\":[\"modelli\"],\"weight-kind\":\"nominal\","
      << "\"workload\":\"twostage\",\"worth-by\":\"work\",\"zones\":[\"milano\",\"brescia\",\"verona\"]}}\n";
  const std::string path = platform.folder + "/" + name;
  std::ofstream(path + ".new") << out.str();
  if (std::rename((path + ".new").c_str(), path.c_str()) != 0)
    cannot_run("the configuration can't be written");
  return path;
}

Process::Process(const Platform& platform, const std::string& config, int management, int socket,
                 std::string name)
    : name_(std::move(name)) {
  const std::vector<std::pair<std::string, std::string>> variables{
      {"BALANCER_NAME", "n1"},
      {"BALANCER_CONFIG", config},
      {"BALANCER_LISTEN", "127.0.0.1:" + std::to_string(platform.listen)},
      {"BALANCER_DISCOVERY", "127.0.0.1:" + std::to_string(platform.discovery)},
      {"BALANCER_MGMT", management ? "127.0.0.1:" + std::to_string(management) : ""},
      {"BALANCER_SOCKET_FD", socket >= 0 ? "5" : ""},
      {"TMPDIR", platform.folder}};
  const std::string command = platform.alone ? platform.run + " --config " + config : platform.run;
  const std::string log = platform.folder + "/" + name_ + ".log";
  pid_ = fork();
  if (pid_ < 0)
    cannot_run("fork fails");
  if (pid_ == 0) {
    prctl(PR_SET_PDEATHSIG, SIGKILL);
    setpgid(0, 0);
    ::signal(SIGPIPE, SIG_DFL);
    const int out = open(log.c_str(), O_WRONLY | O_CREAT | O_TRUNC, 0600);
    dup2(out, 1);
    dup2(out, 2);
    if (socket >= 0 && dup2(socket, 5) == 5)
      fcntl(5, F_SETFD, 0);
    for (const auto& [key, value] : variables)
      value.empty() || (platform.alone && key != "TMPDIR") ? unsetenv(key.c_str())
                                                           : setenv(key.c_str(), value.c_str(), 1);
    if (chdir(platform.root.c_str()) == 0)
      execl("/bin/sh", "sh", "-c", command.c_str(), static_cast<char*>(nullptr));
    _exit(127);
  }
  say("process " + name_ + " is started");
}
Process::~Process() {
  int status = 0;
  if (ended(status))
    return;
  kill(pid_, SIGKILL);
  waitpid(pid_, &status, 0);
}
void Process::signal(int number) {
  int status = 0;
  if (ended(status))
    return;
  kill(pid_, number);
  say("process " + name_ + " gets signal " + std::to_string(number));
}
bool Process::ended(int& status) {
  if (!over_ && waitpid(pid_, &status_, WNOHANG) == pid_) {
    over_ = true;
    say("process " + name_ + " has ended, " +
        (WIFEXITED(status_) ? "exit code " + std::to_string(WEXITSTATUS(status_))
                            : "signal " + std::to_string(WTERMSIG(status_))));
  }
  status = status_;
  return over_;
}
long Process::memory() const {
  std::ifstream status("/proc/" + std::to_string(pid_) + "/status");
  for (std::string line; std::getline(status, line);)
    if (line.rfind("RssAnon:", 0) == 0)
      return std::atol(line.c_str() + 8);
  return 0;
}
bool Process::wait(double seconds) {
  const double until = now() + seconds;
  int status = 0;
  while (!ended(status) && now() < until)
    sleep_for(0.01);
  return over_;
}

int call(int port, const std::string& method, const std::string& target, std::string* body) {
  Socket socket(Socket::connect_to(port));
  if (socket.fd() < 0)
    return 0;
  socket.send(method + " " + target + " HTTP/1.1\r\nHost: ops\r\nConnection: close\r\n\r\n");
  Message message;
  if (!read_message(socket, message, 1))
    return 0;
  if (body)
    *body = message.body;
  return std::atoi(message.start.substr(message.start.find(' ') + 1).c_str());
}

bool wait_ready(int port, const std::string& target, double seconds) {
  const double until = now() + seconds;
  while (now() < until) {
    if (call(port, "GET", target) == 200)
      return true;
    sleep_for(0.02);
  }
  return false;
}

// ---- clients ----

std::string request_text(const Question& question, int port, std::size_t& head_size) {
  std::string body =
      "{\"model\":\"estratto\",\"stream\":true,\"max_tokens\":800,\"messages\":[{\"role\":\"user\","
      "\"content\":\"";
  const std::string end = "\"}]}";
  while (body.size() + end.size() < question.size)
    body += static_cast<char>('a' + body.size() % 26);
  body += end;
  std::string head = "POST /v1/chat/completions HTTP/1.1\r\nHost: 127.0.0.1:" + std::to_string(port) +
                     "\r\nReq-Id: " + question.id + "\r\nReq-Kind: " + question.kind +
                     "\r\nReq-Key: 7f3a9c21e0b4d655\r\nReq-Deadline: " + figure(question.deadline) +
                     "\r\nReq-Extra: prompt_len=2000,max_out=800\r\nContent-Type: application/json\r\n" +
                     "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n";
  head_size = head.size();
  return head + body;
}

void read_answer(Socket& socket, Answer& answer, double until, std::atomic<int>* progress) {
  std::string& buffer = socket.buffer();
  const auto more = [&] {
    if (now() >= until) {
      answer.how = "no end until " + figure(until);
      return false;
    }
    const int got = socket.receive(std::min(0.5, until - now()));
    if (got < 0) {
      answer.how = got == -1 ? "the connection ended" : "the connection was reset";
      answer.ended_at = now();
    }
    return got >= 0;
  };
  std::size_t end = 0;
  while ((end = buffer.find("\r\n\r\n")) == std::string::npos)
    if (!more())
      return;
  answer.status = std::atoi(buffer.substr(9, 3).c_str());
  answer.head_at = now();
  const std::string head = lower(buffer.substr(0, end + 2));
  buffer.erase(0, end + 4);
  const auto length = head.find("\r\ncontent-length:");
  if (length != std::string::npos) {
    const auto size = static_cast<std::size_t>(std::atol(head.c_str() + length + 17));
    while (buffer.size() < size)
      if (!more())
        return;
    buffer.erase(0, size);
    answer.whole = true;
    answer.ended_at = now();
    return;
  }
  for (;;) {
    std::size_t line = 0;
    while ((line = buffer.find("\r\n")) == std::string::npos)
      if (!more())
        return;
    const auto size = static_cast<std::size_t>(std::strtoul(buffer.c_str(), nullptr, 16));
    while (buffer.size() < line + 2 + size + 2)
      if (!more())
        return;
    const std::string text = buffer.substr(line + 2, size);
    buffer.erase(0, line + 2 + size + 2);
    if (size == 0) {
      answer.whole = true;
      answer.ended_at = now();
      return;
    }
    ++answer.events;
    answer.last_event_at = now();
    answer.done = answer.done || text.find("[DONE]") != std::string::npos;
    if (progress)
      ++*progress;
  }
}

Answer ask(int port, const Question& question, double patience, std::atomic<int>* progress) {
  Answer answer;
  Socket socket(Socket::connect_to(port));
  if (socket.fd() < 0) {
    answer.how = "the connection was refused";
    return answer;
  }
  std::size_t head_size = 0;
  const std::string text = request_text(question, port, head_size);
  std::size_t sent = 0;
  const std::size_t parts = question.pieces.size();
  for (std::size_t i = 0; i < parts; ++i) {
    sleep_until(question.pieces[i]);
    // The head goes with the first piece; the body in equal parts.
    const std::size_t to =
        i + 1 == parts ? text.size() : head_size + (text.size() - head_size) * (i + 1) / (parts + 1);
    if (socket.receive(0) != 0)
      break;  // an answer or an end has come already
    socket.send(text.substr(sent, to - sent));
    sent = to;
  }
  if (parts == 0) {
    socket.send(text);
    sent = text.size();
  }
  answer.asked = sent == text.size() ? now() : 0;
  say("client: " + question.id + (answer.asked > 0 ? " is written whole" : " is not written to its end"));
  read_answer(socket, answer, now() + patience, progress);
  say("client: " + question.id + ": status " + std::to_string(answer.status) + ", " +
      std::to_string(answer.events) + " events, " + (answer.whole ? "whole" : "not whole: " + answer.how));
  return answer;
}

bool trouble() {
  const char* value = std::getenv("TROUBLE");
  return !value || std::string(value) != "0";
}

void cannot_run(const std::string& why) {
  say("the case can't run: " + why);
  std::cerr << "the case can't run: " << why << std::endl;
  std::_Exit(2);
}

int verdict(const std::vector<std::string>& breaches) {
  for (const auto& one : breaches) {
    say("BROKEN: " + one);
    std::cout << "broken: " << one << std::endl;
  }
  if (breaches.empty()) {
    say("the rule held");
    std::cout << "the rule held" << std::endl;
  }
  return breaches.empty() ? 0 : 1;
}

}  // namespace stage
