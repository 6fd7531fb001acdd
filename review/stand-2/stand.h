// Stand-ins for the cases of the second review: instances, the discovery agent, clients, and the conductor as
// a process of its own. Blocking sockets on loopback, a thread for each connection.
#pragma once

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

#include <atomic>
#include <chrono>
#include <condition_variable>
#include <cstdio>
#include <cstdlib>
#include <cstring>
#include <filesystem>
#include <fstream>
#include <functional>
#include <iostream>
#include <map>
#include <memory>
#include <mutex>
#include <set>
#include <sstream>
#include <string>
#include <thread>
#include <utility>
#include <vector>

namespace stand {

using Clock = std::chrono::steady_clock;
inline const Clock::time_point begun = Clock::now();
// Seconds since the case began.
inline double now() {
  return std::chrono::duration<double>(Clock::now() - begun).count();
}
inline void sleep_s(double seconds) {
  std::this_thread::sleep_for(std::chrono::duration<double>(seconds));
}
inline bool until(double most, const std::function<bool()>& seen) {
  for (const double end = now() + most; now() < end; sleep_s(0.005))
    if (seen())
      return true;
  return seen();
}

// A case that can't run.
struct CannotRun : std::runtime_error {
  using std::runtime_error::runtime_error;
};

// record.txt: what was sent, answered and run.
class Record {
 public:
  void open(const std::string& path) { file_.open(path); }
  void line(const std::string& text) {
    const std::lock_guard<std::mutex> guard(mutex_);
    char at[32];
    std::snprintf(at, sizeof at, "%9.3f  ", now());
    file_ << at << text << std::endl;
  }

 private:
  std::mutex mutex_;
  std::ofstream file_;
};
inline Record record;

// ---- sockets ----

inline sockaddr_in loopback(int port) {
  sockaddr_in at{};
  at.sin_family = AF_INET;
  at.sin_port = htons(static_cast<std::uint16_t>(port));
  at.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
  return at;
}
inline std::string address(int port) {
  return "127.0.0.1:" + std::to_string(port);
}

// A listening socket on a free port.
class Door {
 public:
  Door() : fd_(socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0)) {
    const int on = 1;
    setsockopt(fd_, SOL_SOCKET, SO_REUSEADDR, &on, sizeof on);
    const sockaddr_in at = loopback(0);
    if (bind(fd_, reinterpret_cast<const sockaddr*>(&at), sizeof at) != 0 || listen(fd_, 1024) != 0)
      throw CannotRun("no port to listen on");
    sockaddr_in is{};
    socklen_t size = sizeof is;
    getsockname(fd_, reinterpret_cast<sockaddr*>(&is), &size);
    port_ = ntohs(is.sin_port);
  }
  ~Door() { ::close(fd_); }
  Door(const Door&) = delete;
  Door& operator=(const Door&) = delete;
  int fd() const { return fd_; }
  int port() const { return port_; }
  // -1: nobody came within that time.
  int accept(int most_ms) const {
    pollfd one{fd_, POLLIN, 0};
    if (poll(&one, 1, most_ms) <= 0)
      return -1;
    return accept4(fd_, nullptr, nullptr, SOCK_CLOEXEC);
  }

 private:
  int fd_, port_ = 0;
};
inline int free_port() {
  return Door().port();
}

