#include "base/lock_file.h"

#include <fcntl.h>
#include <unistd.h>

#include <cerrno>
#include <cstring>

#include "base/log.h"

namespace lemonroute {
namespace {

// Locks of the open file and not of the process, which would lose them with any other descriptor it closes.
struct flock lock_on(int byte, short type) {
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

bool LockFile::set(int byte, short type) {
  struct flock lock = lock_on(byte, type);
  return fd_ >= 0 && fcntl(fd_, F_OFD_SETLK, &lock) == 0;
}
bool LockFile::take(int byte) {
  return set(byte, F_WRLCK);
}
bool LockFile::share(int byte) {
  return set(byte, F_RDLCK);
}
void LockFile::drop(int byte) {
  set(byte, F_UNLCK);
}

bool LockFile::others(int byte) const {
  struct flock lock = lock_on(byte, F_WRLCK);
  return fd_ >= 0 && fcntl(fd_, F_OFD_GETLK, &lock) == 0 && lock.l_type != F_UNLCK;
}

}  // namespace lemonroute
