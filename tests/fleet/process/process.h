// One process of the program: started, signalled and ended by its own id, whatever becomes of the scene.
#pragma once

#include <sys/types.h>

#include <filesystem>
#include <optional>
#include <string>
#include <vector>

namespace lemonroute::rig {

class Process {
 public:
  enum class State { none, running, stopped, ended };

  // Its output goes to `log`, which is added to; `temp` is its TMPDIR.
  Process(std::filesystem::path log, std::filesystem::path temp)
      : log_(std::move(log)), temp_(std::move(temp)) {}
  ~Process() { end(); }
  Process(const Process&) = delete;
  Process& operator=(const Process&) = delete;

  void start(const std::vector<std::string>& command);  // throws if it can't be; must not run
  void signal(int number);  // SIGSTOP and SIGCONT change the state; nothing if it has ended
  void end();               // SIGKILL, and waits until it is gone
  State look();             // asks the kernel whether it has ended
  State state() const { return state_; }
  bool runs() const { return state_ == State::running; }
  int code() const { return code_; }  // once it has ended: its exit code, or minus the signal's number
  unsigned generation() const { return generation_; }  // how often it was started
  std::string tail(std::size_t lines) const;           // of its log

 private:
  std::filesystem::path log_, temp_;
  pid_t pid_ = 0;
  State state_ = State::none;
  int code_ = 0;
  unsigned generation_ = 0;
};

// In a child of the rig, in place of its main: ends with the rig, whatever ends that, and becomes the
// program.
int become(int parent, char** command);

}  // namespace lemonroute::rig