class Link {
 public:
  explicit Link(int fd) : fd_(fd) {
    const int on = 1;
    setsockopt(fd_, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
  }
  ~Link() { close(); }
  Link(const Link&) = delete;
  Link& operator=(const Link&) = delete;
  static std::unique_ptr<Link> to(int port) {
    const int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    const sockaddr_in at = loopback(port);
    if (connect(fd, reinterpret_cast<const sockaddr*>(&at), sizeof at) != 0) {
      ::close(fd);
      return nullptr;
    }
    return std::make_unique<Link>(fd);
  }
  void close() {
    if (fd_ >= 0)
      ::close(std::exchange(fd_, -1));
    ended_ = true;
  }
  bool send(const std::string& text) {
    std::size_t at = 0;
    while (at < text.size()) {
      const auto sent = ::send(fd_, text.data() + at, text.size() - at, MSG_NOSIGNAL);
      if (sent <= 0)
        return false;
      at += static_cast<std::size_t>(sent);
    }
    return true;
  }
  // Reads what comes within that time; false: nothing came, or the peer has ended.
  bool more(double most) {
    if (ended_)
      return false;
    pollfd one{fd_, POLLIN, 0};
    if (poll(&one, 1, static_cast<int>(most * 1000)) <= 0)
      return false;
    char bytes[16384];
    const auto got = recv(fd_, bytes, sizeof bytes, 0);
    if (got <= 0) {
      ended_ = true;
      was_reset_ = got < 0;
      return false;
    }
    text.append(bytes, static_cast<std::size_t>(got));
    return true;
  }
  bool until_has(const std::string& part, double most) {
    for (const double end = now() + most; text.find(part) == std::string::npos;)
      if (ended_ || now() >= end || (!more(std::max(0.0, end - now())) && ended_))
        return text.find(part) != std::string::npos;
    return true;
  }
  // Whether the peer has ended or reset the connection; what comes before that is kept.
  bool ended_within(double most) {
    for (const double end = now() + most; !ended_ && now() < end;)
      more(std::max(0.0, end - now()));
    return ended_;
  }
  bool ended() const { return ended_; }
  bool was_reset() const { return was_reset_; }
  int fd() const { return fd_; }
  std::string text;  // what has come and was not taken

 private:
  int fd_;
  bool ended_ = false, was_reset_ = false;
};

struct Message {
  std::string method, target, body;
  std::map<std::string, std::string> fields;  // names in lower case
};

// The next request on a connection; false: it ended before that.
inline bool next_request(Link& link, Message& message) {
  while (link.text.find("\r\n\r\n") == std::string::npos)
    if (!link.more(1) && link.ended())
      return false;
  const auto end = link.text.find("\r\n\r\n");
  std::istringstream head(link.text.substr(0, end));
  link.text.erase(0, end + 4);
  message = {};
  std::string line, version;
  std::getline(head, line);
  std::istringstream(line) >> message.method >> message.target >> version;
  while (std::getline(head, line)) {
    if (!line.empty() && line.back() == '\r')
      line.pop_back();
    const auto colon = line.find(':');
    std::string name = line.substr(0, colon);
    for (char& c : name)
      c = static_cast<char>(std::tolower(c));
    const auto from = line.find_first_not_of(' ', colon + 1);
    message.fields[name] = from == std::string::npos ? "" : line.substr(from);
  }
  const auto size = static_cast<std::size_t>(std::atoll(message.fields["content-length"].c_str()));
  while (link.text.size() < size)
    if (!link.more(1) && link.ended())
      return false;
  message.body = link.text.substr(0, size);
  link.text.erase(0, size);
  return true;
}

inline std::string answer(int status, const std::string& body = "", const std::string& fields = "") {
  return "HTTP/1.1 " + std::to_string(status) + " X\r\nContent-Length: " + std::to_string(body.size()) +
         "\r\n" + fields + "\r\n" + body;
}
inline std::string chunk(const std::string& text) {
  char size[16];
  std::snprintf(size, sizeof size, "%zx\r\n", text.size());
  return size + text + "\r\n";
}
inline std::string event(const std::string& data) {
  return chunk("data: " + data + "\n\n");
}
inline std::string token(const std::string& text) {
  return event(R"({"choices":[{"index":0,"delta":{"content":")" + text + R"("},"finish_reason":null}]})");
}
inline const std::string stream_head =
    "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n";
inline std::string stream_end() {
  return event(R"({"choices":[{"index":0,"delta":{"content":"end"},"finish_reason":"stop"}]})") +
         event(R"({"choices":[],"usage":{"prompt_tokens":64,"completion_tokens":8,)"
               R"("prompt_tokens_details":{"cached_tokens":0}}})") +
         event("[DONE]") + "0\r\n\r\n";
}

// A server with a thread for each connection. `serve` has the connection until it returns.
class Server {
 public:
  using Serve = std::function<void(Link&)>;
  explicit Server(Serve serve) : serve_(std::move(serve)), loop_([this] { run(); }) {}
  ~Server() {
    over_ = true;
    loop_.join();
    {
      const std::lock_guard<std::mutex> guard(mutex_);
      for (Link* link : open_)
        shutdown(link->fd(), SHUT_RDWR);
    }
    for (auto& one : threads_)
      one.join();
  }
  int port() const { return door_.port(); }
  std::string address() const { return stand::address(port()); }
  bool over() const { return over_; }

