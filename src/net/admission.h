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
  class Guest {
   public:
    virtual ~Guest() = default;
    virtual void dismiss() = 0;  // its place is needed; it leaves at once

   private:
    friend class Admission;
    std::list<Guest*>* in = nullptr;  // nowhere while it is busy
    std::list<Guest*>::iterator at{};
    std::chrono::steady_clock::time_point since{};
  };

  // `pause` stops and restarts the taking of connections.
  Admission(Loop& loop, std::size_t most, std::function<void(bool)> pause);

  void limit(std::size_t most);  // from now on; those who are there stay until they may be dismissed
  void arrived(Guest& guest);  // and has not asked for anything yet
  void busy(Guest& guest);     // a request of it is open: it is not dismissed
  void at_rest(Guest& guest);  // between requests
  void left(Guest& guest);
  bool crowded() const { return present_ > most_ / 2; }  // answers had better end their connections

 private:
  void move(Guest& guest, std::list<Guest*>* to);
  void make_room();
  bool dismiss_first(std::list<Guest*>& of, Micros after);

  std::size_t most_, present_ = 0;
  std::function<void(bool)> pause_;
  bool paused_ = false;
  std::list<Guest*> unproven_, resting_;  // each with the longest there in front
  Timer again_;
};

}  // namespace lemonroute::net
