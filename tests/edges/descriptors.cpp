// Places and descriptors under pressure: who has to go, and who gets the last ones.
#include <fcntl.h>
#include <sys/prctl.h>
#include <sys/syscall.h>
#include <sys/wait.h>

#include <algorithm>
#include <csignal>
#include <cstdarg>
#include <iostream>

#include "discovery/watch.h"
#include "sockets.h"

using namespace lemonroute;
using namespace lemonroute::test;

// The kernel's limit, played here: with none left at all the sanitizers' own checks, which open pipes, take
// sound objects for broken ones. The calls that make descriptors fail as they would.
namespace {
int most_descriptors = 1 << 16;
bool full() {
  int used = 0;
  for (int fd = 0; fd < 256; ++fd)
    used += fcntl(fd, F_GETFD) >= 0;
  if (used < most_descriptors)
    return false;
  errno = EMFILE;
  return true;
}
}  // namespace
extern "C" int accept4(int fd, sockaddr* from, socklen_t* length, int flags) {
  return full() ? -1 : static_cast<int>(syscall(SYS_accept4, fd, from, length, flags));
}
extern "C" int socket(int domain, int type, int protocol) noexcept {
  return full() ? -1 : static_cast<int>(syscall(SYS_socket, domain, type, protocol));
}
extern "C" int open(const char* path, int flags, ...) {
  va_list more;
  va_start(more, flags);
  const int mode = flags & O_CREAT ? va_arg(more, int) : 0;
  va_end(more);
  return full() ? -1 : static_cast<int>(syscall(SYS_openat, AT_FDCWD, path, flags, mode));
}

