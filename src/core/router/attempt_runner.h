/// \file
/// The attempts under way, at most one of each request. Used on the serving thread only. All times are on the
/// core's clock.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

#include "core/router/event_dispatcher.h"
#include "core/router/node_registry.h"
#include "core/router/observer_reporter.h"
#include "core/router/request_table.h"
#include "core/router/reservation_releaser.h"
#include "core/router/router_context.h"

namespace lemonroute {

/// Starts attempts, watches over their time limits, passes their data on to clients and classifies their
/// results: for the Scheduler, for the request's client, for its reservation and for the node's last contact.
/// The attempts themselves belong to their requests.
class AttemptRunner : public AttemptListener {
 public:
  /// The classes that attempts report to. All of them outlive the AttemptRunner.
  struct Collaborators {
    RequestTable& requests;         ///< owns the requests and with them their attempts
    NodeRegistry& nodes;            ///< takes load reports and the last contact
    ReservationReleaser& releaser;  ///< takes what attempts leave reserved
    EventDispatcher& events;        ///< takes the results, for the Scheduler
    ObserverReporter& reporter;     ///< hears of attempts that have ended
  };
  /// `context` outlives this object.
  AttemptRunner(const RouterContext& context, Collaborators collaborators);

  /// Starts the next attempt of a request, or tells the Scheduler why none was started. Only for use while an
  /// event is handled.
  void start(const Send& send);
  /// Cancels an attempt that has not begun to answer.
  void cancel(const CancelAttempt& cancel);
  /// Ends the attempt of a request whose client has disconnected, if it streams or was never sent.
  void on_client_disconnected(RequestState& request);
  /// Reads on from a stream that was paused for its client.
  void resume_stream(RequestId id);
  /// Takes back attempts that do not start soon at a node that is not ready any more.
  void limit_starts_at_draining_nodes();
  /// Attempts that have not begun to answer end at `at` at the latest.
  void set_shutdown_deadline(Micros at);
  /// Goes on with a stream that another process began, as the request's attempt. Returns false if the node
  /// transport cannot; the request then has an attempt without a call.
  [[nodiscard]] bool adopt(RequestState& request, const TransferredStream& stream, const Node& node);
  /// Returns the number of attempts that were written whole to nodes.
  [[nodiscard]] std::uint64_t sent_attempts() const { return sent_attempts_; }

  void on_request_written() override { ++sent_attempts_; }
  void on_attempt_data(AttemptState& attempt, std::string_view data) override;
  void on_attempt_done(AttemptState& attempt, AttemptResult result) override;

 private:
  /// Which process of this router began an attempt.
  enum class StreamOrigin { this_process, other_process };
  /// What the client hears at the end of an attempt.
  enum class ClientAnswer { none, finish, fail_as_bad_request, abort_stream };

  [[nodiscard]] bool repeats(const RequestState& request, EndpointId endpoint) const;
  [[nodiscard]] std::optional<Outcome> reason_not_to_send(const RequestState* request, std::uint16_t number,
                                                          EndpointId endpoint, Micros now) const;
  void limit_idle_reservation(const RequestState& request, AttemptState& attempt);
  void schedule_untaken_release(AttemptState& attempt, Micros due_at);
  void limit_attempt_start(AttemptState& attempt, Micros at, AttemptResult result_if_not_sent);
  void restart_stream_timer(AttemptState& attempt);
  void on_first_event(RequestState& request, AttemptState& attempt);
  void on_stream_stalled(AttemptState& attempt);
  void on_attempt_timeout(AttemptState& attempt);

  static void log_result(const RequestState& request, const AttemptState& ended, const AttemptResult& result);
  [[nodiscard]] static bool never_ran(const AttemptState& ended, const AttemptResult& result);
  static void update_retry_deadline(RequestState& request, const AttemptState& ended,
                                    const AttemptResult& result);
  void update_reservation(RequestState& request, const AttemptState& ended, const AttemptResult& result);
  void update_last_contact(const AttemptState& ended, Outcome outcome);
  [[nodiscard]] static ClientAnswer client_answer(const RequestState& request, const AttemptState& ended,
                                                  const AttemptResult& result);
  void close_answered_client(RequestState& request, ClientAnswer answer);
  static void answer_client(Client& client, ClientAnswer answer);
  void report_completed(AttemptCompleted completed, StreamOrigin origin);

  const RouterContext& context_;
  RequestTable& requests_;
  NodeRegistry& nodes_;
  ReservationReleaser& releaser_;
  EventDispatcher& events_;
  ObserverReporter& reporter_;
  std::uint64_t sent_attempts_ = 0;
};

}  // namespace lemonroute
