// Streams, and what is known of the nodes, on their way from a process that ends to the one that has taken
// over.
#pragma once

#include <functional>
#include <string>
#include <vector>

#include "core/types.h"
#include "net/loop.h"

namespace lemonroute::ops {

// The receiving end: a datagram socket at a path that the processes of one router share. The newest has it.
class Handover {
 public:
  using Taken =
      std::function<void(const TransferredStream&)>;  // the descriptors are the receiver's from then on
  using Told = std::function<void(const HandoverState&)>;
  Handover(net::Loop& loop, const std::string& path, Taken taken, Told told);
  ~Handover();
  Handover(const Handover&) = delete;
  Handover& operator=(const Handover&) = delete;

  // Takes what has been sent and refuses what is sent from now on, which stays with its sender.
  void finish();

  // Sends a stream to whoever receives at `path`; false: nobody does, or not now. Its descriptors stay open
  // here. `id_lock`, unless it is -1, is a descriptor that keeps the stream's id locked; the receiver closes
  // its copy once the stream has been taken.
  static bool send(const std::string& path, const TransferredStream& stream, int id_lock = -1);
  // Tells what is known of the nodes, in as many messages as it takes; what can't be sent is left out.
  static void tell(const std::string& path, const HandoverState& handover_state);

 private:
  bool receive();  // false: nothing waits
  int fd_ = -1;
  Taken taken_;
  Told told_;
  net::EventPtr event_;
};

}  // namespace lemonroute::ops