 private:
  void run() {
    while (!over_) {
      const int fd = door_.accept(20);
      if (fd < 0)
        continue;
      threads_.emplace_back([this, fd] {
        Link link(fd);
        {
          const std::lock_guard<std::mutex> guard(mutex_);
          open_.insert(&link);
        }
        serve_(link);
        const std::lock_guard<std::mutex> guard(mutex_);
        open_.erase(&link);
      });
    }
  }
  Door door_;
  Serve serve_;
  std::atomic<bool> over_{false};
  std::mutex mutex_;
  std::set<Link*> open_;
  std::vector<std::thread> threads_;
  std::thread loop_;
};

// An instance: `run` answers a request; releases and probes are answered here.
class Instance {
 public:
  using Run = std::function<void(Link&, const Message&)>;
  Instance(std::string name, std::string kind, Run run)
      : name(std::move(name)), kind(std::move(kind)), run_(std::move(run)), server_([this](Link& link) {
          Message message;
          while (next_request(link, message)) {
            if (message.method == "DELETE") {
              record.line(this->name + " gets DELETE " + message.target);
              link.send(answer(204));
            } else if (message.method == "GET") {
              link.send(answer(200));
            } else {
              run_(link, message);
            }
          }
        }) {}
  std::string address() const { return server_.address(); }
  const std::string name, kind;

 private:
  Run run_;
  Server server_;
};

// Answers with what it has; a watch waits for something newer.
class Agent {
 public:
  explicit Agent(const std::vector<const Instance*>& instances)
      : server_([this](Link& link) { serve(link); }) {
    std::string list;
    for (const Instance* one : instances)
      list += (list.empty() ? "" : ",") + (R"({"instanceId":")" + one->name) + R"(","hostPort":")" +
              one->address() + R"(","zone":"a","machineType":")" + one->kind +
              R"(","cell":1,"lifecycle":"active","weight":1.0,"startedAtMs":0})";
    list_ = list;
  }
  std::string address() const { return server_.address(); }

 private:
  void serve(Link& link) {
    Message message;
    while (next_request(link, message)) {
      const auto wait = message.target.find("wait=");
      if (wait == std::string::npos) {
        link.send(answer(200, R"({"generation":7,"reset":true,"instances":[)" + list_ + "]}"));
        continue;
      }
      const double end = now() + std::atof(message.target.c_str() + wait + 5) / 1000;
      while (now() < end && !server_.over())
        sleep_s(0.01);
      link.send(answer(200, R"({"generation":7,"reset":false,"instances":[]})"));
    }
  }
  std::string list_;
  Server server_;
};

// ---- the conductor ----

// The settings of a small deployment: a reader kind, a writer kind, one class that is safe to repeat.
inline std::string configuration(const std::string& name, const std::string& listen,
                                 const std::string& discovery, const std::string& management) {
  return R"({"name":")" + name + R"(","listen":")" + listen + R"(","discovery":")" + discovery +
         R"(","mgmt":")" + management +
         R"(","seed":"5be1","limits":{"cores":1.0,"memory_mb":192,"sockets":1024},
