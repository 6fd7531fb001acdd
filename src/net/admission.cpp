#include "net/admission.h"

#include <algorithm>
#include <sstream>
#include <utility>

namespace lemonroute::net {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

// A client between requests may be about to ask again; the platform lets its connection go after this time.
constexpr Micros rest_at_least = seconds(2);
// Whoever connects in order to ask has asked by then.
constexpr Micros prove_within = milliseconds(500);
constexpr Micros look_again = milliseconds(50);
constexpr std::size_t let_go_at_once = 4;

}  // namespace

Admission::Admission(Loop& loop, std::size_t most, std::function<void(bool)> pause, Now now)
    : most_(most), tally_(loop.tally()), pause_(std::move(pause)), now_(std::move(now)), again_(loop, [this] {
        make_room();
      }) {}

void Admission::limit(std::size_t most) {
  most_ = most;
  if (taken() >= most_)
    return make_room();
  go_on();
}

void Admission::arrived(Peer& peer) {
  ++present_;
  move(peer, &unproven_);
  make_room();
}
void Admission::busy(Peer& peer) {
  move(peer, nullptr);
}
void Admission::at_rest(Peer& peer) {
  move(peer, &resting_);
}

void Admission::left(Peer& peer) {
  move(peer, nullptr);
  --present_;
  go_on();
}

void Admission::leaving(Peer& peer) {
  move(peer, &leaving_);
  // Guards the descriptors: peers that never go, of connections that end by the hundred.
  while (leaving_.size() > std::max<std::size_t>(1, most_ / 8)) {
    const Peer* const first = leaving_.front();
    leaving_.front()->dismiss();
    if (!leaving_.empty() && leaving_.front() == first)
      break;
  }
  go_on();
}

void Admission::let_go() {
  for (std::size_t n = 0; n < let_go_at_once; ++n) {
    auto& from = !leaving_.empty() ? leaving_ : resting_;
    if (from.empty())
      return;
    Peer& first = *from.front();
    first.dismiss();
    if (!leaving_.empty() && leaving_.back() == &first)
      first.dismiss();  // its descriptor is wanted now
  }
}

void Admission::go_on() {
  if (taken() >= most_)
    return;
  again_.stop();
  if (std::exchange(paused_, false))
    pause_(false);
}

void Admission::move(Peer& peer, std::list<Peer*>* to) {
  if (peer.in_)
    peer.in_->erase(peer.at_);
  peer.in_ = to;
  if (!to)
    return;
  peer.at_ = to->insert(to->end(), &peer);
  peer.since_ = now_();
}

// One place is kept free for whoever comes next. Resting peers are asked to leave first, since they lose the
// least by it. With nobody to dismiss, newcomers wait in the kernel's queue.
void Admission::make_room() {
  while (taken() >= most_)
    if (!dismiss_first(resting_, rest_at_least) && !dismiss_first(unproven_, prove_within))
      break;
  if (taken() < most_)
    return;
  if (!std::exchange(paused_, true)) {
    std::ostringstream how;
    how << "all " << most_ << " are taken, " << resting_.size() << " by connections at rest, "
        << unproven_.size() << " by such that have not asked";
    tally_.note(Overdone::crowded, how.str());
    pause_(true);
  }
  again_.start(look_again);
}

bool Admission::dismiss_first(std::list<Peer*>& of, Micros after) {
  if (of.empty() || now_() - of.front()->since_ < after)
    return false;
  of.front()->dismiss();
  return true;
}

}  // namespace lemonroute::net