namespace {

// Of connections at rest the one that has rested longest goes first, and none before its time; of such that
// have not asked likewise; none that is busy ever does.
void oldest_first() {
  struct Peer : net::Admission::Peer {
    std::string name;
    std::string* gone;
    net::Admission* in;
    Peer(std::string n, std::string& g, net::Admission& a) : name(std::move(n)), gone(&g), in(&a) {}
    void dismiss() override {
      *gone += name;
      in->left(*this);
    }
  };
  net::Loop loop;
  std::chrono::steady_clock::time_point at{};
  bool paused = false;
  std::string gone;
  net::Admission admission(
      loop, 5, [&](bool on) { paused = on; }, [&] { return at; });
  Peer a("a", gone, admission), b("b", gone, admission), c("c", gone, admission), d("d", gone, admission),
      e("e", gone, admission), f("f", gone, admission);
  for (auto* one : {&a, &b, &c, &d})
    admission.arrived(*one);
  admission.busy(a);
  admission.at_rest(b);
  at += 1s;
  admission.at_rest(c);
  admission.arrived(e);
  assert(gone == "d" && !paused);  // nobody has rested for 2 s, but d has not asked
  admission.arrived(f);
  assert(gone == "d" && paused);
  at += 1s;
  admission.limit(5);
  assert(gone == "db" && !paused);
  admission.let_go();  // descriptors run short: those at rest go whatever their time, the others stay
  assert(gone == "dbc");
}

// One that only waits for its peer to go takes no place, but there are few of them.
void leaving() {
  struct Peer : net::Admission::Peer {
    bool gone = false;
    net::Admission* in = nullptr;
    void dismiss() override {
      gone = true;
      in->left(*this);
    }
  };
  net::Loop loop;
  bool paused = false;
  net::Admission admission(loop, 16, [&](bool on) { paused = on; });
  std::vector<Peer> bindings(20);
  for (int i = 0; i < 16; ++i) {
    bindings[i].in = &admission;
    admission.arrived(bindings[i]);
    admission.busy(bindings[i]);
  }
  assert(paused && admission.free() == 0);
  for (int i = 0; i < 4; ++i)
    admission.leaving(bindings[i]);
  assert(!paused && admission.free() == 4);
  assert(bindings[0].gone && bindings[1].gone && !bindings[2].gone && !bindings[3].gone);
}

// Another process, whose descriptors are its own: clients that ask once and stay, to rest or to wait.
pid_t crowd(std::uint16_t port, int clients, bool waits) {
  const pid_t child = fork();
  if (child != 0)
    return child;
  prctl(PR_SET_PDEATHSIG, SIGKILL);
  most_descriptors = 1 << 16;
  std::vector<int> held;
  for (int i = 0; i < clients; ++i) {
    const int fd = socket(AF_INET, SOCK_STREAM, 0);
    sockaddr_in to{};
    to.sin_family = AF_INET;
    to.sin_port = htons(port);
    to.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    const std::string hello =
        waits ? Door::request("q" + std::to_string(i)) : "GET /healthz HTTP/1.1\r\n\r\n";
    if (fd >= 0 && connect(fd, reinterpret_cast<sockaddr*>(&to), sizeof to) == 0)
      (void)!write(fd, hello.data(), hello.size());
    held.push_back(fd);
  }
  for (;;)
    pause();
}

// Clients take every descriptor that they can have while discovery is down. Once it is back the watch gets
// its connection; the clients never get what is kept back, be they at rest or busy, when none can be let go.
void watch_reopens(bool waits) {
  most_descriptors = 64;
  Door door(1000);  // places enough: only descriptors are short
  door.loop.reserve().keep(4);
  int asked[2];
  assert(pipe(asked) == 0);
  // The address of discovery is bound already, so that nobody else gets it, but nobody listens there yet.
  const int agents = socket(AF_INET, SOCK_STREAM, 0);
  sockaddr_in at{};
  at.sin_family = AF_INET;
  at.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
  socklen_t length = sizeof at;
  assert(bind(agents, reinterpret_cast<sockaddr*>(&at), sizeof at) == 0);
  assert(getsockname(agents, reinterpret_cast<sockaddr*>(&at), &length) == 0);
  discovery::Watch watch(door.loop, "127.0.0.1:" + std::to_string(ntohs(at.sin_port)), door.core);
  watch.start();
  const pid_t child = crowd(door.front.port(), 200, waits);
  assert(door.until([&] { return door.loop.tally().counted(net::Overdone::not_taken) > 1; }, 20s));
  // Discovery is another process, too.
  const pid_t agent = fork();
  if (agent == 0) {
    prctl(PR_SET_PDEATHSIG, SIGKILL);
    most_descriptors = 1 << 16;
    for (int fd = 3; fd < 256; ++fd)
      if (fd != asked[1] && fd != agents)
        close(fd);
    if (listen(agents, 8) != 0)
      _exit(1);
    const int one = accept(agents, nullptr, nullptr);
    char got[256];
    if (one >= 0 && ::read(one, got, sizeof got) > 0)
      (void)!write(asked[1], "y", 1);
    for (;;)
      pause();
  }
  close(asked[1]);
  fcntl(asked[0], F_SETFL, O_NONBLOCK);
  char byte = 0;
  assert(door.until([&] { return ::read(asked[0], &byte, 1) == 1; }, 10s));
  close(asked[0]);
  close(agents);
  for (const pid_t one : {child, agent}) {
    kill(one, SIGKILL);
    waitpid(one, nullptr, 0);
  }
}

// What is kept back goes to discovery to the last, to others but for two; and to clients never.
void reserve() {
  net::Loop loop;
  loop.reserve().keep(4);
  int handed = 0;
  while (loop.reserve().lend(net::Purpose::nodes))
    ++handed;
  assert(handed == 2);
  while (loop.reserve().lend(net::Purpose::discovery))
    ++handed;
  assert(handed == 4);
  assert(loop.reserve().whole());
  assert(loop.reserve().lend(net::Purpose::management));
}

}  // namespace

int main() {
  oldest_first();
  leaving();
  reserve();
  for (const bool waits : {false, true})
    watch_reopens(waits);
}
