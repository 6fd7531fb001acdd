// What operators touch: the command line, agent-check and grpc.health.v1.
#undef NDEBUG
#include <fcntl.h>
#include <netinet/in.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

#include <cassert>
#include <csignal>
#include <cstdio>
#include <filesystem>
#include <fstream>
#include <iostream>
#include <sstream>

#include "cli/commands.h"
#include "config/operator.h"
#include "config/platform.h"
#include "grpc/node_client.h"
#include "http/node_client.h"
#include "ops/agent_check.h"
#include "ops/handover.h"
#include "ops/health_service.h"
#include "proto/health.pb.h"
#include "proto/lemonroute.pb.h"

namespace lemonroute {
namespace {

using std::string;

struct Ran {
  int code;
  string out, err;
};
Ran run(const std::vector<string>& arguments) {
  std::ostringstream out, err;
  const int code = cli::run(arguments, out, err);
  return {code, out.str(), err.str()};
}

string write_file(const string& text) {
  const string path = "tools_test.toml";
  std::ofstream(path) << text;
  return path;
}

void command_line() {
  assert(run({"version"}).out.starts_with("lemonroute "));
  assert(run({"help"}).code == 0);
  for (const std::vector<string>& bad : {std::vector<string>{},
                                         {"nonsense"},
                                         {"config"},
                                         {"config", "init"},
                                         {"config", "check"},
                                         {"serve", "--what"},
                                         {"serve", "--log-level", "loud"}})
    assert(run(bad).code == 2 && !run(bad).err.empty());
  for (const std::vector<string>& command : {std::vector<string>{"serve"},
                                             {"demo"},
                                             {"version"},
                                             {"config", "init"},
                                             {"config", "check"},
                                             {"expect", "init"},
                                             {"expect", "check"},
                                             {"expect", "compare"},
                                             {"expect", "audit"},
                                             {"call"}}) {
    auto asked = command;
    asked.push_back("--help");
    const auto told = run(asked);
    assert(told.code == 0 && told.err.empty() && told.out.starts_with("lemonroute " + command.front()));
  }
  for (const char* group : {"config", "expect"})
    assert(run({group, "--help"}).code == 0);
  // What init writes, check takes, even under a name that needs care in quotes.
  for (const char* name : {"estratti", "a \"b\" \\c"}) {
    const string path = write_file(run({"config", "init", name}).out);
    const auto checked = run({"config", "check", path});
    assert(checked.code == 0 && checked.err.empty());
    std::vector<config::Fault> faults;
    assert(config::read_operator(path, faults).application == name && faults.empty());
  }
  assert(run({"config", "init", "x", "--output", "tools_test.toml"}).code == 1);  // there already
}

void faults() {
  struct Row {
    const char *text, *line, *key;
  };
  const Row rows[] = {
      {"[log]\nlevel = \"loud\"\n", ":2: ", "log.level: "},
      {"[log]\n\nlevle = \"info\"\n", ":3: ", "log.levle: "},
      {"application = 5\n", ":1: ", "application: "},
      {"\nlog = 1\n", ":2: ", "log: "},
      {"[grpc]\nlisten = \"here\"\n", ":2: ", "grpc.listen: "},
      {"[grpc]\nconnections = 0\n", ":2: ", "grpc.connections: "},
      {"[http]\nlisten = \"127.0.0.1:1\"\n", ":2: ", "http.listen: "},
      {"[http]\nlisten = [\"127.0.0.1:1\", 7]\n", ":2: ", "http.listen: "},
      {"[grpc]\nlisten = \"127.0.0.1:1\"\n[agent_check]\nlisten = \"127.0.0.1:1\"\n", ":", "listen: "},
      {"[nodes]\nprotocol = \"smoke\"\n", ":2: ", "nodes.protocol: "},
      {"[management]\nlisten = \"door\"\n", ":2: ", "management.listen: "},
      {"[management]\nlisten = \"127.0.0.1:1\"\n[grpc]\nlisten = \"127.0.0.1:1\"\n", ":", "listen: "},
      {"application = \"a\"\n= 3\n", ":2: ", ""},
      {"[odd]\nx = 1\n", ":1: ", "odd: "},
  };
  for (const auto& row : rows) {
    const string path = write_file(row.text);
    const auto checked = run({"config", "check", path});
    assert(checked.code == 1 && checked.out.empty());
    assert(checked.err.find(path + row.line) == 0 && checked.err.find(row.key) != string::npos);
  }
  const auto both = run({"config", "check", write_file("a = 1\nb = 2\n")});
  assert(both.err.find(":1: a: ") != string::npos && both.err.find(":2: b: ") != string::npos);
  assert(run({"config", "check", "no/such/file"}).code == 1);
  assert(run({"serve", "--config", write_file("a = 1\n")}).code == 1);
}

const string alone = R"([serve]
listen = "127.0.0.1:0"
[settings]
max_attempts = 4
[kinds.reader]
role = "read"
tokens = 1000
[classes.k]
aim = "1s"
deadline = "6s"
[[fleet]]
name = "r1"
address = "127.0.0.1:1"
kind = "reader"
)";

// A file that stands alone is checked as strictly as the platform's; each row breaks it in one place.
void alone_faults() {
  assert(run({"config", "check", write_file(alone)}).code == 0);
  struct Row {
    const char *from, *to, *line, *what;
  };
  const Row rows[] = {
      {"max_attempts = 4", "max_attempts = 7",
       ":4: ", "settings.max_attempts: must be a whole number from 1 to 6"},
      {"max_attempts = 4", "max_attempts = \"4\"", ":4: ", "settings.max_attempts: "},
      {"max_attempts = 4", "second_copies = true", ":4: ", "breaks the rule that no two attempts"},
      {"max_attempts = 4", "release_within = \"2s\"", ":4: ", "is not from 1ms to 1s"},
      {"max_attempts = 4", "drain_grace = \"501ms\"", ":4: ", "is not from 0s to 500ms"},
      {"max_attempts = 4", "cold_for = 12", ":4: ", "must be a time with its unit"},
      {"max_attempts = 4", "siblings = 2\nme = 2", ":5: ", "must be below siblings, 2"},
      {"max_attempts = 4", "report_memory = \"x0\"", ":4: ", "is not among report_columns"},
      {"max_attempts = 4", "retries = 3", ":4: ", "settings.retries: is not a known key"},
      {"role = \"read\"", "role = \"reader\"", ":6: ", "'reader' is not read, write or both"},
      {"role = \"read\"\n", "", ":5: ", "kinds.reader.role: is missing"},
      {"aim = \"1s\"", "aim = \"7s\"", ":9: ", "is longer than the deadline"},
      {"aim = \"1s\"\n", "", ":8: ", "classes.k.aim: is missing"},
      {"deadline = \"6s\"", "deadline = \"6s\"\neffect = \"keyed\"", ":8: ", "classes.k.group: is missing"},
      {"deadline = \"6s\"", "deadline = \"6s\"\nwindow = \"1s\"", ":11: ", "says nothing of a class"},
      {"kind = \"reader\"", "kind = \"writer\"", ":14: ", "'writer' is not a known kind"},
      {"address = \"127.0.0.1:1\"\n", "", ":11: ", "fleet[0].address: is missing"},
      {"address = \"127.0.0.1:1\"", "address = \"here\"", ":13: ", "fleet[0].address: "},
      {"kind = \"reader\"",
       "kind = \"reader\"\n[[fleet]]\nname = \"r1\"\naddress = \"127.0.0.1:2\"\nkind = \"reader\"",
       ":16: ", "is there twice"},
      {"[serve]", "[serve]\ndiscovery = \"127.0.0.1:3\"", ":12: ", "not from both"},
      {"[serve]", "[serve]\nmemory_mb = 0", ":2: ", "memory_mb"},
      {"listen = \"127.0.0.1:0\"\n", "", ": ", "serve.listen: is missing"},
      {"[classes.k]\naim = \"1s\"\ndeadline = \"6s\"\n", "", ": ", "classes: is missing"},
  };
  for (const auto& row : rows) {
    string text = alone;
    const auto at = text.find(row.from);
    assert(at != string::npos);
    const auto checked =
        run({"config", "check", write_file(text.replace(at, string(row.from).size(), row.to))});
    const bool named = checked.err.find(string("tools_test.toml") + row.line) != string::npos &&
                       checked.err.find(row.what) != string::npos;
    if (!named)
      std::cerr << row.to << "\n" << checked.err;
    assert(checked.code == 1 && checked.out.empty() && named);
  }
}

string platform_file(const string& discovery, const string& listen = "127.0.0.1:0",
                     const string& nodes = "[]") {
  return write_file(R"({"name":"n1","listen":")" + listen + R"(","discovery":")" + discovery + R"(",
    "known":{"generation":1,"reset":true,"instances":)" +
                    nodes + R"(},
    "settings":{"zones":["a"],"kinds":["r"],"siblings":1,"extra":{"kind-role":["read"],"release-us":1000000},
      "lanes":[{"name":"k","idempotency":"read_like","slo-us":1500000,"hard-limit-us":7500000}],
      "limits":{"max-attempts":6,"conn-idle-us":15000000,"connect-timeout-us":250000},
      "safety":{"cold-us":1,"cold-from":1,"fall-multiple":1,"fall-us":1}}})");
}

