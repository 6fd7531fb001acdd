// Locks on single bytes of a file, between processes. The kernel lets go of them when a process ends,
// however.
#pragma once

#include <string>

namespace lemonroute {

class LockFile {
 public:
  // Never throws: without the file nobody else is seen, and nothing can be taken.
  explicit LockFile(const std::string& path);
  ~LockFile();
  LockFile(const LockFile&) = delete;
  LockFile& operator=(const LockFile&) = delete;

  bool usable() const { return fd_ >= 0; }
  bool take(int byte);   // alone; does not wait
  bool share(int byte);  // with others that share it
  void drop(int byte);
  bool others(int byte) const;  // whether somebody else holds it, either way

 private:
  bool set(int byte, short type);
  int fd_;
};

}  // namespace lemonroute
