// The life of a request: its attempts, one after another, their time-outs, and its one answer (rules 1 to 3).
#pragma once

#include "admission.h"
#include "decode_choice.h"
#include "held_state.h"
#include "placement.h"

namespace lemonroute::decisions {

constexpr double timeout_factor = 2.5;    // an attempt this many times over its estimate is overdue,
constexpr double unmatched_factor = 1.5;  // a prefill not before so many times over that without its match

inline void set_timer(State& s, const Job& job, std::uint16_t index, double after) {
  const auto cookie = s.next_cookie++;
  if (s.next_cookie == 0) s.next_cookie = 1;
  s.timers[cookie] = {job.request.id, index};
  s.act(Sleep{cookie, micros(std::max(after, us(s.settings.tick)))});
}

// The only place that sends. Rules 1 to 4 are kept here, whatever was chosen before.
inline bool send(State& s, Job& job, const Pick& pick, double expect) {
  if (!pick.found) return false;
  Node& node = s.nodes.at(pick.host);
  const bool answers = node.role != Role::read;
  if (job.ended || s.now >= job.deadline) return false;  // rule 1
  if (!node.listed()) return false;                      // rule 3, with no grace used
  if (job.attempts.size() >= job.most_attempts) return false;
  if (job.out() > 0 && (!s.settings.second_copies || job.terms->effect != Effect::safe)) return false;
  if (answers && !may_serve(s, job, node)) return false;  // rule 2
  auto& work = s.class_work[job.terms->name];
  if (!admits_slow_start(s, node, s.work_of(job))) return false;  // rule 4
  Attempt a{.host = pick.host, .sent = s.now};
  a.prefill = node.role != Role::write && !(job.held && answers);
  const double rate = prefill_rate(s, node);
  a.ahead = a.prefill ? queued(s, node, rate) : 0;
  a.others = a.prefill ? std::max(0.0, a.ahead - own_queued(s, node, rate)) : 0;
  a.credit = a.prefill ? pick.known : 0;
  a.tokens = std::max(0.0, job.prompt - (a.prefill ? pick.credit : 0));
  // Danger: a prefix that is not kept any more makes a prefill many times longer; that is no sign of a bad
  // node, and a cancelled prefill is done again elsewhere, from the start: all become late together.
  const double unmatched = a.prefill ? pick.wait + (job.prompt - a.credit) * rate : 0;  // no guess counts
  const double least = std::max(job.aim / 3, us(s.settings.tick));
  a.timeout = std::max({timeout_factor * expect, unmatched_factor * unmatched, least});
  job.attempts.push_back(a);
  const auto index = static_cast<std::uint16_t>(job.attempts.size() - 1);
  node.out.push_back({job.request.id, index});
  work.add(job.prompt, s.now);
  s.usual_prompt.add(job.prompt, s.now, learn / 4);
  node.sent.add(work.value, s.now);
  node.work_rate.add(job.prompt, s.now, s.fade);
  if (a.prefill) record(s, job, pick.host);
  if (a.prefill && answers) owe_mixed(s, node, a.tokens * rate);
  s.act(Send{job.request.id, Micros(0), pick.host});
  set_timer(s, job, index, a.timeout);
  return true;
}

// The only place that ends a request: one answer, and what is held let go (rules 1, 2 and 5).
inline void end(State& s, Job& job, bool refuse, double wait = 0) {
  if (job.ended) return;
  job.ended = true;
  const auto& c = *job.terms;
  const bool once = c.effect == Effect::unsafe || (c.effect == Effect::keyed && c.group != Group::all);
  if (refuse && (!once || (!job.ran && job.out() == 0))) s.act(Refuse{job.request.id, retry_after(s, wait)});
  else s.act(Fail{job.request.id});
  let_go(s, job);
}

inline void prefill(State& s, Job& job, HostId avoid = 0) {
  Pick pick = choose_prefill(s, job, avoid);
  if (!pick.found && avoid) pick = choose_prefill(s, job);
  if (job.attempts.empty() && pick.found && refuse_early(s, job, pick.wait, pick.read)) {
    const Pick idle = choose_idle_prefill(s, job);
    if (!idle.found || refuse_early(s, job, idle.wait, idle.read)) return end(s, job, true, pick.wait);
    pick = idle;
  }
  if (job.held) release(s, job);
  // A prefill is of use only with an attempt left for the decode.
  const bool whole = pick.found && s.nodes.at(pick.host).role == Role::both;
  if (!whole && job.attempts.size() + 2 > job.most_attempts) return end(s, job, true);
  if (!send(s, job, pick, pick.wait + pick.read + us(s.settings.tick))) end(s, job, true, pick.wait);
}

inline void decode(State& s, Job& job, HostId avoid = 0) {
  const Pick pick = choose_decode(s, job, avoid);
  const double usual = s.first_token.known ? s.first_token.value : job.aim / 4;
  if (!send(s, job, pick, usual + us(s.settings.tick)) && job.out() == 0) end(s, job, true);
}

inline void on(State& s, const Request& request) {
  Job& job = s.jobs[request.id] = Job{.request = request};
  job.terms = s.terms(request.cls);
  job.most_attempts = s.settings.max_attempts;
  job.prompt = sane(request.prompt);
  job.shared = std::min(job.prompt, sane(request.shared_prefix));
  job.deadline = s.now + request.budget;
  job.aim = us(job.terms->aim) + us(job.terms->aim_per_1000_tokens) * job.prompt / 1000;
  if (request.flags & 1) job.aim += std::max(0.0, job.terms->aim_stretch) * us(request.expected);
  s.openings.count(request.shared);
  s.arrivals.add(job.prompt, s.now, s.fade);
  job.over_share = beyond_share(s, request.tenant);
  prefill(s, job);
  forget(s, request.id);
}

inline void learn_start(State& s, Node& node, const Attempt& a, double elapsed) {
  a.prefill ? learn_prefill(s, node, a, elapsed) : learn_first_token(s, node, elapsed);
}

inline void on(State& s, const First& first) {
  Job* const job = lookup(s.jobs, first.id);
  if (!job || first.attempt >= job->attempts.size()) return;
  auto& a = job->attempts[first.attempt];
  if (!a.out || a.started) return;
  a.started = true;
  a.first = s.now;
  job->held = false;
  cancel_all(s, *job);  // a second copy has lost
  if (Node* node = lookup(s.nodes, a.host)) learn_start(s, *node, a, us(first.elapsed));
}

// What an outcome tells of its node.
inline void learn_outcome(State& s, Job& job, Attempt& a, Node& node, const Completed& done) {
  std::erase_if(node.out, [&](auto& o) { return o.id == done.id && o.attempt == done.attempt; });
  const bool served = done.outcome == Outcome::ok || done.outcome == Outcome::read;
  const bool failed = done.outcome == Outcome::error || done.outcome == Outcome::reset ||
                      done.outcome == Outcome::connect_failed ||
                      (!a.started && done.outcome == Outcome::timeout);
  if (served || failed) note_outcome(s, node, failed);
  // Danger: what a node fails or turns away is sent again, so it looks more able than it is (rule 4).
  const bool unserved = failed || done.outcome == Outcome::full;
  if (unserved) node.work_rate.take_back(job.prompt, a.sent, s.now, s.fade);
  if (served && a.prefill) {
    const double cached = std::min<double>(done.note, job.prompt);
    compare_cached(s, node, a, cached);
    if (job.prompt > 0) s.fresh_share.add(1 - cached / job.prompt, s.now, learn / 4);
    a.tokens = std::max(0.0, job.prompt - cached);
    if (!a.started) learn_prefill(s, node, a, us(done.elapsed));
    record(s, job, a.host);
  } else if (!a.started && (served || (a.cancelled && !job.ended))) {
    learn_start(s, node, a, us(done.elapsed));  // one cancelled as overdue took at least this long
  }
  const bool turned_away = done.outcome == Outcome::full && done.note != 1;
  if (!a.prefill && (served || turned_away)) s.turned_away.add(turned_away, s.now, learn / 4);
  report(s, node, done.load);
  s.surveyed = false;
}

// An attempt has ended and the request still owes its answer.
inline void go_on(State& s, Job& job, const Completed& done) {
  if (done.outcome == Outcome::read) return decode(s, job);
  if (s.now >= job.deadline || done.outcome == Outcome::moot) return end(s, job, false);
  // Danger: doing twice what may have run. An unsafe request fails then, it is neither resent nor refused.
  if (job.terms->effect == Effect::unsafe && job.ran) return end(s, job, false);
  const bool lost = done.outcome == Outcome::full && done.note == 1;
  if (job.held && !lost) return decode(s, job, done.host);
  // Danger: a silent node that holds most of the prompt stays the cheapest, and is asked to the end.
  prefill(s, job, done.outcome == Outcome::cancelled ? done.host : 0);
}

inline void on(State& s, const Completed& done) {
  Job* const job = lookup(s.jobs, done.id);
  if (!job || done.attempt >= job->attempts.size()) return;
  auto& a = job->attempts[done.attempt];
  if (!a.out) return;
  a.out = false;
  if (Node* node = lookup(s.nodes, a.host)) learn_outcome(s, *job, a, *node, done);
  const bool never_ran = done.outcome == Outcome::full || done.outcome == Outcome::moot ||
                         done.outcome == Outcome::connect_failed || done.outcome == Outcome::read;
  const bool at_prefill = s.role_of(a.host) == Role::read;
  if (!never_ran && !at_prefill && !job->ran) job->ran = done.attempt;
  if (done.outcome == Outcome::read) job->state_at = a.host;
  if (done.outcome == Outcome::read || at_prefill) job->held = done.outcome == Outcome::read;
  if (done.done) job->ended = true;
  if (job->ended) let_go(s, *job);
  else if (job->out() == 0) go_on(s, *job, done);
  forget(s, done.id);
}

inline void on(State& s, const Abandoned& gone) {
  Job* const job = lookup(s.jobs, gone.id);
  if (!job) return;
  job->ended = true;
  let_go(s, *job);
  forget(s, gone.id);
}

// Danger: an attempt stuck at a crawling or cut-off node. Once it is overdue and another node would be done
// sooner than this one has taken already, it is cancelled and the request goes elsewhere. One attempt is kept
// for the decode. When every node is slow no other would be sooner, and nothing is cancelled.
inline void on(State& s, const Alarm& alarm) {
  if (alarm.cookie == 0 && s.settings.discovery_on_request) s.act(Subscribe{true});  // no attempt's timer
  const auto timer = s.timers.extract(alarm.cookie);
  Job* const at = timer ? lookup(s.jobs, timer.mapped().id) : nullptr;
  if (!at || at->ended) return;
  Job& job = *at;
  const auto index = timer.mapped().attempt;
  const auto& a = job.attempts[index];
  if (!a.out || a.started || a.cancelled || index + 1u != job.attempts.size()) return;
  const double elapsed = us(s.now - a.sent);
  const std::size_t needed = job.held ? 1 : 2;
  const bool may_repeat = s.role_of(a.host) == Role::read || job.terms->effect == Effect::safe;
  if (s.settings.may_cancel && may_repeat && job.attempts.size() + needed <= job.most_attempts) {
    const Pick other = job.held ? choose_decode(s, job, a.host) : choose_prefill(s, job, a.host);
    const double sooner = job.held ? (s.first_token.known ? s.first_token.value : elapsed) : other.score;
    if (other.found && sooner < elapsed && us(job.deadline - s.now) > sooner) return cancel(s, job, index);
  }
  set_timer(s, job, index, elapsed);
}

}  // namespace lemonroute::decisions