// Beside a platform's file a class of the operator's must be one that the platform knows.
void unknown_class() {
  const string platform = platform_file("127.0.0.1:1");
  std::filesystem::rename(platform, "tools_test.json");
  const auto check = [](const char* name) {
    return run({"config", "check",
                write_file(string("[classes.") + name + "]\naim = \"1s\"\ndeadline = \"6s\"\n"), "--platform",
                "tools_test.json"});
  };
  assert(check("k").code == 0);
  const auto other = check("z");
  assert(other.code == 1 &&
         other.err.find("tools_test.toml:1: classes.z: is no class of the platform's, which knows k") == 0);
  std::filesystem::remove("tools_test.json");
}

// A file of the platform's with a fault is turned down, at the start, by config check and at SIGHUP alike.
void platform_faults() {
  platform_file("127.0.0.1:1");
  std::ifstream file("tools_test.toml");
  const string good(std::istreambuf_iterator<char>(file), {});
  config::parse_platform(good);
  const auto broken = [&](const string& from, const string& to) {
    const auto at = good.find(from);
    assert(at != string::npos);
    string text = good;
    return text.replace(at, from.size(), to);
  };
  for (const string& text : {string(),
                             string("[]"),
                             good.substr(0, good.size() / 2),
                             broken("\"name\":\"n1\",", ""),
                             broken("\"listen\":\"127.0.0.1:0\",", ""),
                             broken("\"discovery\"", "\"discover\""),
                             broken("\"settings\"", "\"setting\""),
                             broken("\"max-attempts\":6,", ""),
                             broken("attempts\":6", "attempts\":0"),
                             broken("attempts\":6", "attempts\":-1"),
                             broken("attempts\":6", "attempts\":\"six\""),
                             broken("attempts\":6", "attempts\":null"),
                             broken(",\"hard-limit-us\":7500000", ""),
                             broken("limit-us\":7500000", "limit-us\":0"),
                             broken("limit-us\":7500000", "limit-us\":-7500000"),
                             broken("limit-us\":7500000", "limit-us\":\"7s\""),
                             broken("limit-us\":7500000", "limit-us\":true"),
                             broken("\"zones\":[\"a\"],", ""),
                             broken("\"siblings\":1,", ""),
                             broken("\"name\":\"k\",", ""),
                             broken("read_like", "odd"),
                             broken("\"cold-us\":1,", "")}) {
    bool refused = false;
    try {
      config::parse_platform(text);
    } catch (const config::ConfigError&) {
      refused = true;
    }
    assert(refused);
  }
}

