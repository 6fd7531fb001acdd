#include "net/reserve.h"

#include <fcntl.h>
#include <unistd.h>

#include <cerrno>

#include "net/loop.h"

namespace lemonroute::net {
namespace {

constexpr std::chrono::milliseconds take_back_every{50};

}  // namespace

Reserve::Reserve(Loop& loop)
    : again_(std::make_unique<Timer>(loop, [this] {
        if (!whole())
          run_short();
      })) {}
Reserve::~Reserve() {
  for (const int fd : kept_)
    close(fd);
}

void Reserve::keep(std::size_t descriptors) {
  wanted_ = descriptors;
  while (kept_.size() > wanted_) {
    close(kept_.back());
    kept_.pop_back();
  }
  whole();
}

bool Reserve::lend(Purpose purpose) {
  if (kept_.size() <= (purpose == Purpose::discovery ? 0 : for_discovery))
    return false;
  close(kept_.back());
  kept_.pop_back();
  again_->start(take_back_every);
  return true;
}

bool Reserve::whole() {
  while (kept_.size() < wanted_) {
    const int fd = open("/dev/null", O_RDONLY | O_CLOEXEC);
    if (fd < 0) {
      if (errno != EMFILE && errno != ENFILE)
        wanted_ = kept_.size();  // there is no such file here
      else
        again_->start(take_back_every);
      return kept_.size() >= wanted_;
    }
    kept_.push_back(fd);
  }
  return true;
}

void Reserve::run_short() {
  again_->start(take_back_every);
  const auto asked = asked_;  // one that lets go may come or go meanwhile
  for (const auto& one : asked)
    if (const auto let_go = one.lock())
      (*let_go)();
  asked_.remove_if([](const auto& one) { return one.expired(); });
}

Reserve::Handle Reserve::on_short(std::function<void()> let_go) {
  auto handle = std::make_shared<const std::function<void()>>(std::move(let_go));
  asked_.push_back(handle);
  return handle;
}

}  // namespace lemonroute::net
