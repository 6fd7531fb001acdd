#include "ops/request_id_locks.h"

#include <utility>

namespace lemonroute::ops {
namespace {

// Offsets in a file are signed, and the end of the locked range must be one too.
LockFile::Offset offset_of(const std::string& id) {
  return static_cast<LockFile::Offset>(hash_text(id) >> 2);
}

}  // namespace

FileRequestIdLocks::FileRequestIdLocks(std::string path) : path_(std::move(path)), file_(path_) {}

// A lock that cannot be had although nobody holds it is no reason not to serve.
bool FileRequestIdLocks::lock(const std::string& id) {
  const LockFile::Offset offset = offset_of(id);
  return file_.take(offset) || !file_.others(offset);
}

void FileRequestIdLocks::lock_transferred(const std::string& id) {
  file_.share(offset_of(id));
}

void FileRequestIdLocks::unlock(const std::string& id) {
  file_.drop(offset_of(id));
}

// An exclusive lock becomes a shared one here. It excludes new locks as well, which are exclusive.
int FileRequestIdLocks::extend(const std::string& id) {
  const LockFile::Offset offset = offset_of(id);
  file_.share(offset);
  LockFile extension(path_);
  return extension.share(offset) ? extension.release_descriptor() : -1;
}

}  // namespace lemonroute::ops