// A socket that takes connections, and its address.
struct Door {
  Door() {
    listen(fd, 8);
    sockaddr_in at{};
    socklen_t size = sizeof at;
    getsockname(fd, reinterpret_cast<sockaddr*>(&at), &size);
    address = "127.0.0.1:" + std::to_string(ntohs(at.sin_port));
  }
  ~Door() { close(fd); }
  static int bound() {
    const int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    sockaddr_in at{};
    at.sin_family = AF_INET;
    at.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    assert(bind(fd, reinterpret_cast<sockaddr*>(&at), sizeof at) == 0);
    return fd;
  }
  string first_line() {
    const int visitor = accept(fd, nullptr, nullptr);
    string line;
    char c = 0;
    while (read(visitor, &c, 1) == 1 && c != '\r')
      line += c;
    close(visitor);
    return line;
  }
  int fd = bound();
  string address;
};

// A port that nobody listens on at the moment.
std::uint16_t free_port() {
  Door door;
  return static_cast<std::uint16_t>(std::stoi(door.address.substr(door.address.find(':') + 1)));
}

// The program itself: it starts from the platform's file, follows discovery to where the replaced file says
// on SIGHUP, outlives a file that is no good, and ends with 0 on SIGTERM.
void start_and_end() {
  Door old_door, new_door;
  const string path = platform_file("127.0.0.1:1");
  int ends[2];
  assert(pipe(ends) == 0);
  const pid_t child = fork();
  if (child == 0) {
    dup2(ends[1], STDERR_FILENO);
    setenv("BALANCER_CONFIG", path.c_str(), 1);
    setenv("BALANCER_DISCOVERY", old_door.address.c_str(), 1);
    setenv("TMPDIR", ".", 1);
    std::_Exit(cli::run({"serve"}, std::cout, std::cerr));
  }
  close(ends[1]);
  string log;
  char c = 0;
  const auto logged = [&](const char* text) {
    while (log.find(text) == string::npos && read(ends[0], &c, 1) == 1)
      log += c;
    return log.find(text) != string::npos;
  };
  assert(logged("serves on"));
  assert(old_door.first_line() == "GET /v1/servers HTTP/1.1");
  platform_file(new_door.address);
  kill(child, SIGHUP);
  assert(new_door.first_line() == "GET /v1/servers HTTP/1.1");
  write_file("{");
  kill(child, SIGHUP);
  assert(logged("the configuration stays as it was: tools_test.toml: "));
  assert(new_door.first_line() == "GET /v1/servers HTTP/1.1");
  kill(child, SIGTERM);
  while (read(ends[0], &c, 1) == 1)
    log += c;
  int status = 0;
  assert(waitpid(child, &status, 0) == child && WIFEXITED(status) && WEXITSTATUS(status) == 0);
  assert(log.find("drained, ending") != string::npos);
  close(ends[0]);
}

