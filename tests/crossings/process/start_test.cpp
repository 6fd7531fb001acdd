// The start of the program, also beside a process that ends, and its sudden end.
#include <sys/wait.h>
#include <unistd.h>

#include <csignal>
#include <filesystem>
#include <fstream>

#include "crossings/process/bed.h"
#include "deployments/shapes.h"

namespace lemonroute::crossings {
namespace {

const std::string healthz = "GET /healthz HTTP/1.1\r\nHost: x\r\n\r\n";
constexpr std::chrono::milliseconds taken_first{300};  // shorter than the program waits for an address

// The real program, started with `file`, and what it logs.
class Process {
 public:
  explicit Process(const shapes::json& file) : path_("crossings." + std::to_string(getpid()) + ".json") {
    std::ofstream(path_) << file.dump();
    int ends[2];
    EXPECT_EQ(pipe(ends), 0);
    pid_ = fork();
    if (pid_ == 0) {
      dup2(ends[1], STDERR_FILENO);
      setenv("BALANCER_CONFIG", path_.c_str(), 1);
      execl(LEMONROUTE_PROGRAM, LEMONROUTE_PROGRAM, "serve", nullptr);
      _exit(127);
    }
    close(ends[1]);
    log_ = ends[0];
  }
  ~Process() {
    if (!over_)
      end(SIGKILL);
    close(log_);
    std::filesystem::remove(path_);
  }
  bool logged(const std::string& text) {
    char c = 0;
    while (said_.find(text) == std::string::npos && read(log_, &c, 1) == 1)
      said_ += c;
    return said_.find(text) != std::string::npos;
  }
  void signal(int number) { kill(pid_, number); }
  int end(int number) {
    int status = 0;
    signal(number);
    waitpid(pid_, &status, 0);
    over_ = true;
    return status;
  }

