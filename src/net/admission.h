// Who may stay connected when places are short. A front has a fixed number of them; without this, peers that
// connect and say nothing, or ask once and stay, would keep everybody else out.
#pragma once

#include <cstddef>
#include <functional>
#include <list>

#include "net/loop.h"

namespace lemonroute::net {

class Admission {
 public:
  class Peer {
   public:
    virtual ~Peer() = default;
    // Its place is needed. It leaves at once, or says that it is leaving; asked for the second time it
    // leaves.
    virtual void dismiss() = 0;

   private:
    friend class Admission;
    std::list<Peer*>* in_ = nullptr;  // none while it is busy
    std::list<Peer*>::iterator at_{};
    std::chrono::steady_clock::time_point since_{};
  };

  using Now = std::function<std::chrono::steady_clock::time_point()>;
  // `pause` stops and restarts the taking of connections.
  Admission(Loop& loop, std::size_t most, std::function<void(bool)> pause,
            Now now = std::chrono::steady_clock::now);

  void limit(std::size_t most);  // from now on; those who are there stay until they may be dismissed
  void arrived(Peer& peer);      // and has not asked for anything yet
  void busy(Peer& peer);         // a request of it is open: it is not dismissed
  void at_rest(Peer& peer);      // between requests
  // Its last answer is out and it only waits for its peer to go: it takes no place any more, but of these
  // there may be an eighth of the places; beyond that the one that has been leaving longest goes.
  void leaving(Peer& peer);
  void left(Peer& peer);
  // Descriptors run short, places or not: a few leave at once, those that leave already first, then the ones
  // longest at rest. Nobody with a request open does.
  void let_go();
  bool crowded() const { return taken() > most_ / 2; }  // answers had better end their connections
  std::size_t free() const { return taken() < most_ ? most_ - taken() : 0; }

 private:
  void move(Peer& peer, std::list<Peer*>* to);
  void make_room();
  bool dismiss_first(std::list<Peer*>& of, Micros after);
  void go_on();
  std::size_t taken() const { return present_ - leaving_.size(); }

  std::size_t most_, present_ = 0;
  Tally& tally_;
  std::function<void(bool)> pause_;
  const Now now_;
  bool paused_ = false;
  std::list<Peer*> unproven_, resting_, leaving_;  // each with the longest there in front
  Timer again_;
};

}  // namespace lemonroute::net