"known":{"generation":1,"reset":true,"instances":[]},
"settings":{"accounts":[],"clients":{"marks-retry":true},"discovery":"pushed","kinds":["lettura","scrittura"],
"lanes":[{"name":"estratto","idempotency":"read_like","group":"all","window-us":5000000,"slo-us":1500000,
"hard-limit-us":7500000,"late-worth":0.3,"stream":true,"worth":1.0}],"locality":0,"me":0,"siblings":1,
"over-share-worth":0.1,"tick-us":2000,"zones":["a"],
"extra":{"aim-us-per-1000-prompt-tokens":[40000.0],"cross-cell-price":0.03,"early-pairing":false,
"kind-role":["read","write"],"read-in-place":false,"release-us":1000000,"report-x0":"memory",
"report-x1":"prompt_tokens","resume":false,"token-aim-us":[70000.0],"tokens-by-kind":[200000,160000]},
"limits":{"cancel":true,"conn-idle-us":15000000,"connect-timeout-us":250000,"max-attempts":6,
"max-retry-after-us":500000,"may-tell":false,"multiplex":32,"open-cap":20000,"probes":true,"retry-after":true,
"second-copies":false},
"report":{"columns":["active","waiting","x0","x1"],"how":"piggyback"},
"safety":{"answer-slack-us":8000,"ask-every-us":10000000,"cold-from":0.26,"cold-us":13000000,
"drain-grace-us":500000,"fall-multiple":3.0,"fall-us":1000000}}})";
}

inline std::string variable(const char* name, const std::string& otherwise = "") {
  const char* value = std::getenv(name);
  return value ? value : otherwise;
}
inline bool trouble() {
  return variable("TROUBLE", "1") != "0";
}

// One process, started with the deploy file's `run` from the repository's root.
class Process {
 public:
  Process(std::string name, const std::string& command, const std::map<std::string, std::string>& environment,
          int socket, const std::string& log)
      : name_(std::move(name)) {
    const std::string root = variable("ROOT", ".");
    pid_ = fork();
    if (pid_ != 0) {
      record.line(name_ + " is started: " + command);
      return;
    }
    prctl(PR_SET_PDEATHSIG, SIGKILL);  // whatever ends the case ends it as well
    for (const auto& [key, value] : environment)
      setenv(key.c_str(), value.c_str(), 1);
    const int out = open(log.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0600);
    dup2(out, 1);
    dup2(out, 2);
    if (socket >= 0 && socket != 5) {
      dup2(socket, 5);
    } else if (socket == 5) {
      fcntl(5, F_SETFD, 0);
    }
    if (chdir(root.c_str()) != 0)
      _exit(127);
    execl("/bin/sh", "sh", "-c", command.c_str(), static_cast<char*>(nullptr));
    _exit(127);
  }
  ~Process() {
    if (!ended()) {
      signal(SIGCONT, "SIGCONT at the end of the case");
      signal(SIGKILL, "SIGKILL at the end of the case");
      waitpid(pid_, nullptr, 0);
    }
  }
  Process(const Process&) = delete;
  Process& operator=(const Process&) = delete;
  void signal(int number, const std::string& word) {
    record.line(name_ + " gets " + word);
    kill(pid_, number);
  }
  bool ended() {
    if (!ended_ && waitpid(pid_, &status_, WNOHANG) == pid_) {
      ended_ = true;
      record.line(name_ + " has ended, status " +
                  (WIFSIGNALED(status_) ? "signal " + std::to_string(WTERMSIG(status_))
                                        : std::to_string(WEXITSTATUS(status_))));
    }
    return ended_;
  }
  pid_t pid() const { return pid_; }

 private:
  std::string name_;
  pid_t pid_ = -1;
  bool ended_ = false;
  int status_ = 0;
};

// A folder of this case's own, gone at its end.
class Folder {
 public:
  Folder() {
    std::string path = variable("CASE_TMP", "/tmp") + "/standXXXXXX";
    if (!mkdtemp(path.data()))
      throw CannotRun("no temporary folder");
    path_ = path;
  }
  ~Folder() {
    std::error_code none;
    std::filesystem::remove_all(path_, none);
  }
  std::string file(const std::string& name) const { return path_ + "/" + name; }
  const std::string& path() const { return path_; }