// Without a platform: nodes, classes and settings are the operator's, at the start and at SIGHUP.
void starts_alone() {
  unsetenv("BALANCER_CONFIG");
  const string config = "tools_alone.toml";
  std::ofstream(config) << alone << "[management]\nlisten = \"127.0.0.1:" << free_port() << "\"\n";
  int ends[2];
  assert(pipe(ends) == 0);
  const pid_t child = fork();
  if (child == 0) {
    dup2(ends[1], STDERR_FILENO);
    setenv("TMPDIR", ".", 1);
    std::_Exit(cli::run({"serve", "--config", config}, std::cout, std::cerr));
  }
  close(ends[1]);
  string log;
  char c = 0;
  const auto logged = [&](const char* text) {
    while (log.find(text) == string::npos && read(ends[0], &c, 1) == 1)
      log += c;
    return log.find(text) != string::npos;
  };
  assert(logged("fixed nodes"));
  assert(log.find("endpoint updated: name=r1 endpoint=") != string::npos);
  string more = alone;
  std::ofstream(config) << more << "[[fleet]]\nname = \"r2\"\naddress = \"127.0.0.1:2\"\nkind = \"reader\"\n";
  kill(child, SIGHUP);
  assert(logged("SIGHUP: the configuration is taken, 1 classes, fixed nodes"));
  assert(logged("endpoint updated: name=r2 endpoint="));
  std::ofstream(config) << "[settings]\nmax_attempts = 9\n";
  kill(child, SIGHUP);
  assert(logged("stays as it was: tools_alone.toml:2: settings.max_attempts"));
  kill(child, SIGTERM);
  while (read(ends[0], &c, 1) == 1)
    log += c;
  int status = 0;
  assert(waitpid(child, &status, 0) == child && WIFEXITED(status) && WEXITSTATUS(status) == 0);
  close(ends[0]);
  std::filesystem::remove(config);
  for (const auto& file : std::filesystem::directory_iterator("."))
    if (file.path().filename().string().starts_with("lemonroute-lemonroute-"))
      std::filesystem::remove(file.path());
}

