/// \file
/// The nodes that operators have drained, kept in a file that all processes of one router share. Used on the
/// serving thread only. Times are on the core's clock.
#pragma once

#include <sys/stat.h>

#include <map>
#include <optional>
#include <set>
#include <string>

#include "base/lock_file.h"
#include "core/types.h"

namespace lemonroute {

/// The overrides of one router, by node name. Without a file they last as long as the process. Nothing here
/// throws: a file that cannot be read, written or locked is reported in the log.
class AdminOverrides {
 public:
  /// Reads the overrides from the file and stores them there from now on. A file that is absent or corrupt
  /// changes no override. `lock` outlives this object.
  void load_from(std::string path, LockFile& lock);

  /// Returns whether an operator has drained the node.
  bool is_drained(const std::string& name) const { return drained_.count(name) > 0; }
  /// Returns when an operator last undrained the node; nothing if that never happened or is long ago.
  std::optional<Micros> undrained_at(const std::string& name) const;

  /// Drains or undrains the node and stores that. Returns false, with nothing changed, if the file cannot be
  /// locked or written, or if too many nodes are drained. Waits up to about 20 ms for the lock.
  bool set_override(const std::string& name, bool drained, Micros now);
  /// Reads the file again if it has changed since this process last looked at it. Returns whether it has been
  /// read; a file that is absent or corrupt changes no override.
  bool reload();

  /// The byte of the lock file that a process holds while it changes the file of overrides.
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
  struct stat last_seen_ {};  // the file when this process last looked at it; zeros: absent
};

}  // namespace lemonroute
