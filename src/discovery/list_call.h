// One call to discovery: the bytes of its answer, and the times within which they have to come.
#pragma once

#include <chrono>
#include <memory>
#include <string>
#include <string_view>

#include "discovery/cadence.h"
#include "http/client.h"

namespace lemonroute::discovery {

class ListCall : http::Listener {
 public:
  // Hears of a call. Whoever lets go of it from within hands it to Loop::dispose, stopped.
  class Events {
   public:
    virtual ~Events() = default;
    virtual void answered(ListCall& call) = 0;  // the answer is whole
    virtual void silent(ListCall& call) = 0;    // nothing has come by `Cadence::Call::first`
    virtual void lost(ListCall& call, std::string_view why) = 0;  // no answer comes any more
  };
  // Sends it. `client` and `events` outlive the call, or it is stopped before.
  ListCall(net::Loop& loop, http::Client& client, const std::string& address, const Cadence::Call& call,
           Events& events);

  void stop();  // closes its connection; nothing more is heard of it
  bool asks_for_whole_list() const { return asks_for_whole_list_; }
  int status() const { return status_; }  // 0: the answer is too long, or has not begun
  std::string_view text() const { return text_; }
  Micros took() const;  // from its start until now

 private:
  void head(const http::Head& head) override { status_ = head.status; }
  void body(std::string_view piece) override;
  void ended(http::Ending how) override;
  void overdue();

  Events& events_;
  const bool asks_for_whole_list_;
  const std::chrono::steady_clock::time_point asked_ = std::chrono::steady_clock::now();
  bool begun_ = false, too_long_ = false;
  int status_ = 0;
  std::string text_;
  net::Timer overdue_, whole_;
  std::unique_ptr<http::Exchange> exchange_;
};

}  // namespace lemonroute::discovery
