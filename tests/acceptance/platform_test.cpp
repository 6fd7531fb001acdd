// The program as the platform starts it, under a filter that ends it at the first call which the platform refuses: another
// program or process, io_uring, splice, sendfile, a Unix socket. It starts, serves a request and ends with 0.
#include <linux/audit.h>
#include <linux/filter.h>
#include <linux/seccomp.h>
#include <sys/prctl.h>
#include <sys/syscall.h>
#include <sys/wait.h>

#include <csignal>
#include <cstddef>
#include <cstdlib>
#include <filesystem>
#include <fstream>
#include <iostream>

#include "acceptance/door.h"
#include "cli/commands.h"
#include "deployments/shapes.h"

namespace lemonroute::acceptance {
namespace {

// A thread is made by clone with CLONE_THREAD, a process without; clone3 is said to be missing, as on older systems.
void refuse_what_the_platform_refuses() {
  std::vector<sock_filter> code;
  const auto load = [&](std::size_t at) { code.push_back(BPF_STMT(BPF_LD | BPF_W | BPF_ABS, static_cast<std::uint32_t>(at))); };
  const auto end_if_equal = [&](std::uint32_t value) {
    code.push_back(BPF_JUMP(BPF_JMP | BPF_JEQ | BPF_K, value, 0, 1));
    code.push_back(BPF_STMT(BPF_RET | BPF_K, SECCOMP_RET_KILL_PROCESS));
  };
  load(offsetof(seccomp_data, nr));
  for (const long call : {
#ifdef SYS_fork
           SYS_fork, SYS_vfork,
#endif
           SYS_execve, SYS_execveat, SYS_io_uring_setup, SYS_io_uring_enter, SYS_io_uring_register, SYS_splice, SYS_tee, SYS_vmsplice,
           SYS_sendfile, SYS_socketpair})
    end_if_equal(static_cast<std::uint32_t>(call));
  code.push_back(BPF_JUMP(BPF_JMP | BPF_JEQ | BPF_K, SYS_clone3, 0, 1));
  code.push_back(BPF_STMT(BPF_RET | BPF_K, SECCOMP_RET_ERRNO | ENOSYS));
  code.push_back(BPF_JUMP(BPF_JMP | BPF_JEQ | BPF_K, SYS_socket, 0, 4));
  load(offsetof(seccomp_data, args));
  end_if_equal(AF_UNIX);
  code.push_back(BPF_STMT(BPF_RET | BPF_K, SECCOMP_RET_ALLOW));
  code.push_back(BPF_JUMP(BPF_JMP | BPF_JEQ | BPF_K, SYS_clone, 0, 3));
  load(offsetof(seccomp_data, args));
  code.push_back(BPF_JUMP(BPF_JMP | BPF_JSET | BPF_K, CLONE_THREAD, 1, 0));
  code.push_back(BPF_STMT(BPF_RET | BPF_K, SECCOMP_RET_KILL_PROCESS));
  code.push_back(BPF_STMT(BPF_RET | BPF_K, SECCOMP_RET_ALLOW));
  const sock_fprog program{static_cast<unsigned short>(code.size()), code.data()};
  if (prctl(PR_SET_NO_NEW_PRIVS, 1, 0, 0, 0) != 0 || prctl(PR_SET_SECCOMP, SECCOMP_MODE_FILTER, &program) != 0) std::_Exit(99);
}

pid_t child = 0;

// Waits until there is something to read, and no longer than the program lives.
bool comes(int fd) {
  for (int i = 0; i < 200; ++i) {
    if (readable(fd, 100)) return true;
    siginfo_t ended{};
    if (waitid(P_PID, static_cast<id_t>(child), &ended, WEXITED | WNOHANG | WNOWAIT) != 0 || ended.si_pid == child) return false;
  }
  return false;
}
int taken(const Door& door) { return comes(door.fd) ? accept(door.fd, nullptr, nullptr) : -1; }
std::string heard_up_to(int fd, const std::string& last) {
  std::string text;
  while (text.find(last) == std::string::npos && fd >= 0 && comes(fd)) {
    const Heard more = hear(fd);
    text += more.text;
    if (more.ended) break;
  }
  return text;
}
std::string plain(const std::string& status, const std::string& body) {
  return "HTTP/1.1 " + status + "\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
}

TEST(Platform, ServesWithNothingThatIsRefusedThere) {
  const std::string folder = "platform_test.tmp";
  std::filesystem::create_directory(folder);
  const std::string config = folder + "/config.json";
  std::ofstream(config) << shapes::file(shapes::one_class());
  Door agent, reader, writer;
  std::string clients;
  {
    Door free;
    clients = free.address;
  }
  child = fork();
  if (child == 0) {
    for (const auto& [name, value] : {std::pair{"BALANCER_CONFIG", config}, std::pair{"BALANCER_LISTEN", clients},
                                      std::pair{"BALANCER_DISCOVERY", agent.address}, std::pair{"TMPDIR", folder}})
      setenv(name, value.c_str(), 1);
    for (const char* name : {"BALANCER_MGMT", "BALANCER_SOCKET_FD", "BALANCER_NAME"}) unsetenv(name);
    refuse_what_the_platform_refuses();
    std::_Exit(cli::run({"serve"}, std::cout, std::cerr));
  }
  const int watch = taken(agent);
  EXPECT_EQ(heard_up_to(watch, "\r\n\r\n").substr(0, 25), "GET /v1/servers HTTP/1.1\r");
  const auto node = [](const char* name, const Door& door, const char* kind) {
    return std::string(R"({"instanceId":")") + name + R"(","hostPort":")" + door.address + R"(","machineType":")" + kind +
           R"(","zone":"milano","lifecycle":"active"})";
  };
  say(watch, plain("200 OK", R"({"generation":50,"reset":true,"instances":[)" + node("r1", reader, "lettura") + "," +
                                 node("w1", writer, "scrittura") + "]}"));
  EXPECT_NE(heard_up_to(watch, "\r\n\r\n").find("index=50"), std::string::npos);  // it has the list

  const int client = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  const net::Endpoint to(clients);
  EXPECT_EQ(connect(client, to.address(), static_cast<socklen_t>(to.length())), 0);
  say(client, "POST /v1/chat/completions HTTP/1.1\r\nReq-Id: q1\r\nReq-Kind: estratto\r\nContent-Length: 2\r\n\r\n{}");
  const int reading = taken(reader);
  heard_up_to(reading, "{}");
  say(reading, plain("202 Accepted", "{\"cached_tokens\":0}"));
  const int writing = taken(writer);
  heard_up_to(writing, "{}");
  say(writing, "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n"
               "9\r\ndata: a\n\n\r\ne\r\ndata: [DONE]\n\n\r\n0\r\n\r\n");
  const std::string answer = heard_up_to(client, "\r\n0\r\n\r\n");
  EXPECT_NE(answer.find("data: a\n\n"), std::string::npos) << answer;
  kill(child, SIGHUP);
  close(client);
  kill(child, SIGTERM);
  int status = 0;
  EXPECT_EQ(waitpid(child, &status, 0), child);
  EXPECT_FALSE(WIFSIGNALED(status)) << "ended by signal " << WTERMSIG(status) << ", " << SIGSYS << " is a call that is refused";
  EXPECT_TRUE(WIFEXITED(status) && WEXITSTATUS(status) == 0) << "ended with " << WEXITSTATUS(status);
  for (const int fd : {watch, reading, writing}) close(fd);
  std::filesystem::remove_all(folder);
}

}  // namespace
}  // namespace lemonroute::acceptance
