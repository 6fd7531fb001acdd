// The life of a request: its attempts, one after another, their time-outs, and its one answer (rules 1 to 3).
#pragma once

#include "admission.h"
#include "decode_choice.h"
#include "held_state.h"
#include "placement.h"

namespace lemonroute::decisions {

constexpr double overdue_factor = 2.5;    // an attempt this many times over its estimate is overdue,
constexpr double uncached_overdue_factor = 1.5;  // a prefill not before so many times over that without its match

inline void start_overdue_timer(SchedulerState& s, const RequestState& job, std::uint16_t index, double after) {
  const auto cookie = s.next_timer_id++;
  if (s.next_timer_id == 0) s.next_timer_id = 1;
  s.timers[cookie] = {job.request.id, index};
  s.emit(StartTimer{cookie, from_microseconds(std::max(after, to_microseconds(s.settings.min_batch_interval)))});
}

// The only place that sends. Rules 1 to 4 are kept here, whatever was chosen before.
inline bool start_attempt(SchedulerState& s, RequestState& job, const Selection& pick, double expect) {
  if (!pick.found) return false;
  NodeState& node = s.nodes.at(pick.endpoint);
  const bool answers = node.role != Role::prefill;
  if (job.ended || s.now >= job.deadline) return false;  // rule 1
  if (!node.is_ready()) return false;                      // rule 3, with no grace used
  if (job.attempts.size() >= job.max_attempts) return false;
  if (job.outstanding_attempts() > 0 && (!s.settings.hedging_allowed || job.class_settings->idempotency != Idempotency::idempotent)) return false;
  if (answers && !may_repeat_at(s, job, node)) return false;  // rule 2
  auto& work = s.work_by_class[job.class_settings->name];
  if (!admits_slow_start(s, node, s.estimated_work(job))) return false;  // rule 4
  Attempt a{.endpoint = pick.endpoint, .sent_at = s.now};
  a.prefill = node.role != Role::decode && !(job.has_reservation && answers);
  const double rate = prefill_rate(s, node);
  a.queue_ahead = a.prefill ? queued_tokens(s, node, rate) : 0;
  a.other_routers_queue = a.prefill ? std::max(0.0, a.queue_ahead - own_queued_tokens(s, node, rate)) : 0;
  a.expected_cached_tokens = a.prefill ? pick.recorded_match : 0;
  a.uncached_tokens = std::max(0.0, job.prompt_tokens - (a.prefill ? pick.assumed_match : 0));
  // Danger: a prefix that is not kept any more makes a prefill many times longer; that is no sign of a bad
  // node, and a cancelled prefill is done again elsewhere, from the start: all become late together.
  const double unmatched = a.prefill ? pick.queue_wait + (job.prompt_tokens - a.expected_cached_tokens) * rate : 0;  // no guess counts
  const double least = std::max(job.latency_objective / 3, to_microseconds(s.settings.min_batch_interval));
  a.overdue_after = std::max({overdue_factor * expect, uncached_overdue_factor * unmatched, least});
  job.attempts.push_back(a);
  const auto index = static_cast<std::uint16_t>(job.attempts.size() - 1);
  node.outstanding.push_back({job.request.id, index});
  work.add(job.prompt_tokens, s.now);
  s.usual_prompt_tokens.add(job.prompt_tokens, s.now, usual_sample_weight / 4);
  node.sent_work.add(work.value, s.now);
  node.work_rate.add(job.prompt_tokens, s.now, s.memory_duration);
  if (a.prefill) record_cached_prefix(s, job, pick.endpoint);
  if (a.prefill && answers) charge_mixed_prefill(s, node, a.uncached_tokens * rate);
  s.emit(Send{job.request.id, Micros(0), pick.endpoint});
  start_overdue_timer(s, job, index, a.overdue_after);
  return true;
}

// The only place that ends a request: one answer, and what is held let go (rules 1, 2 and 5).
inline void complete_request(SchedulerState& s, RequestState& job, bool refuse, double wait = 0) {
  if (job.ended) return;
  job.ended = true;
  const auto& c = *job.class_settings;
  const bool once = c.idempotency == Idempotency::not_idempotent || (c.idempotency == Idempotency::idempotent_with_key && c.retry_scope != RetryScope::all);
  if (refuse && (!once || (!job.first_executed_attempt && job.outstanding_attempts() == 0))) s.emit(RejectRequest{job.request.id, retry_after(s, wait)});
  else s.emit(FailRequest{job.request.id});
  release_resources(s, job);
}

inline void start_prefill(SchedulerState& s, RequestState& job, EndpointId avoid = 0) {
  Selection pick = choose_prefill(s, job, avoid);
  if (!pick.found && avoid) pick = choose_prefill(s, job);
  if (job.attempts.empty() && pick.found && should_shed(s, job, pick.queue_wait, pick.prefill_time)) {
    const Selection idle = choose_idle_prefill(s, job);
    if (!idle.found || should_shed(s, job, idle.queue_wait, idle.prefill_time)) return complete_request(s, job, true, pick.queue_wait);
    pick = idle;
  }
  if (job.has_reservation) release_reservation(s, job);
  // A prefill is of use only with an attempt left for the decode.
  const bool whole = pick.found && s.nodes.at(pick.endpoint).role == Role::mixed;
  if (!whole && job.attempts.size() + 2 > job.max_attempts) return complete_request(s, job, true);
  if (!start_attempt(s, job, pick, pick.queue_wait + pick.prefill_time + to_microseconds(s.settings.min_batch_interval))) complete_request(s, job, true, pick.queue_wait);
}

inline void start_decode(SchedulerState& s, RequestState& job, EndpointId avoid = 0) {
  const Selection pick = choose_decode(s, job, avoid);
  const double usual = s.time_to_first_token.known ? s.time_to_first_token.value : job.latency_objective / 4;
  if (!start_attempt(s, job, pick, usual + to_microseconds(s.settings.min_batch_interval)) && job.outstanding_attempts() == 0) complete_request(s, job, true);
}

inline void handle(SchedulerState& s, const Request& request) {
  RequestState& job = s.requests[request.id] = RequestState{.request = request};
  job.class_settings = s.class_settings(request.class_index);
  job.max_attempts = s.settings.max_attempts;
  job.prompt_tokens = clamp_reported_value(request.prompt_tokens);
  job.shared_prefix_tokens = std::min(job.prompt_tokens, clamp_reported_value(request.shared_prefix_tokens));
  job.deadline = s.now + request.time_budget;
  job.latency_objective = to_microseconds(job.class_settings->latency_objective) + to_microseconds(job.class_settings->latency_objective_per_1000_tokens) * job.prompt_tokens / 1000;
  if (request.flags & 1) job.latency_objective += std::max(0.0, job.class_settings->objective_slack_factor) * to_microseconds(request.expected_latency);
  s.prefix_popularity.record_arrival(request.shared_prefix_key);
  s.arrival_rate.add(job.prompt_tokens, s.now, s.memory_duration);
  job.over_quota = exceeds_quota(s, request.tenant_index);
  start_prefill(s, job);
  erase_if_finished(s, request.id);
}

inline void record_first_result(SchedulerState& s, NodeState& node, const Attempt& a, double elapsed) {
  a.prefill ? record_prefill_time(s, node, a, elapsed) : record_time_to_first_token(s, node, elapsed);
}

inline void handle(SchedulerState& s, const FirstTokenReceived& first) {
  RequestState* const job = lookup(s.requests, first.id);
  if (!job || first.attempt >= job->attempts.size()) return;
  auto& a = job->attempts[first.attempt];
  if (!a.outstanding || a.started) return;
  a.started = true;
  a.first_token_at = s.now;
  job->has_reservation = false;
  cancel_attempts(s, *job);  // a second copy has lost
  if (NodeState* node = lookup(s.nodes, a.endpoint)) record_first_result(s, *node, a, to_microseconds(first.elapsed));
}

// What an outcome tells of its node.
inline void record_attempt_outcome(SchedulerState& s, RequestState& job, Attempt& a, NodeState& node, const AttemptCompleted& done) {
  std::erase_if(node.outstanding, [&](auto& o) { return o.id == done.id && o.attempt == done.attempt; });
  const bool served = done.outcome == Outcome::ok || done.outcome == Outcome::prefill_done;
  const bool failed = done.outcome == Outcome::error || done.outcome == Outcome::reset ||
                      done.outcome == Outcome::connect_failed ||
                      (!a.started && done.outcome == Outcome::timeout);
  if (served || failed) record_outcome(s, node, failed);
  // Danger: what full nodes turn away is sent again, so they look several times as able as they are (rule 4).
  if (done.outcome == Outcome::rejected_over_capacity || done.outcome == Outcome::connect_failed)
    node.work_rate.add(-job.prompt_tokens, s.now, s.memory_duration);
  if (served && a.prefill) {
    const double cached = std::min<double>(done.cached_tokens, job.prompt_tokens);
    verify_cached_tokens(s, node, a, cached);
    if (job.prompt_tokens > 0) s.uncached_share.add(1 - cached / job.prompt_tokens, s.now, usual_sample_weight / 4);
    a.uncached_tokens = std::max(0.0, job.prompt_tokens - cached);
    if (!a.started) record_prefill_time(s, node, a, to_microseconds(done.elapsed));
    record_cached_prefix(s, job, a.endpoint);
  } else if (!a.started && (served || (a.cancelled && !job.ended))) {
    record_first_result(s, node, a, to_microseconds(done.elapsed));  // one cancelled as overdue took at least this long
  }
  const bool turned_away = done.outcome == Outcome::rejected_over_capacity && done.cached_tokens != 1;
  if (!a.prefill && (served || turned_away)) s.decode_rejection_ratio.add(turned_away, s.now, usual_sample_weight / 4);
  record_load_report(s, node, done.load_report);
  s.pool_statistics_current = false;
}

// An attempt has ended and the request still owes its answer.
inline void retry_or_fail(SchedulerState& s, RequestState& job, const AttemptCompleted& done) {
  if (done.outcome == Outcome::prefill_done) return start_decode(s, job);
  if (s.now >= job.deadline || done.outcome == Outcome::not_applicable) return complete_request(s, job, false);
  // Danger: doing twice what may have run. An unsafe request fails then, it is neither resent nor refused.
  if (job.class_settings->idempotency == Idempotency::not_idempotent && job.first_executed_attempt) return complete_request(s, job, false);
  const bool lost = done.outcome == Outcome::rejected_over_capacity && done.cached_tokens == 1;
  if (job.has_reservation && !lost) return start_decode(s, job, done.endpoint);
  // Danger: a silent node that holds most of the prompt stays the cheapest, and is asked to the end.
  start_prefill(s, job, done.outcome == Outcome::cancelled ? done.endpoint : 0);
}

inline void handle(SchedulerState& s, const AttemptCompleted& done) {
  RequestState* const job = lookup(s.requests, done.id);
  if (!job || done.attempt >= job->attempts.size()) return;
  auto& a = job->attempts[done.attempt];
  if (!a.outstanding) return;
  a.outstanding = false;
  if (NodeState* node = lookup(s.nodes, a.endpoint)) record_attempt_outcome(s, *job, a, *node, done);
  const bool never_ran = done.outcome == Outcome::rejected_over_capacity || done.outcome == Outcome::not_applicable ||
                         done.outcome == Outcome::connect_failed || done.outcome == Outcome::prefill_done;
  const bool at_prefill = s.role_of_endpoint(a.endpoint) == Role::prefill;
  if (!never_ran && !at_prefill && !job->first_executed_attempt) job->first_executed_attempt = done.attempt;
  if (done.outcome == Outcome::prefill_done) job->reservation_endpoint = a.endpoint;
  if (done.outcome == Outcome::prefill_done || at_prefill) job->has_reservation = done.outcome == Outcome::prefill_done;
  if (done.request_finished) job->ended = true;
  if (job->ended) release_resources(s, *job);
  else if (job->outstanding_attempts() == 0) retry_or_fail(s, *job, done);
  erase_if_finished(s, done.id);
}

inline void handle(SchedulerState& s, const ClientDisconnected& gone) {
  RequestState* const job = lookup(s.requests, gone.id);
  if (!job) return;
  job->ended = true;
  release_resources(s, *job);
  erase_if_finished(s, gone.id);
}

// Danger: an attempt stuck at a crawling or cut-off node. Once it is overdue and another node would be done
// sooner than this one has taken already, it is cancelled and the request goes elsewhere. One attempt is kept
// for the decode. When every node is slow no other would be sooner, and nothing is cancelled.
inline void handle(SchedulerState& s, const TimerFired& alarm) {
  if (alarm.timer_id == 0 && s.settings.discovery_on_request) s.emit(Subscribe{true});  // no attempt's timer
  const auto timer = s.timers.extract(alarm.timer_id);
  RequestState* const at = timer ? lookup(s.requests, timer.mapped().id) : nullptr;
  if (!at || at->ended) return;
  RequestState& job = *at;
  const auto index = timer.mapped().attempt;
  const auto& a = job.attempts[index];
  if (!a.outstanding || a.started || a.cancelled || index + 1u != job.attempts.size()) return;
  const double elapsed = to_microseconds(s.now - a.sent_at);
  const std::size_t needed = job.has_reservation ? 1 : 2;
  const bool may_repeat = s.role_of_endpoint(a.endpoint) == Role::prefill || job.class_settings->idempotency == Idempotency::idempotent;
  if (s.settings.cancellation_allowed && may_repeat && job.attempts.size() + needed <= job.max_attempts) {
    const Selection other = job.has_reservation ? choose_decode(s, job, a.endpoint) : choose_prefill(s, job, a.endpoint);
    const double sooner = job.has_reservation ? (s.time_to_first_token.known ? s.time_to_first_token.value : elapsed) : other.score;
    if (other.found && sooner < elapsed && to_microseconds(job.deadline - s.now) > sooner) return cancel_attempt(s, job, index);
  }
  start_overdue_timer(s, job, index, elapsed);
}

}  // namespace lemonroute::decisions
