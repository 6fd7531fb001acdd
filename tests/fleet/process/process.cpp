#include "process/process.h"

#include <fcntl.h>
#include <spawn.h>
#include <sys/prctl.h>
#include <sys/wait.h>
#include <unistd.h>

#include <csignal>
#include <cstring>
#include <deque>
#include <fstream>
#include <system_error>

extern char** environ;

namespace lemonroute::rig {
namespace {

// The rig's own, without what would make the program serve somebody else's installation.
std::vector<std::string> environment(const std::filesystem::path& temp) {
  std::vector<std::string> all{"TMPDIR=" + temp.string()};
  for (char** at = environ; *at; ++at)
    if (std::strncmp(*at, "BALANCER_", 9) != 0 && std::strncmp(*at, "TMPDIR=", 7) != 0)
      all.emplace_back(*at);
  return all;
}

std::vector<char*> pointers(std::vector<std::string>& texts) {
  std::vector<char*> all;
  for (auto& text : texts)
    all.push_back(text.data());
  all.push_back(nullptr);
  return all;
}

struct Actions {
  posix_spawn_file_actions_t it;
  Actions() { posix_spawn_file_actions_init(&it); }
  ~Actions() { posix_spawn_file_actions_destroy(&it); }
};

}  // namespace

int become(int parent, char** command) {
  // Guards against processes that outlive a rig which was killed. It may have died before this was asked for.
  prctl(PR_SET_PDEATHSIG, SIGKILL);
  if (getppid() != parent)
    return 1;
  execv(command[0], command);
  return 127;
}

void Process::start(const std::vector<std::string>& command) {
  std::vector<std::string> words{"/proc/self/exe", "--become", std::to_string(getpid())};
  words.insert(words.end(), command.begin(), command.end());
  auto settings = environment(temp_);
  Actions actions;
  posix_spawn_file_actions_addopen(&actions.it, STDIN_FILENO, "/dev/null", O_RDONLY, 0);
  posix_spawn_file_actions_addopen(&actions.it, STDOUT_FILENO, log_.c_str(), O_WRONLY | O_CREAT | O_APPEND,
                                   0600);
  posix_spawn_file_actions_adddup2(&actions.it, STDOUT_FILENO, STDERR_FILENO);
  const int error = posix_spawn(&pid_, "/proc/self/exe", &actions.it, nullptr, pointers(words).data(),
                                pointers(settings).data());
  if (error != 0)
    throw std::system_error(error, std::generic_category(), "a process could not be started");
  state_ = State::running;
  ++generation_;
}

void Process::signal(int number) {
  if (state_ != State::running && state_ != State::stopped)
    return;
  ::kill(pid_, number);  // not waited for yet, so the id is still this process's
  if (number == SIGSTOP)
    state_ = State::stopped;
  if (number == SIGCONT)
    state_ = State::running;
}

Process::State Process::look() {
  if (state_ != State::running && state_ != State::stopped)
    return state_;
  int status = 0;
  if (waitpid(pid_, &status, WNOHANG) == pid_) {
    state_ = State::ended;
    code_ = WIFEXITED(status) ? WEXITSTATUS(status) : -WTERMSIG(status);
  }
  return state_;
}

void Process::end() {
  if (look() != State::running && state_ != State::stopped)
    return;
  ::kill(pid_, SIGKILL);
  int status = 0;
  while (waitpid(pid_, &status, 0) < 0 && errno == EINTR) {
  }
  state_ = State::ended;
  code_ = WIFEXITED(status) ? WEXITSTATUS(status) : -WTERMSIG(status);
}

std::string Process::tail(std::size_t lines) const {
  std::ifstream file(log_);
  std::deque<std::string> last;
  for (std::string line; std::getline(file, line);) {
    last.push_back(line);
    if (last.size() > lines)
      last.pop_front();
  }
  std::string text;
  for (const auto& line : last)
    text += "    " + line + "\n";
  return text;
}

}  // namespace lemonroute::rig
