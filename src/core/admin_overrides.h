/// \file
/// The nodes that operators have drained, stored in a file that all processes of one router share. Used on
/// the serving thread only. Times are on the core's clock.
#pragma once

#include <sys/stat.h>

#include <map>
#include <optional>
#include <set>
#include <string>

#include "base/lock_file.h"
#include "core/types.h"

namespace lemonroute {

/// The operators' overrides of one router, by node name. Without a file they last until the process ends. No
/// function throws; a file that cannot be read, written or locked is logged as an error.
class AdminOverrides {
 public:
  /// Reads the overrides from the file at `path` and stores every later change there. A file that is absent
  /// or corrupt changes no override. `lock` must outlive this object.
  void load_from(std::string path, LockFile& lock);

  /// Returns whether an operator has drained the node.
  bool is_drained(const std::string& name) const { return drained_.count(name) > 0; }
  /// Returns when an operator last undrained the node, or nothing if that never happened or was more than 10
  /// minutes before the latest change of an override.
  std::optional<Micros> undrained_at(const std::string& name) const;

  /// Drains or undrains the node and stores the change. Returns false and changes nothing if the file cannot
  /// be locked or written, or if too many nodes are drained. Blocks for up to about 20 ms to obtain the lock.
  bool set_override(const std::string& name, bool drained, Micros now);
  /// Reads the file again if it has changed since this process last checked it. Returns whether the overrides
  /// were loaded; a file that is absent or corrupt changes no override.
  bool reload();

  /// Offset of the byte in the lock file that a process locks while it changes the overrides file.
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
  struct stat last_seen_ {};  // status of the file at the last check; all zeros: the file was absent
};

}  // namespace lemonroute
