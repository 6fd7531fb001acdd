// What puts the peers' service, its extensions and the serving loop together: guides come to the one side,
// notes go to the other, each through a bounded ring. Made and met on the serving loop.
#pragma once

#include <atomic>
#include <boost/lockfree/spsc_queue.hpp>
#include <functional>
#include <memory>
#include <string>
#include <vector>

#include "guide/binding.h"
#include "guide/fleet_guide.h"
#include "guide/notes.h"
#include "guide/siblings.h"
#include "peers/service.h"
#include "peers/wake.h"

namespace lemonroute::guide {

class Fleet final : peers::Service::Desk {
 public:
  struct Options {
    peers::Service::Options service;
    Siblings::Limits siblings;
  };
  // `guided` is called on the loop with each newer guide, within reason: at most once in `least_between`.
  using Guided = std::function<void(std::shared_ptr<const FleetView>)>;
  Fleet(net::Loop& loop, const Clock& clock, Options options, std::vector<Binding> bindings, Guided guided);
  ~Fleet() override;

  static constexpr std::chrono::milliseconds least_between{10};

  NodeObserver& observer() { return notes_; }
  // What is known, as JSON; a moment old. Null until the first was made; says so where the peers' thread has
  // ended.
  std::shared_ptr<const std::string> text() const;
  const std::string& address() const { return service_->address(); }

 private:
  struct Told {
    std::shared_ptr<const FleetView> guide;
    std::shared_ptr<const std::string> text;
  };

  // On the thread of the peers.
  void woken(Micros now) override;
  void round(Micros now, const peers::Service& service) override;
  Micros next_due() const override { return next_; }
  bool renew_guide(Micros now, const peers::Service& service);
  bool renew_text(Micros now, const peers::Service& service);

  // On the serving loop.
  void take();

  Guided guided_;
  std::vector<Binding> bindings_;
  std::vector<NodeObserver*> observers_;
  Notes notes_;
  boost::lockfree::spsc_queue<Told> told_;
  peers::Wake take_;
  std::shared_ptr<const FleetView> guide_;
  std::shared_ptr<const std::string> text_;

  // The thread's own.
  Siblings siblings_;
  std::uint32_t count_ = 0;
  FleetGuide::Parts parts_;
  Told newest_;
  std::vector<std::shared_ptr<const void>>
      given_;             // freed here and not on the serving loop, once it is done with them
  bool waiting_ = false;  // the ring was full: the newest is still to be told
  Micros next_{}, next_guide_{}, next_text_{};

  std::unique_ptr<peers::Service> service_;  // ends the thread first
};

}  // namespace lemonroute::guide