// One process of the program, with what it logs. Without an address for management it has none.
struct Process {
  Process(const string& config, int socket, const string& management) {
    int ends[2];
    assert(pipe(ends) == 0);
    if ((pid = fork()) == 0) {
      dup2(ends[1], STDERR_FILENO);
      setenv("BALANCER_CONFIG", config.c_str(), 1);
      setenv("BALANCER_SOCKET_FD", std::to_string(socket).c_str(), 1);
      setenv("BALANCER_MGMT", management.c_str(), 1);
      setenv("TMPDIR", ".", 1);
      std::_Exit(cli::run({"serve"}, std::cout, std::cerr));
    }
    close(ends[1]);
    out = ends[0];
  }
  ~Process() { close(out); }
  bool logged(const string& text) {
    char c = 0;
    while (log.find(text) == string::npos && read(out, &c, 1) == 1)
      log += c;
    return log.find(text) != string::npos;
  }
  int ended() {
    int status = 0;
    while (logged("\1")) {
    }
    assert(waitpid(pid, &status, 0) == pid && WIFEXITED(status));
    return WEXITSTATUS(status);
  }
  pid_t pid = 0;
  int out = -1;
  string log;
};

// What a caller at `address` is told, all of it; nothing if nobody is there.
string call(const string& address, const string& line) {
  const net::SocketAddress to(address);
  const int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  string answer;
  if (connect(fd, to.address(), static_cast<socklen_t>(to.length())) == 0) {
    const string text = line + " HTTP/1.1\r\nConnection: close\r\n\r\n";
    assert(write(fd, text.data(), text.size()) == static_cast<ssize_t>(text.size()));
    char c = 0;
    while (read(fd, &c, 1) == 1)
      answer += c;
  }
  close(fd);
  return answer;
}

// A new process takes over on the inherited socket: bans hold for both, the old one ends with 0, and nobody
// who connects is turned away. One that can't start changes nothing.
void upgrade() {
  Door clients, spare;  // what `spare` listens on is free again once it is closed
  const string ban = "/instances/disable?name=w1", old_door = "127.0.0.1:" + std::to_string(free_port()),
               new_door = "127.0.0.1:" + std::to_string(free_port());
  const int inherited = dup(clients.fd);
  const string path = platform_file("127.0.0.1:1", clients.address,
                                    R"([{"instanceId":"w1","hostPort":"127.0.0.1:1","lifecycle":"active"}])");
  Process old_one(path, inherited, old_door);
  assert(old_one.logged("serves on"));
  assert(call(old_door, "GET /ready").find(" 200 ") != string::npos);
  assert(call(old_door, "POST " + ban).find(" 200 ") != string::npos);
  const int flags = fcntl(clients.fd, F_GETFD);

  for (const int wrong : {old_one.out, spare.fd, 4711}) {
    Process broken(path, wrong, new_door);
    assert(broken.ended() == 1 &&
           broken.log.find("lemonroute: the inherited socket, descriptor") != string::npos);
  }
  assert(call(clients.address, "GET /healthz").find(" 200 ") != string::npos);

  Process new_one(path, inherited, new_door);
  assert(new_one.logged("serves on"));
  assert(call(new_door, "GET /ready").find(" 200 ") != string::npos);
  assert(call(new_door, "GET /metrics").find("\"cluster_unhealthy\":1,") != string::npos);
  assert(call(new_door, "POST /instances/enable?name=w1").find(" 200 ") != string::npos);
  assert(old_one.logged("overrides reloaded: reason=changed_by_other_process"));
  assert(call(old_door, "GET /metrics").find("\"cluster_unhealthy\":0,") != string::npos);
  kill(new_one.pid, SIGHUP);  // in the middle of it
  kill(old_one.pid, SIGTERM);
  assert(old_one.ended() == 0);
  assert(old_one.log.find("another process takes the clients") != string::npos);
  assert(new_one.logged("no other process of this router runs"));
  assert(fcntl(clients.fd, F_GETFD) == flags);
  for (int i = 0; i < 3; ++i)
    assert(call(clients.address, "GET /healthz").find(" 200 ") != string::npos);
  assert(call(old_door, "GET /ready").empty());

  // Without a successor it drains as ever, and the socket stays open with its other holder.
  kill(new_one.pid, SIGTERM);
  assert(new_one.logged("SIGTERM: draining"));
  assert(call(new_door, "GET /ready").find(" 503 ") != string::npos);
  assert(new_one.ended() == 0);
  int listens = 0;
  socklen_t size = sizeof listens;
  assert(getsockopt(clients.fd, SOL_SOCKET, SO_ACCEPTCONN, &listens, &size) == 0 && listens);
  close(inherited);
  for (const auto& file : std::filesystem::directory_iterator("."))
    if (file.path().filename().string().starts_with("lemonroute-n1-"))
      std::filesystem::remove(file.path());
}

