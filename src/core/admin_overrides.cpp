#include "core/admin_overrides.h"

#include <fcntl.h>
#include <unistd.h>

#include <cstdio>
#include <fstream>
#include <nlohmann/json.hpp>
#include <thread>

#include "base/log.h"

namespace lemonroute {
namespace {

using nlohmann::json;
using std::chrono::milliseconds;

constexpr std::size_t max_drained_nodes = 4096;
constexpr std::size_t max_file_bytes = 1024 * 1024;
// How long the time of an undrain is kept. After that the node's cache is warm, and the endpoint list has the
// correct start time of its process.
constexpr Micros undrain_retention = std::chrono::minutes(10);
// Another process holds the lock only while it writes a small file.
constexpr int max_lock_tries = 20;
constexpr milliseconds lock_retry_pause{1};

}  // namespace

void AdminOverrides::load_from(std::string path, LockFile& lock) {
  path_ = std::move(path);
  lock_ = &lock;
  file_changed();
  read();
}

std::optional<Micros> AdminOverrides::undrained_at(const std::string& name) const {
  const auto found = undrained_at_.find(name);
  return found == undrained_at_.end() ? std::nullopt : std::optional(found->second);
}

bool AdminOverrides::set_override(const std::string& name, bool drained, Micros now) {
  const auto apply = [&] {
    if (drained && drained_.size() >= max_drained_nodes && !drained_.count(name))
      return false;
    if (drained)
      drained_.insert(name);
    else if (drained_.erase(name))
      undrained_at_[name] = now;
    std::erase_if(undrained_at_, [&](const auto& entry) { return now - entry.second > undrain_retention; });
    return true;
  };
  if (!lock_)
    return apply();
  bool locked = false;
  for (int i = 0; i < max_lock_tries && !(locked = lock_->take(lock_byte)); ++i)
    std::this_thread::sleep_for(lock_retry_pause);
  if (!locked) {
    logging::error() << "overrides file not locked: path=" << path_;
    return false;
  }
  // Another process may have written the file since this process last read it; its overrides must be kept.
  if (file_changed())
    read();
  const auto drained_before = drained_;
  const auto undrained_before = undrained_at_;
  const bool stored = apply() && write();
  if (!stored) {
    drained_ = drained_before;
    undrained_at_ = undrained_before;
  }
  file_changed();
  lock_->drop(lock_byte);
  return stored;
}

bool AdminOverrides::reload() {
  if (!lock_ || !file_changed())
    return false;
  return read() == ReadResult::loaded;
}

// Returns whether the file has changed since the previous call, and records its present status.
bool AdminOverrides::file_changed() {
  struct stat now {};
  if (stat(path_.c_str(), &now) != 0)
    now = {};
  const bool same = now.st_ino == last_seen_.st_ino && now.st_size == last_seen_.st_size &&
                    now.st_mtim.tv_sec == last_seen_.st_mtim.tv_sec &&
                    now.st_mtim.tv_nsec == last_seen_.st_mtim.tv_nsec;
  last_seen_ = now;
  return !same;
}

// A file that is truncated or was not written by a router is logged and left unchanged. The current overrides
// stay in force.
AdminOverrides::ReadResult AdminOverrides::read() {
  std::ifstream file(path_);
  if (!file)
    return ReadResult::absent;
  std::string text(max_file_bytes, '\0');
  file.read(text.data(), static_cast<std::streamsize>(text.size()));
  text.resize(static_cast<std::size_t>(file.gcount()));
  try {
    const json all = json::parse(text);
    std::set<std::string> drained;
    std::map<std::string, Micros> undrained_at;
    for (const auto& name : all.at("out"))
      drained.insert(name.get<std::string>());
    for (const auto& [name, at] : all.at("back").items())
      undrained_at[name] = Micros(at.get<Micros::rep>());
    drained_ = std::move(drained);
    undrained_at_ = std::move(undrained_at);
    return ReadResult::loaded;
  } catch (const json::exception& error) {
    logging::error() << "overrides file unreadable, current overrides kept: path=" << path_ << " error=\""
                     << error.what() << '"';
    return ReadResult::corrupt;
  }
}

// Writes a new file and renames it, so that no process reads a partly written one. The new file is not synced
// to disk, so it may be empty after a power failure.
bool AdminOverrides::write() const {
  auto undrained_at = json::object();
  for (const auto& [name, at] : undrained_at_)
    undrained_at[name] = at.count();
  const json all{{"out", drained_}, {"back", std::move(undrained_at)}};
  const std::string text = all.dump(-1, ' ', false, json::error_handler_t::replace) + "\n";
  const std::string new_path = path_ + ".new";
  std::remove(new_path.c_str());
  const int fd = open(new_path.c_str(), O_WRONLY | O_CREAT | O_EXCL | O_CLOEXEC | O_NOFOLLOW, 0600);
  const bool complete = fd >= 0 && ::write(fd, text.data(), text.size()) == static_cast<ssize_t>(text.size());
  if (fd >= 0)
    close(fd);
  if (complete && std::rename(new_path.c_str(), path_.c_str()) == 0)
    return true;
  logging::error() << "overrides file not written: path=" << path_;
  return false;
}

}  // namespace lemonroute
