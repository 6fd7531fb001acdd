#include "peers/seal/key.h"

#include <fcntl.h>
#include <sodium.h>
#include <sys/stat.h>
#include <unistd.h>

#include <cerrno>
#include <cstring>

namespace lemonroute::peers::seal {
namespace {

constexpr std::size_t digits = 2 * Key::size;

// Closes its descriptor.
struct File {
  explicit File(int descriptor) : fd(descriptor) {}
  ~File() {
    if (fd >= 0)
      close(fd);
  }
  File(const File&) = delete;
  File& operator=(const File&) = delete;
  const int fd;
};

}  // namespace

Key make_key(const std::array<unsigned char, Key::size>& bytes) {
  Key key{bytes, 0};
  unsigned char hash[crypto_generichash_BYTES_MIN];
  crypto_generichash(hash, sizeof hash, bytes.data(), bytes.size(), nullptr, 0);
  std::memcpy(&key.id, hash, sizeof key.id);
  return key;
}

std::variant<Key, std::string> parse_key(std::string_view text) {
  while (!text.empty() && std::strchr(" \t\r\n", text.back()))
    text.remove_suffix(1);
  std::array<unsigned char, Key::size> bytes{};
  std::size_t length = 0;
  const char* end = nullptr;
  const bool hex =
      sodium_hex2bin(bytes.data(), bytes.size(), text.data(), text.size(), nullptr, &length, &end) == 0;
  if (text.size() != digits || !hex || length != bytes.size() || end != text.data() + text.size())
    return "must hold " + std::to_string(digits) + " hexadecimal digits and nothing else";
  return make_key(bytes);
}

std::variant<Key, std::string> read_key(const std::string& path) {
  // O_NONBLOCK: opening a pipe must not block.
  const File file(open(path.c_str(), O_RDONLY | O_CLOEXEC | O_NONBLOCK));
  struct stat status {};
  if (file.fd < 0 || fstat(file.fd, &status) != 0)
    return "can't be read: " + std::string(std::strerror(errno));
  if (!S_ISREG(status.st_mode))
    return "is not a regular file";
  if (status.st_mode & 077)
    return "may be read or written by others than its owner; chmod 600 mends that";
  char text[4 * digits];
  const auto length = read(file.fd, text, sizeof text);
  if (length < 0)
    return "can't be read: " + std::string(std::strerror(errno));
  return parse_key({text, static_cast<std::size_t>(length)});
}

std::string write_new_key(const std::string& path) {
  if (sodium_init() < 0)
    return "libsodium could not be initialized";
  const File file(open(path.c_str(), O_WRONLY | O_CREAT | O_EXCL | O_CLOEXEC, 0600));
  if (file.fd < 0)
    return errno == EEXIST ? "already exists" : "can't be written: " + std::string(std::strerror(errno));
  unsigned char bytes[Key::size];
  randombytes_buf(bytes, sizeof bytes);
  char text[digits + 1];
  sodium_bin2hex(text, sizeof text, bytes, sizeof bytes);
  text[digits] = '\n';
  if (write(file.fd, text, sizeof text) == sizeof text && fsync(file.fd) == 0)
    return "";
  std::string reason = "can't be written: " + std::string(std::strerror(errno));
  unlink(path.c_str());
  return reason;
}

}  // namespace lemonroute::peers::seal
