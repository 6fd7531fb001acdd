// Plays the steps of a scene in order, and says how it went.
#pragma once

#include <iosfwd>

#include "play/asker.h"
#include "play/clients.h"
#include "play/fleet.h"
#include "watch/facts.h"

namespace lemonroute::rig {

class Player {
 public:
  Player(const Scene& scene, const Options& options, std::ostream& out);
  bool play();  // false: something was not as the scene has it, and all that helps has been said
  const std::vector<Micros>& waits() const { return clients_.waits(); }

 private:
  struct Failure {
    std::string why;
  };
  void step(const Step& step);
  void routers(const Step& step);
  void expect(const Step& step);
  void hold(const Step& step);
  void wait(double periods);
  void end();  // all processes end by themselves, and owe nothing
  void until(double periods,
             const std::function<std::string()>& lacking);  // throws Failure with the last of it
  void beat();
  void ask_all();
  void take(const std::string& name, const std::string& fleet);
  void look();  // whether one has ended by itself
  std::string lacking(const Fact& fact);
  std::string broken() const;
  void tell_all();
  std::string stamp() const;

  const Scene& scene_;
  const Options& options_;
  std::ostream& out_;
  net::Loop loop_;
  SystemClock clock_;
  const Micros begun_ = clock_.now();
  Cells cells_;
  Ledger ledger_;
  Fleet fleet_;
  Clients clients_;
  Asker asker_;
  AllKnown known_;
  Step flood_;
  bool asks_ready_ = false;
  double periods_ = 0;  // of the protocol, as far as the rig itself was not kept from running
  Micros beaten_{}, asked_{}, slept_{}, step_at_{};
  net::Timer beat_;
};

}  // namespace lemonroute::rig
