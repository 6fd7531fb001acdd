// grpc_streams [STREAMS]: memory and descriptors of the serving side with that many calls open and waiting,
// from clients in a process of their own. Prints one line; compare lines of one machine.
#include <sys/wait.h>
#include <unistd.h>

#include <csignal>
#include <fstream>
#include <iostream>
#include <map>

#include "base/log.h"
#include "core/router.h"
#include "grpc/front.h"
#include "grpc/server.h"
#include "proto/lemonroute.pb.h"

namespace {

using namespace lemonroute;

std::size_t memory_kib() {
  std::ifstream status("/proc/self/status");
  for (std::string line; std::getline(status, line);)
    if (line.starts_with("VmRSS:"))
      return std::stoul(line.substr(6));
  return 0;
}

// Nodes that never answer: every call waits.
struct Silent : NodeTransport {
  std::unique_ptr<Call> start_attempt(const Node&, const Prompt&, Micros, AttemptHandler&) override {
    return std::make_unique<Call>();
  }
  std::unique_ptr<Call> release_reservation(const Node&, const std::string&,
                                            std::function<void(bool)>) override {
    return std::make_unique<Call>();
  }
  std::unique_ptr<Call> probe(const Node&, std::function<void(const AttemptResult&)>) override {
    return nullptr;
  }
  void close_idle_connections(const Node&) override {}
  void set_limits(const Limits&) override {}
};

Settings settings() {
  Settings s;
  ClassSettings c;
  c.name = "k";
  c.latency_objective = c.deadline = std::chrono::minutes(10);
  s.classes = {c};
  s.role_by_kind = {Role::prefill, Role::decode};
  s.kv_cache_tokens_by_kind = {1e12, 1e12};
  s.max_attempts = 2;
  s.overload_window = std::chrono::seconds(1);
  return s;
}

int client(std::uint16_t port, std::size_t streams) {
  struct Owner : grpc::SessionOwner {
    void closed(grpc::Session&) override {}
  } owner;
  struct Mute : grpc::StreamEvents {
    void headers(const grpc::Headers&) override {}
    void data(std::string_view) override {}
    void closed(std::uint32_t, bool) override {}
  } mute;
  net::Loop loop;
  std::vector<std::unique_ptr<grpc::Session>> sessions;
  const std::string address = "127.0.0.1:" + std::to_string(port);
  for (std::size_t i = 0; i < streams; ++i) {
    if (i % 128 == 0)
      sessions.push_back(std::make_unique<grpc::Session>(loop, address, owner, grpc::Session::Limits{}));
    v1::GenerateRequest request;
    request.set_id("q" + std::to_string(i));
    request.set_kind("k");
    request.set_prompt_tokens(1);
    request.set_body("{}");
    sessions.back()->request({{":method", "POST"},
                              {":scheme", "http"},
                              {":path", "/lemonroute.v1.Drafting/Generate"},
                              {":authority", "x"},
                              {"content-type", "application/grpc"},
                              {"te", "trailers"},
                              {"grpc-timeout", "600S"}},
                             grpc::frame(request), mute);
  }
  loop.run();
  return 0;
}

}  // namespace

int main(int argc, char** argv) {
  std::signal(SIGPIPE, SIG_IGN);
  logging::set_level(logging::Level::error);
  const std::size_t streams = argc > 1 ? std::stoul(argv[1]) : 10000;
  net::Loop loop;
  SystemClock clock;
  Silent nodes;
  Router core(settings(), {"a"}, {"r", "w"}, 1, clock, nodes);
  std::vector<Router::ListedNode> list;
  for (const char* name : {"r1", "r2", "w1"})
    list.push_back(
        {name, "127.0.0.1:1", "a", std::string(name).substr(0, 1), 0, EndpointState::ready, 1, Micros(0)});
  core.update_endpoints(EndpointListKind::full, 1, list);
  grpc::Front front(core);
  grpc::Server server(loop, "127.0.0.1:0", streams / 128 + 16);
  server.add(front);
  const std::size_t before = memory_kib();
  const pid_t child = fork();
  if (child == 0)
    std::_Exit(client(server.port(), streams));
  net::Timer hang(loop, [&] { loop.stop(); });
  hang.start(std::chrono::seconds(60));
  net::Timer look(loop, [&] {
    if (core.open_request_count() >= streams)
      loop.stop();
    else
      look.start(std::chrono::milliseconds(20));
  });
  look.start(std::chrono::milliseconds(20));
  loop.run();
  const std::size_t held = memory_kib() - before;
  kill(child, SIGKILL);
  waitpid(child, nullptr, 0);
  std::cout << core.open_request_count() << " calls open: " << held << " KiB more, "
            << held * 1024 / std::max<std::size_t>(1, core.open_request_count()) << " bytes a call"
            << std::endl;
  return core.open_request_count() == streams ? 0 : 1;
}