struct Answer : http::Listener {
  void head(const http::Head&) override {}
  void body(std::string_view) override {}
  void ended(http::Ending) override { over = true; }
  bool over = false;
};

// What a node sends behind an answer must not be taken for the next one, even if it is still in the kernel
// when the connection is wanted again.
void second_answer() {
  Door door;
  net::Loop loop;
  http::Client client(loop, {});
  Answer first, next;
  const auto one = client.start(door.address, "GET / HTTP/1.1\r\n\r\n", {}, first);
  const int node = accept(door.fd, nullptr, nullptr);
  const string answer = "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n";
  assert(write(node, answer.data(), answer.size()) == static_cast<ssize_t>(answer.size()));
  while (!first.over)
    loop.run_once();
  assert(write(node, answer.data(), answer.size()) == static_cast<ssize_t>(answer.size()));
  const auto two = client.start(door.address, "GET /next HTTP/1.1\r\n\r\n", {}, next);
  int other = -1;
  fcntl(door.fd, F_SETFL, O_NONBLOCK);
  net::Timer look(loop, [] {});
  while ((other = accept(door.fd, nullptr, nullptr)) < 0 && !next.over) {
    look.start(std::chrono::milliseconds(5));
    loop.run_once();
  }
  assert(!next.over);
  close(other);
  close(node);
}

struct Note : AttemptHandler {
  void on_request_written() override {}
  void on_data(std::string_view) override {}
  void on_done(AttemptResult ended) override { result = ended, over = true; }
  AttemptResult result;
  bool over = false;
};

// Sends a stream of one event whose head brings a report, and whose end brings none.
struct HttpStreamer : net::Connection::Handler {
  explicit HttpStreamer(net::Loop& loop)
      : listener(loop, "127.0.0.1:0", [this, &loop](evutil_socket_t fd) {
          connection.reset(new net::Connection(loop, fd, *this));
        }) {}
  void on_readable() override {
    connection->write(
        "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nSrv-Load: x0=1\r\n"
        "Content-Length: 23\r\n\r\ndata: a\n\ndata: [DONE]\n\n");
  }
  void on_closed() override {}
  net::Listener listener;
  std::unique_ptr<net::Connection> connection;
};
struct GrpcStreamer : grpc::SessionOwner, grpc::StreamEvents {
  explicit GrpcStreamer(net::Loop& loop)
      : listener(loop, "127.0.0.1:0", [this, &loop](evutil_socket_t fd) {
          session.reset(new grpc::Session(loop, fd, *this, {}));
        }) {}
  grpc::StreamEvents* opened(grpc::Session&, std::int32_t id, const grpc::Headers&) override {
    stream = id;
    return this;
  }
  void half_closed() override {
    v1::RunEvent event;
    event.set_data("a");
    session->respond(stream,
                     {{":status", "200"}, {"content-type", "application/grpc"}, {"srv-load", "x0=1"}});
    session->write(stream, grpc::frame(event));
    session->finish(stream, {{"grpc-status", "0"}});
  }
  void headers(const grpc::Headers&) override {}
  void data(std::string_view) override {}
  void closed(std::uint32_t, bool) override {}
  void closed(grpc::Session&) override {}
  net::Listener listener;
  std::int32_t stream = 0;
  std::unique_ptr<grpc::Session> session;
};

