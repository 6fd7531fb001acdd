/// \file
/// Locks on the ids of open requests, shared by the processes of one router.
#pragma once

#include <string>

#include "base/lock_file.h"
#include "core/types.h"

namespace lemonroute::ops {

/// Locks one byte of a shared file for each id; a hash of the id selects the byte. The kernel drops the locks
/// of a process that ends, however it ends. A lock needs no answer from the other process, which may be busy
/// or suspended. If the file cannot be opened, the log says so and every id can be locked.
class FileRequestIdLocks : public RequestIdLocks {
 public:
  /// Opens or creates the file at `path`, which all processes of the router share.
  explicit FileRequestIdLocks(std::string path);

  [[nodiscard]] bool lock(const std::string& id) override;
  void lock_transferred(const std::string& id) override;
  void unlock(const std::string& id) override;

  /// Returns a new descriptor, owned by the caller, that keeps a locked id locked until its last copy is
  /// closed; sent along with a stream, it bridges the time between the two processes' locks. Returns -1 if
  /// none can be made. This process's own lock stays until unlock.
  [[nodiscard]] int extend(const std::string& id);

 private:
  const std::string path_;
  LockFile file_;
};

}  // namespace lemonroute::ops
