// Locks on single bytes of a file, between processes. The kernel lets go of them when a process ends,
// however.
#pragma once

#include <cstdint>
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
  using Offset = std::int64_t;  // of a byte, which need not exist
  bool take(Offset byte);       // alone; does not wait
  bool share(Offset byte);      // with others that share it
  void drop(Offset byte);
  bool others(Offset byte) const;  // whether somebody else holds it, either way
  // The descriptor is the caller's from then on, and the locks last until its last copy is closed.
  int release_descriptor();

 private:
  bool set(Offset byte, short type);
  int fd_;
};

}  // namespace lemonroute