 private:
  std::string path_;
};

inline int status_of(int port, const std::string& path) {
  const auto link = Link::to(port);
  if (!link || !link->send("GET " + path + " HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n"))
    return 0;
  link->until_has("\r\n\r\n", 1);
  return link->text.size() > 12 ? std::atoi(link->text.c_str() + 9) : 0;
}

// The place of one conductor: its clients' listening socket, which the platform holds, its configuration and
// its temporary folder, which the processes of an upgrade share.
class Place {
 public:
  explicit Place(const Agent& agent) : agent_(agent) {}
  // Started, and ready within 10 s.
  std::unique_ptr<Process> start(const std::string& name, const std::string& more = "") {
    const int management = free_port();
    const std::string file = folder_.file(name + ".json"), log = folder_.file(name + ".log");
    std::ofstream(file) << configuration("n1", address(door_.port()), agent_.address(), address(management));
    auto process = std::make_unique<Process>(
        name, "exec build/lemonroute serve" + more,
        std::map<std::string, std::string>{{"BALANCER_CONFIG", file},
                                           {"BALANCER_NAME", "n1"},
                                           {"BALANCER_LISTEN", address(door_.port())},
                                           {"BALANCER_DISCOVERY", agent_.address()},
                                           {"BALANCER_MGMT", address(management)},
                                           {"BALANCER_SOCKET_FD", "5"},
                                           {"TMPDIR", folder_.path()}},
        door_.fd(), log);
    if (!until(10, [&] { return process->ended() || status_of(management, "/ready") == 200; }) ||
        process->ended()) {
      std::ifstream text(log);
      std::string line;
      while (std::getline(text, line))
        record.line("  " + line);
      throw CannotRun(name + " is not ready");
    }
    record.line(name + " is ready");
    logs_.emplace_back(name, log);
    return process;
  }
  int port() const { return door_.port(); }
  const Folder& folder() const { return folder_; }
  void copy_logs() const {
    for (const auto& [name, log] : logs_) {
      record.line("log of " + name + ":");
      std::ifstream text(log);
      std::string line;
      while (std::getline(text, line))
        record.line("  " + line);
    }
  }

 private:
  const Agent& agent_;
  Door door_;
  Folder folder_;
  std::vector<std::pair<std::string, std::string>> logs_;
};

inline std::string request(const std::string& id, const std::string& deadline = "7.500",
                           std::size_t body = 256) {
  const std::string text = R"({"model":"estratto","stream":true,"max_tokens":80,"messages":[{"role":"user",)"
                           R"("content":")" +
                           std::string(body, 'x') + R"("}]})";
  return "POST /v1/chat/completions HTTP/1.1\r\nHost: origin.svc\r\nReq-Id: " + id +
         "\r\nReq-Kind: estratto\r\nReq-Key: 7f3a9c21e0b4d655\r\nReq-Deadline: " + deadline +
         "\r\nReq-Extra: prompt_len=64,max_out=80\r\nContent-Type: application/json\r\nContent-Length: " +
         std::to_string(text.size()) + "\r\n\r\n" + text;
}

// Runs a case: 0 the rule held, 1 it was broken, 2 the case could not run.
inline int run(const std::function<bool()>& holds) {
  signal(SIGPIPE, SIG_IGN);
  record.open(variable("CASE", ".") + "/record.txt");
  record.line(trouble() ? "with the disruption" : "without the disruption");
  try {
    const bool held = holds();
    record.line(held ? "RESULT: the rule held" : "RESULT: the rule was broken");
    std::cout << (held ? "held" : "broken") << std::endl;
    return held ? 0 : 1;
  } catch (const std::exception& error) {
    record.line(std::string("RESULT: could not run: ") + error.what());
    std::cout << "could not run: " << error.what() << std::endl;
    return 2;
  }
}

}  // namespace stand
