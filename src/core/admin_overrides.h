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

class AdminOverrides {
 public:
  // Takes what the file holds. Without a file, bans last as long as the process.
  void load_from(std::string path, LockFile& lock);

  bool is_drained(const std::string& name) const { return drained_.count(name) > 0; }
  // When it was put back; nothing if that is long ago.
  std::optional<Micros> undrained_at(const std::string& name) const;

  bool set_override(const std::string& name, bool out,
                    Micros now);  // false: it can't be stored, and nothing changes
  bool reload();                  // whether another process has changed something

  static constexpr int lock_byte = 0;

 private:
  enum class ReadResult { loaded, absent, corrupt };
  ReadResult read();
  bool write() const;
  bool file_changed();

  std::string path_;
  LockFile* lock_ = nullptr;
  std::set<std::string> drained_;
  std::map<std::string, Micros> undrained_at_;
  struct stat last_seen_ {};
};

}  // namespace lemonroute
