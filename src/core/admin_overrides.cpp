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

constexpr std::size_t most_bans = 4096;
constexpr std::size_t most_bytes = 1024 * 1024;
// A node that was put back is warm by then, and what discovery lists of its start holds.
constexpr Micros back_counts = std::chrono::minutes(10);
// The other process holds the lock for as long as it takes to write a small file.
constexpr int lock_tries = 20;
constexpr milliseconds lock_wait{1};

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

bool AdminOverrides::set_override(const std::string& name, bool out, Micros now) {
  const auto apply = [&] {
    if (out && drained_.size() >= most_bans && !drained_.count(name))
      return false;
    if (out)
      drained_.insert(name);
    else if (drained_.erase(name))
      undrained_at_[name] = now;
    std::erase_if(undrained_at_, [&](const auto& one) { return now - one.second > back_counts; });
    return true;
  };
  if (!lock_)
    return apply();
  bool locked = false;
  for (int i = 0; i < lock_tries && !(locked = lock_->take(lock_byte)); ++i)
    std::this_thread::sleep_for(lock_wait);
  if (!locked) {
    logging::error() << path_ << ": the lock can't be had";
    return false;
  }
  // Guards what the other process has written since the last look: it is built on, not overwritten.
  if (file_changed())
    read();
  const auto out_before = drained_;
  const auto back_before = undrained_at_;
  const bool stored = apply() && write();
  if (!stored) {
    drained_ = out_before;
    undrained_at_ = back_before;
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

// Whether the file is another one than at the last look.
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

// Guards against a file that is torn or somebody else's: it is said and left alone, and the bans that are
// known stay in force.
AdminOverrides::ReadResult AdminOverrides::read() {
  std::ifstream file(path_);
  if (!file)
    return ReadResult::absent;
  std::string text(most_bytes, '\0');
  file.read(text.data(), static_cast<std::streamsize>(text.size()));
  text.resize(static_cast<std::size_t>(file.gcount()));
  try {
    const json all = json::parse(text);
    std::set<std::string> out;
    std::map<std::string, Micros> back;
    for (const auto& name : all.at("out"))
      out.insert(name.get<std::string>());
    for (const auto& [name, at] : all.at("back").items())
      back[name] = Micros(at.get<Micros::rep>());
    drained_ = std::move(out);
    undrained_at_ = std::move(back);
    return ReadResult::loaded;
  } catch (const json::exception& error) {
    logging::error() << path_ << ": it can't be read, the bans stay as they were: " << error.what();
    return ReadResult::corrupt;
  }
}

bool AdminOverrides::write() const {
  auto back = json::object();
  for (const auto& [name, at] : undrained_at_)
    back[name] = at.count();
  const json all{{"out", drained_}, {"back", std::move(back)}};
  const std::string text = all.dump(-1, ' ', false, json::error_handler_t::replace) + "\n";
  const std::string made = path_ + ".new";
  std::remove(made.c_str());
  const int fd = open(made.c_str(), O_WRONLY | O_CREAT | O_EXCL | O_CLOEXEC | O_NOFOLLOW, 0600);
  const bool whole = fd >= 0 && ::write(fd, text.data(), text.size()) == static_cast<ssize_t>(text.size());
  if (fd >= 0)
    close(fd);
  if (whole && std::rename(made.c_str(), path_.c_str()) == 0)
    return true;
  logging::error() << path_ << ": it can't be written";
  return false;
}

}  // namespace lemonroute
