// The nodes that are out by hand, kept in a file that the processes of one router share.
#pragma once

#include <sys/stat.h>

#include <map>
#include <optional>
#include <set>
#include <string>

#include "base/lock_file.h"
#include "core/types.h"

namespace lemonroute {

class Bans {
 public:
  // Takes what the file holds. Without a file, bans last as long as the process.
  void keep_in(std::string path, LockFile& lock);

  bool out(const std::string& name) const { return out_.count(name) > 0; }
  // When it was put back; nothing if that is long ago.
  std::optional<Micros> back(const std::string& name) const;

  bool change(const std::string& name, bool out,
              Micros now);  // false: it can't be stored, and nothing changes
  bool refresh();           // whether another process has changed something

  static constexpr int lock_byte = 0;

 private:
  enum class Read { taken, absent, torn };
  Read read();
  bool write() const;
  bool moved();

  std::string path_;
  LockFile* lock_ = nullptr;
  std::set<std::string> out_;
  std::map<std::string, Micros> back_;
  struct stat seen_ {};
};

}  // namespace lemonroute