 private:
  std::string path_, said_;
  pid_t pid_ = -1;
  int log_ = -1;
  bool over_ = false;
};

shapes::json file_for(const std::string& listen, const std::string& discovery, const std::string& node) {
  auto file = shapes::json::parse(shapes::file(shapes::one_class()));
  file["name"] = "start-" + std::to_string(getpid());
  file["listen"] = listen;
  file["discovery"] = discovery;
  file["known"]["instances"][0]["hostPort"] = node;
  return file;
}

// An address that nobody listens on at the moment.
std::string free_address() {
  return Door().address();
}
std::uint16_t port_of(const std::string& address) {
  return static_cast<std::uint16_t>(std::stoi(address.substr(address.find(':') + 1)));
}

struct Start : Bed {
  // Waits for `seen` without a loop of our own: the program runs in a process of its own.
  bool comes(const std::function<bool()>& seen) { return until(seen); }
};

// It starts while the process before still listens, as one does for 0.6 s after SIGTERM.
TEST_F(Start, WaitsForTheAddressOfAProcessThatEnds) {
  auto before = std::make_unique<Door>();
  const std::string listen = before->address();
  Process process(file_for(listen, free_address(), node.address()));
  ASSERT_TRUE(process.logged("is taken"));
  run(taken_first);
  before.reset();
  ASSERT_TRUE(process.logged("serves on"));
  Socket client = Socket::connect(port_of(listen));
  client.send(healthz);
  EXPECT_TRUE(comes([&] { return client.has(" 200 OK"); }));
  EXPECT_EQ(process.end(SIGTERM), 0);
}

// An address that stays another's is a reason to end, with an error.
TEST_F(Start, EndsWhereTheAddressStaysTaken) {
  Door other;
  Process process(file_for(other.address(), free_address(), node.address()));
  EXPECT_TRUE(process.logged("cannot listen on"));
}

// Killed with the client in the listen queue, accepted and silent, or waiting for its answer: no answer, not
// even a part of one.
TEST_F(Start, AClientOfAKilledProcessSeesAnEndAndNoAnswer) {
  const std::string listen = free_address();
  Process process(file_for(listen, free_address(), node.address()));
  ASSERT_TRUE(process.logged("serves on"));
  Socket asks = Socket::connect(port_of(listen)), silent = Socket::connect(port_of(listen));
  asks.send(request("asks"));
  Socket at_node = next_at_node();
  process.signal(SIGSTOP);
  Socket queued = Socket::connect(port_of(listen));
  queued.send(request("queued"));
  process.end(SIGKILL);
  for (Socket* client : {&asks, &silent, &queued}) {
    EXPECT_TRUE(comes([&] { return client->ended(); }));
    EXPECT_TRUE(client->text().empty()) << client->text();
  }
  EXPECT_TRUE(queued.was_reset());
  EXPECT_TRUE(comes([&] { return at_node.ended(); }));
  EXPECT_FALSE(at_node.has("queued"));
}

TEST_F(Start, ServesWithoutAFolderForSharedFiles) {
  const char* const folder = std::getenv("TMPDIR");
  const std::string before = folder ? folder : "";
  setenv("TMPDIR", "/nowhere/at/all", 1);
  EXPECT_NO_THROW(start());
  if (folder)
    setenv("TMPDIR", before.c_str(), 1);
  else
    unsetenv("TMPDIR");
  ASSERT_TRUE(program);
  Socket client = connect();
  client.send(healthz);
  EXPECT_TRUE(until([&] { return client.has(" 200 OK"); }));
}

// Whatever the settings state: each of them is taken, and the program serves with it.
TEST_F(Start, ServesWithOtherClassesEffectsAndLimits) {
  using Change = std::function<void(shapes::json&)>;
  const std::vector<std::pair<const char*, Change>> changes{
      {"names", [](auto& file) { file["settings"]["lanes"][0]["name"] = "Ordine, è \"urgente\"="; }},
      {"never twice", [](auto& file) { file["settings"]["lanes"][0]["idempotency"] = "non_idempotent"; }},
      {"keyed", [](auto& file) { file["settings"]["lanes"][0]["idempotency"] = "idempotency_key"; }},
      {"one attempt", [](auto& file) { file["settings"]["limits"]["max-attempts"] = 1; }},
      {"more attempts", [](auto& file) { file["settings"]["limits"]["max-attempts"] = 20; }},
      {"few descriptors", [](auto& file) { file["limits"]["sockets"] = 40; }},
      {"many descriptors", [](auto& file) { file["limits"]["sockets"] = 1000000; }},
      {"no limits", [](auto& file) { file.erase("limits"); }},
      {"a short deadline", [](auto& file) { file["settings"]["lanes"][0]["hard-limit-us"] = 1000; }},
      {"a long deadline", [](auto& file) { file["settings"]["lanes"][0]["hard-limit-us"] = 3600e6; }},
      {"no grace", [](auto& file) { file["settings"]["safety"]["drain-grace-us"] = 0; }},
      {"lists on request", [](auto& file) { file["settings"]["discovery"] = "on_request"; }},
      {"nothing allowed",
       [](auto& file) {
         for (const char* key : {"cancel", "probes", "retry-after"})
           file["settings"]["limits"][key] = false;
       }},
      {"nothing known", [](auto& file) { file.erase("known"); }},
      {"known is null", [](auto& file) { file["known"] = nullptr; }},
      {"no accounts", [](auto& file) { file["settings"].erase("accounts"); }},
      {"one kind",
       [](auto& file) {
         file["settings"]["kinds"] = {"solo"};
         file["settings"]["extra"]["kind-role"] = {"both"};
       }},
      {"no seed", [](auto& file) { file.erase("seed"); }},
      {"a new key",
       [](auto& file) {
         file["settings"]["something"] = {{"else", 1}};
       }},
  };
  for (const auto& [what, change] : changes) {
    SCOPED_TRACE(what);
    auto file = file_for("127.0.0.1:0", agent.address(), node.address());
    change(file);
    ASSERT_NO_THROW(settings = config::parse_platform(file.dump()));
    ASSERT_NO_THROW(program = std::make_unique<cli::Program>(loop, settings, config::Operator{}, reload));
    Socket client = connect();
    client.send(healthz);
    EXPECT_TRUE(until([&] { return client.has(" 200 OK"); }));
    program.reset();
  }
}

}  // namespace
}  // namespace lemonroute::crossings