// A report counts from when it comes; one that came at the head of a stream is old when the stream ends.
template <class Streamer, class Client, class Limits>
void old_report() {
  net::Loop loop;
  Streamer streamer(loop);
  Client client(loop, Limits{});
  Node node;
  node.address = "127.0.0.1:" + std::to_string(streamer.listener.port());
  Note note;
  const auto call =
      client.start_attempt(node, {"q", "/", std::make_shared<string>("{}")}, std::chrono::seconds(5), note);
  while (!note.over)
    loop.run_once();
  assert(note.result.outcome == Outcome::ok && note.result.load_report.empty());
}

struct NoNodes : NodeTransport {
  std::unique_ptr<Call> start_attempt(const Node&, const Prompt&, Micros, AttemptHandler&) override {
    return nullptr;
  }
  std::unique_ptr<Call> release_reservation(const Node&, const string&, std::function<void(bool)>) override {
    return nullptr;
  }
  std::unique_ptr<Call> probe(const Node&, std::function<void(const AttemptResult&)>) override {
    return nullptr;
  }
  void close_idle_connections(const Node&) override {}
  void set_limits(const Limits&) override {}
};

struct Bed {
  net::Loop loop;
  SystemClock clock;
  NoNodes nodes;
  Router core{[] {
                Settings s;
                s.role_by_kind = {Role::prefill};
                return s;
              }(),
              {"a"},
              {"r"},
              1,
              clock,
              nodes};
  ops::Status status{core};
  Bed() {
    core.on_change = [this] { status.check(); };
  }
  void list(EndpointState phase) {
    core.update_endpoints(EndpointListKind::full, 1,
                          {{"r", "127.0.0.1:1", "a", "r", 0, phase, 1, Micros(0)}});
  }
};

struct Visit : net::Connection::Handler {
  Visit(net::Loop& loop, std::uint16_t port)
      : connection(loop, net::SocketAddress("127.0.0.1:" + std::to_string(port)), *this) {}
  void on_readable() override {
    const auto size = evbuffer_get_length(connection.input());
    text.append(reinterpret_cast<const char*>(evbuffer_pullup(connection.input(), -1)), size);
    evbuffer_drain(connection.input(), size);
  }
  void on_closed() override { over = true; }
  string text;
  bool over = false;
  net::Connection connection;
};

void agent_check() {
  Bed bed;
  ops::AgentCheck agent(bed.loop, "127.0.0.1:0", bed.status);
  const auto line = [&] {
    Visit visit(bed.loop, agent.port());
    while (!visit.over)
      bed.loop.run_once();
    return visit.text;
  };
  assert(line() == "ready down #no node is ready\n");
  bed.list(EndpointState::ready);
  assert(line() == "ready up 100%\n");
  bed.list(EndpointState::draining);
  assert(line().find("down") != string::npos);
  bed.status.drain();
  assert(line() == "drain\n");
}

struct HealthCall : grpc::SessionOwner, grpc::StreamEvents {
  HealthCall(Bed& bed, std::uint16_t port, const string& method, const string& service)
      : session(new grpc::Session(bed.loop, "127.0.0.1:" + std::to_string(port), *this, {})) {
    ::grpc::health::v1::HealthCheckRequest request;
    request.set_service(service);
    session->request({{":method", "POST"},
                      {":scheme", "http"},
                      {":path", "/grpc.health.v1.Health/" + method},
                      {":authority", "x"},
                      {"content-type", "application/grpc"}},
                     grpc::frame(request), *this);
  }
  void headers(const grpc::Headers& headers) override { code = grpc::find(headers, "grpc-status"); }
  void data(std::string_view piece) override {
    reader.feed(piece, [this](std::string_view bytes) {
      ::grpc::health::v1::HealthCheckResponse response;
      assert(response.ParseFromString(string(bytes)));
      seen += std::to_string(response.status());
    });
  }
  void closed(std::uint32_t, bool) override { over = true; }
  void closed(grpc::Session&) override {}
  string seen, code;
  bool over = false;
  grpc::MessageReader reader;
  std::unique_ptr<grpc::Session> session;
};

