// A request of a played case: the client that waits for its answer, and the table of all of them.
#pragma once

#include <map>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

#include "core/router.h"
#include "expect/play/clock.h"
#include "expect/run.h"
#include "rules/monitor.h"

namespace lemonroute::expect {

// The client of one request. Writes down what it is told, and tells the monitor.
class PlayedRequest : public Client {
 public:
  PlayedRequest(const Ask& ask, const Step& step, bool past, std::uint64_t seed, const StoppedClock& clock,
                rules::Monitor& monitor);

  const Ask& ask;
  const Step& step;
  const bool past;              // of what came before the case: not judged
  const std::string wire_name;  // differs from seed to seed
  Story story;
  bool open = true;    // its client still waits
  bool taken = false;  // the core knows it, by this number
  RequestId id = 0;

  // Under which nodes keep its text.
  const std::string& session() const { return ask.session.empty() ? wire_name : ask.session; }

  bool on_data(std::string_view) override;
  void finish() override { end(Answer::served); }
  void reject(Micros away) override;
  void fail(FailureReason) override { end(Answer::failed); }
  void abort_stream() override { end(Answer::cut); }

 private:
  void end(Answer answer);

  const StoppedClock& clock_;
  rules::Monitor& monitor_;
};

// All requests of a case, in the order in which they were asked.
class PlayedRequests {
 public:
  PlayedRequest& add(std::unique_ptr<PlayedRequest> request);
  PlayedRequest* by_wire_name(const std::string& wire_name) const;  // nothing if there is none
  PlayedRequest* by_id(RequestId id) const;                         // nothing if the core took none with it
  PlayedRequest* open(const std::string& name) const;               // the first one whose client waits
  // Once the core has given it a number.
  void numbered(PlayedRequest& request) { by_id_[request.id] = &request; }
  void freed(const std::string& name, Micros now);
  const std::vector<std::unique_ptr<PlayedRequest>>& all() const { return all_; }

 private:
  std::vector<std::unique_ptr<PlayedRequest>> all_;
  std::map<std::string, PlayedRequest*> by_wire_name_;
  std::map<RequestId, PlayedRequest*> by_id_;
};

}  // namespace lemonroute::expect
