/// \file
/// Runs the attempts in progress, at most one per request. Used on the serving thread only. All times are on
/// the core's clock.
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

/// Starts attempts, enforces their time limits, forwards their data to clients and classifies their results:
/// for the Scheduler, for the request's client, for its reservation and for the node's last contact. The
/// requests own the attempts.
class AttemptRunner : public AttemptListener {
 public:
  /// The objects that attempts use and report to. All of them must outlive the AttemptRunner.
  struct Dependencies {
    RequestTable& requests;         ///< owns the requests and thereby their attempts
    NodeRegistry& nodes;            ///< records load reports and the last contact
    ReservationReleaser& releaser;  ///< releases what attempts leave reserved
    EventDispatcher& events;        ///< receives the results, for the Scheduler
    ObserverReporter& reporter;     ///< reports ended attempts to the NodeObserver
  };
  /// `context` must outlive this object.
  AttemptRunner(const RouterContext& context, Dependencies dependencies);

  /// Starts the next attempt of a request, or reports to the Scheduler why none was started. Call it only
  /// while an event is handled.
  void start(const Send& send);
  /// Cancels an attempt whose answer has not started.
  void cancel(const CancelAttempt& cancel);
  /// Ends the attempt of a request whose client has disconnected if it is streaming or was never sent.
  void on_client_disconnected(RequestState& request);
  /// Resumes reading a stream that was paused because its client was slow.
  void resume_stream(RequestId id);
  /// Sets a time limit on attempts that are not sent yet to nodes that are no longer ready, and withdraws
  /// those that exceed it.
  void limit_starts_at_draining_nodes();
  /// Makes attempts whose answer has not started end at `at` at the latest.
  void set_shutdown_deadline(Micros at);
  /// Continues a stream that another process started as the request's attempt. Returns false if the node
  /// transport cannot continue it; the request then has an attempt without a call.
  [[nodiscard]] bool adopt(RequestState& request, const TransferredStream& stream, const Node& node);
  /// Returns the number of attempts whose request was completely written to a node.
  [[nodiscard]] std::uint64_t sent_attempts() const { return sent_attempts_; }

  /// Counts a sent attempt.
  void on_request_written() override { ++sent_attempts_; }
  /// Restarts the idle timeout of a stream: its node is writing an event slowly.
  void on_attempt_progress(AttemptState& attempt) override;
  /// Forwards one event of the stream to the client, and pauses reading if the client is slow.
  void on_attempt_data(AttemptState& attempt, std::string_view data) override;
  /// Classifies the result, reports it and destroys the attempt.
  void on_attempt_done(AttemptState& attempt, AttemptResult result) override;

 private:
  /// The process of this router that started a stream.
  enum class StreamOrigin { this_process, other_process };
  /// The call to the client at the end of an attempt.
  enum class ClientAnswer { none, finish, fail_as_bad_request, abort_stream };

  void detach_disconnected_client(RequestState* request);
  [[nodiscard]] bool would_repeat(const RequestState& request, EndpointId endpoint) const;
  [[nodiscard]] bool may_repeat_at(const RequestState& request, EndpointId endpoint) const;
  [[nodiscard]] std::optional<Outcome> reason_not_to_send(const RequestState* request, std::uint16_t number,
                                                          EndpointId endpoint, Micros now) const;
  void limit_idle_reservation(const RequestState& request, AttemptState& attempt);
  void schedule_unclaimed_release(AttemptState& attempt, Micros due_at);
  void limit_attempt_start(AttemptState& attempt, Micros at, AttemptResult result_if_not_sent);
  void restart_stream_timer(AttemptState& attempt);
  void set_stream_timer(AttemptState& attempt, Micros last_data_at);
  void on_first_event(RequestState& request, AttemptState& attempt);
  void on_stream_stalled(AttemptState& attempt);
  void on_attempt_timeout(AttemptState& attempt);

  static void log_result(const RequestState& request, const AttemptState& ended, const AttemptResult& result);
  [[nodiscard]] static bool never_ran(const AttemptState& ended, const AttemptResult& result);
  static void update_retry_deadline(RequestState& request, const AttemptState& ended,
                                    const AttemptResult& result);
  void record_closed_call(RequestState& request, const AttemptState& ended, const AttemptResult& result);
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