void health() {
  Bed bed;
  ops::HealthService service(bed.status);
  grpc::Server server(bed.loop, "127.0.0.1:0", 8);
  server.add(service);
  const auto check = [&](const string& method, const string& name) {
    HealthCall call(bed, server.port(), method, name);
    while (!call.over)
      bed.loop.run_once();
    return call.seen + "/" + call.code;
  };
  assert(check("Check", "") == "2/0");
  bed.list(EndpointState::ready);
  assert(check("Check", "") == "1/0" && check("Check", "lemonroute.v1.Drafting") == "1/0");
  assert(check("Check", "other") == "/5" && check("Chekc", "") == "/12");

  HealthCall watch(bed, server.port(), "Watch", ""), unknown(bed, server.port(), "Watch", "other");
  const auto until = [&](const string& seen) {
    while (watch.seen != seen)
      bed.loop.run_once();
  };
  until("1");
  bed.list(EndpointState::draining);
  until("12");
  bed.list(EndpointState::ready);
  until("121");
  // Guards against watches that are kept when their call has ended: one client could open them for ever.
  for (int i = 0; i < 3; ++i) {
    HealthCall left(bed, server.port(), "Watch", "");
    while (left.seen.empty())
      bed.loop.run_once();
  }
  for (int round = 0; round < 10000 && bed.status.watcher_count() > 2; ++round)
    event_base_loop(bed.loop.base(), EVLOOP_NONBLOCK);
  assert(bed.status.watcher_count() == 2);
  bed.status.drain();
  while (!watch.over || !unknown.over)
    bed.loop.run_once();
  assert(watch.seen == "1212" && watch.code == "14" && unknown.seen == "3");
}

// What is known of many nodes takes several messages, and arrives as it was; a wrong message says so and
// loses nothing.
void told_of_nodes() {
  const string path =
      (std::filesystem::temp_directory_path() / ("told-" + std::to_string(getpid()))).string();
  net::Loop loop;
  std::vector<NodeHandoverState> got;
  std::size_t messages = 0, streams = 0;
  const std::vector<std::pair<Role, double>> rates{{Role::prefill, 51.25}, {Role::mixed, 80}};
  ops::Handover end(
      loop, path, [&](const TransferredStream&) { ++streams; },
      [&](const HandoverState& handover_state) {
        ++messages;
        assert(handover_state.prefill_times_per_token == rates);
        got.insert(got.end(), handover_state.nodes.begin(), handover_state.nodes.end());
      });
  std::vector<NodeHandoverState> sent;
  for (int i = 0; i < 120; ++i)
    sent.push_back({"s-" + std::to_string(i), "inflight=7,queue=2,x0=0.61,x1=" + string(i % 7, '1'),
                    Micros(i), i % 5 == 0, i / 4.0});
  ops::Handover::tell(path, {sent, rates});
  while (got.size() < sent.size())
    loop.run_once();
  for (std::size_t i = 0; i < sent.size(); ++i)
    assert(got[i].node == sent[i].node && got[i].load_report == sent[i].load_report &&
           got[i].age == sent[i].age && got[i].ejected == sent[i].ejected &&
           got[i].work_rate == sent[i].work_rate);
  assert(messages > 1 && messages <= 6 && streams == 0);
  ops::Handover::tell(path + "-nobody", {sent, rates});  // is lost, and that is all
  ops::Handover::tell(path, {{{string(8000, 'x'), {}, {}, true}, {"after", {}, {}, true}}, rates});
  while (got.size() == sent.size())
    loop.run_once();
  assert(got.size() == sent.size() + 1 && got.back().node == "after");
  std::remove(path.c_str());
}

}  // namespace
}  // namespace lemonroute

int main() {
  using namespace lemonroute;
  command_line();
  faults();
  alone_faults();
  unknown_class();
  platform_faults();
  start_and_end();
  starts_alone();
  upgrade();
  second_answer();
  old_report<HttpStreamer, http::NodeClient, http::ClientLimits>();
  old_report<GrpcStreamer, lemonroute::grpc::NodeClient, lemonroute::grpc::Session::Limits>();
  agent_check();
  health();
  told_of_nodes();
  std::remove("tools_test.toml");
  std::cout << "tools: all checks passed\n";
}
