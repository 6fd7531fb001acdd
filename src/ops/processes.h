// Which processes of one router there are: one, or two while a new version takes over.
#pragma once

#include <algorithm>
#include <cctype>
#include <filesystem>
#include <string>
#include <system_error>

#include "base/lock_file.h"

namespace lemonroute::ops {

// The folder for the files that processes of one router share: TMPDIR's, or /tmp where that is no folder,
// which is no reason not to serve.
inline std::filesystem::path shared_folder() {
  std::error_code none;
  const auto folder = std::filesystem::temp_directory_path(none);
  return none ? std::filesystem::path("/tmp") : folder;
}

class Processes {
 public:
  // They find each other by the router's name and its clients' address, in the folder that they share.
  Processes(const std::filesystem::path& folder, const std::string& name, const std::string& listen)
      : stem_(folder / ("lemonroute-" + plain(name + "-" + listen))), lock_(stem_.string() + ".lock") {
    lock_.share(runs);
  }
  void serves(bool on) { on ? void(lock_.share(takes_clients)) : lock_.drop(takes_clients); }
  bool another_runs() const { return lock_.others(runs); }
  bool another_serves() const { return lock_.others(takes_clients); }

  std::string file(const char* ending) const { return stem_.string() + ending; }
  LockFile& lock() { return lock_; }

 private:
  static constexpr int runs = 1, takes_clients = 2;  // byte 0 is the bans'
  static std::string plain(std::string name) {
    std::replace_if(
        name.begin(), name.end(), [](unsigned char c) { return !std::isalnum(c) && c != '-'; }, '_');
    return name;
  }
  std::filesystem::path stem_;
  LockFile lock_;
};

}  // namespace lemonroute::ops
