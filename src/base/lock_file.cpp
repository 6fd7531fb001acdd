#include "base/lock_file.h"

#include <fcntl.h>
#include <unistd.h>

#include <cerrno>
#include <cstring>
#include <utility>

#include "base/log.h"

namespace lemonroute {
namespace {

// Locks of the open file and not of the process, which would lose them with any other descriptor it closes.
struct flock lock_on(LockFile::Offset byte, short type) {
  struct flock lock {};
  lock.l_type = type;
  lock.l_whence = SEEK_SET;
  lock.l_start = byte;
  lock.l_len = 1;
  return lock;
}

}  // namespace

LockFile::LockFile(const std::string& path)
    : fd_(open(path.c_str(), O_RDWR | O_CREAT | O_CLOEXEC | O_NOFOLLOW, 0600)) {
  if (fd_ < 0)
    logging::warn() << path << ": " << std::strerror(errno);
}
LockFile::~LockFile() {
  if (fd_ >= 0)
    close(fd_);
}

bool LockFile::set(Offset byte, short type) {
  struct flock lock = lock_on(byte, type);
  return fd_ >= 0 && fcntl(fd_, F_OFD_SETLK, &lock) == 0;
}
bool LockFile::take(Offset byte) {
  return set(byte, F_WRLCK);
}
bool LockFile::share(Offset byte) {
  return set(byte, F_RDLCK);
}
void LockFile::drop(Offset byte) {
  set(byte, F_UNLCK);
}

int LockFile::release_descriptor() {
  return std::exchange(fd_, -1);
}

bool LockFile::others(Offset byte) const {
  struct flock lock = lock_on(byte, F_WRLCK);
  return fd_ >= 0 && fcntl(fd_, F_OFD_GETLK, &lock) == 0 && lock.l_type != F_UNLCK;
}

}  // namespace lemonroute
