#include "core/bans.h"

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

void Bans::keep_in(std::string path, LockFile& lock) {
  path_ = std::move(path);
  lock_ = &lock;
  moved();
  read();
}

std::optional<Micros> Bans::back(const std::string& name) const {
  const auto found = back_.find(name);
  return found == back_.end() ? std::nullopt : std::optional(found->second);
}

bool Bans::change(const std::string& name, bool out, Micros now) {
  const auto apply = [&] {
    if (out && out_.size() >= most_bans && !out_.count(name))
      return false;
    if (out)
      out_.insert(name);
    else if (out_.erase(name))
      back_[name] = now;
    std::erase_if(back_, [&](const auto& one) { return now - one.second > back_counts; });
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
  if (moved())
    read();
  const auto out_before = out_;
  const auto back_before = back_;
  const bool stored = apply() && write();
  if (!stored) {
    out_ = out_before;
    back_ = back_before;
  }
  moved();
  lock_->drop(lock_byte);
  return stored;
}

bool Bans::refresh() {
  if (!lock_ || !moved())
    return false;
  return read() == Read::taken;
}

// Whether the file is another one than at the last look.
bool Bans::moved() {
  struct stat now {};
  if (stat(path_.c_str(), &now) != 0)
    now = {};
  const bool same = now.st_ino == seen_.st_ino && now.st_size == seen_.st_size &&
                    now.st_mtim.tv_sec == seen_.st_mtim.tv_sec &&
                    now.st_mtim.tv_nsec == seen_.st_mtim.tv_nsec;
  seen_ = now;
  return !same;
}

// Guards against a file that is torn or somebody else's: it is said and left alone, and the bans that are
// known stay in force.
Bans::Read Bans::read() {
  std::ifstream file(path_);
  if (!file)
    return Read::absent;
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
    out_ = std::move(out);
    back_ = std::move(back);
    return Read::taken;
  } catch (const json::exception& error) {
    logging::error() << path_ << ": it can't be read, the bans stay as they were: " << error.what();
    return Read::torn;
  }
}

bool Bans::write() const {
  auto back = json::object();
  for (const auto& [name, at] : back_)
    back[name] = at.count();
  const json all{{"out", out_}, {"back", std::move(back)}};
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
