// Nodes and the network before them: what arrives, what a node makes of it, and what the router hears.
#include <algorithm>

#include "held/world_parts.h"

namespace lemonroute::held {
namespace {

constexpr double tokens_per_second = 8000;
constexpr std::uint64_t mixing = 0x9E3779B97F4A7C15u;

}  // namespace

bool World::comes_up(const Host& host) const {
  return host.machine && clock_.at >= host.lost_to_until && clock_.at >= host.lost_from_until &&
         clock_.at >= host.delayed_until;
}

// What is drawn for one call depends on nothing but it, so that a schedule with fewer steps is much the same.
property::Drawn World::drawing(const std::string& request) {
  return property::Drawn(hash_text(request) ^ ((++askers_.at(request)->calls + schedule_.seed) * mixing));
}

// From the beginning until the connection takes what is to be sent; nothing: it never does.
std::optional<Micros> World::connecting(const Host& host, property::Drawn& draw) {
  if (clock_.at < host.slow_until)
    return draw.one_in(3) ? std::nullopt : std::optional(draw.up_to(1s));
  if (draw.one_in(2))
    return Micros(0);  // one rested in the pool, whatever has become of it
  return comes_up(host) ? std::optional(draw.up_to(20ms)) : std::nullopt;
}

std::unique_ptr<Call> World::start_attempt(const Node& node, const Prompt& prompt, Micros,
                                           AttemptHandler& attempt) {
  Asker& asker = *askers_.at(prompt.id);
  Host& host = *by_name_.at(node.name);
  auto call = std::make_unique<Sending>(*this, host, asker, attempt, drawing(prompt.id));
  Sending& sending = *call;
  const Micros patience = schedule_.settings.connect_timeout;
  const auto connects = connecting(host, sending.draw);
  note(asker.name + " goes to " + host.name + (connects ? "" : ", whose connection does not come up"));
  if (!connects || *connects >= patience) {
    later(sending, patience, [this, &sending] { end(sending, {Outcome::connect_failed, 0, {}, "not up"}); });
    return call;
  }
  const auto goes = [this, &sending] {
    sending.sent = true;
    sending.attempt.on_request_written();
    carry(
        sending.host, [open = sending.open] { return *open; }, [this, &sending] { arrive(sending); });
  };
  if (*connects > Micros(0))
    later(sending, *connects, goes);
  else
    goes();
  return call;
}

void World::carry(Host& host, std::function<bool()> valid, std::function<void()> arrive) {
  if (swallows(host)) {
    ++seen_.swallowed;
    return;
  }
  const Micros from = std::max({clock_.at + hop, host.delayed_until, host.hangs_until});
  if (from > clock_.at + hop)
    ++seen_.delayed;
  at(from, [this, &host, process = host.process, valid = std::move(valid), arrive = std::move(arrive)] {
    if (!valid())
      return;
    if (host.process != process || !host.machine)
      return;  // reset or lost with the process that it was for
    if (clock_.at < host.delayed_until || hangs(host))
      return carry(host, valid, arrive);
    if (clock_.at >= host.lost_to_until && host.alive)
      arrive();
  });
}

void World::arrive(Sending& sending) {
  sending.arrived = true;
  oracle_.arrived(sending.asker.name);
  note(sending.asker.name + " arrives at " + sending.host.name);
  sending.host.role == Role::decode ? write(sending) : read(sending);
}

void World::read(Sending& sending) {
  const Micros alone(static_cast<Micros::rep>(sending.asker.tokens / tokens_per_second * 1e6));
  const Micros span = alone + sending.draw.up_to(sending.draw.one_in(4) ? 800ms : 50ms);
  const auto outcome = sending.draw.any({Outcome::prefill_done, Outcome::prefill_done, Outcome::prefill_done,
                                         Outcome::prefill_done, Outcome::prefill_done, Outcome::prefill_done,
                                         Outcome::rejected_over_capacity, Outcome::error, Outcome::reset});
  later(sending, span, [this, &sending, outcome] {
    when_it_runs(sending, [this, &sending, outcome] {
      const bool ended_well =
          outcome == Outcome::prefill_done || (outcome == Outcome::reset && sending.draw.one_in(2));
      if (ended_well && !sending.released)
        grant(sending.host, sending.asker.name);
      answer(sending, {outcome, 0, {}, {}});
    });
  });
}

void World::write(Sending& sending) {
  const Micros queued = hop + sending.draw.up_to(sending.draw.one_in(4) ? 1500ms : 80ms);
  const auto outcome =
      sending.draw.any({Outcome::ok, Outcome::ok, Outcome::ok, Outcome::ok, Outcome::ok,
                        Outcome::rejected_over_capacity, Outcome::error, Outcome::reset, Outcome::timeout});
  if (outcome == Outcome::timeout)
    return;  // it never says a word
  later(sending, queued, [this, &sending, outcome] {
    when_it_runs(sending, [this, &sending, outcome] {
      if (outcome != Outcome::ok)
        return answer(sending, {outcome, 0, {}, {}});
      if (!oracle_.holds(sending.asker.name)) {
        ++seen_.lost_state;
        note(sending.asker.name + " finds no state");
        return answer(sending, {Outcome::rejected_over_capacity, 1, {}, {}});
      }
      ++seen_.taken;
      note(sending.asker.name + "'s state is taken");
      free(sending.asker.name);
      stream(sending, static_cast<int>(1 + sending.draw.below(3)));
    });
  });
}

void World::stream(Sending& sending, int left) {
  if (left == 0)
    return answer(sending, {Outcome::ok, 0, {}, {}});
  const auto open = sending.open;
  if (clock_.at >= sending.host.lost_from_until)
    sending.attempt.on_data("x");
  if (*open)
    later(sending, hop + sending.draw.up_to(100ms), [this, &sending, left] { stream(sending, left - 1); });
}

// Once the process goes on, unless the attempt has gone or the process is another one by then.
void World::when_it_runs(Sending& sending, std::function<void()> job) {
  if (sending.process != sending.host.process || !sending.host.alive)
    return;
  if (!hangs(sending.host))
    return job();
  later(sending, sending.host.hangs_until - clock_.at,
        [this, &sending, job = std::move(job)] { when_it_runs(sending, job); });
}

// What the node says goes back to the router, late or never where the network is cut.
void World::answer(Sending& sending, AttemptResult result) {
  const Host& host = sending.host;
  if (clock_.at < host.lost_from_until)
    return note(sending.asker.name + "'s answer from " + host.name + " is lost");
  const Micros back = std::max(hop, host.delayed_until - clock_.at);
  later(sending, back, [this, &sending, result = std::move(result)] { end(sending, result); });
}

void World::end(Sending& sending, AttemptResult result) {
  sending.over = true;
  if (sending.timer)
    timers_.cancel(*sending.timer);
  sending.timer.reset();
  note(sending.asker.name + " at " + sending.host.name + " ends with " +
       std::to_string(static_cast<int>(result.outcome)) + (sending.arrived ? "" : ", had not arrived"));
  if (std::exchange(sending.arrived, false))
    oracle_.ended(clock_.at, sending.asker.name);
  sending.attempt.on_done(std::move(result));  // the call is gone now
}

// The router has closed it. A read may have ended well in that very moment, or does so when its node goes on.
void World::let_go(Sending& sending) {
  *sending.open = false;
  if (sending.timer)
    timers_.cancel(*sending.timer);
  Host& host = sending.host;
  host.attempts.erase(&sending);
  if (sending.over)
    return;
  const std::string request = sending.asker.name;
  note(request + " at " + host.name + " is closed by its router" +
       (sending.arrived ? "" : ", had not arrived"));
  if (!sending.arrived)
    return;
  oracle_.ended(clock_.at, request);
  if (host.role != Role::prefill || !host.alive || sending.process != host.process || !sending.draw.one_in(3))
    return;
  const auto ends_well = [this, &host, request, process = host.process] {
    if (!host.alive || host.process != process || !routers_[askers_.at(request)->router].core)
      return;
    ++seen_.granted_at_close;
    grant(host, request);
  };
  if (hangs(host))
    at(host.hangs_until, ends_well);
  else
    ends_well();
}

void World::grant(Host& host, const std::string& request) {
  ++seen_.granted;
  note("state of " + request + " is held at " + host.name);
  host.held.insert(request);
  oracle_.granted(clock_.at, request, host.name);
}

void World::free(const std::string& request) {
  for (const auto& host : hosts_)
    host->held.erase(request);
  oracle_.freed(request);
}

bool World::decodes(const std::string& request) const {
  return std::any_of(hosts_.begin(), hosts_.end(), [&](const auto& host) {
    return host->role == Role::decode &&
           std::any_of(host->attempts.begin(), host->attempts.end(),
                       [&](const Sending* one) { return one->arrived && one->asker.name == request; });
  });
}

// Frees what no decode that has arrived waits for. It counts once it has arrived, answered or not.
std::unique_ptr<Call> World::release_reservation(const Node& node, const std::string& id,
                                                 std::function<void(bool)> done) {
  auto call = std::make_unique<Releasing>(*this);
  Host& host = *by_name_.at(node.name);
  digest_.add(clock_.at, id, node.name);
  property::Drawn draw = drawing(id);
  const auto connects = connecting(host, draw);
  const Micros patience = schedule_.settings.connect_timeout;
  const auto told = [open = call->open, done = std::move(done)](bool arrived) {
    if (!*open)
      return;
    const auto kept = done;  // the call may be let go of, and this with it
    kept(arrived);
  };
  if (!connects || *connects >= patience) {
    at(clock_.at + patience, [told] { told(false); });
    return call;
  }
  if (!host.alive && host.machine) {  // refused, or reset
    at(clock_.at + hop, [told] { told(false); });
    return call;
  }
  at(clock_.at + *connects, [this, &host, id, told, open = call->open] {
    carry(
        host, [open] { return *open; },
        [this, &host, id, told] {
          const bool waited_for = decodes(id);
          ++(waited_for ? seen_.released_waiting : seen_.released);
          note("release of " + id + " arrives at " + host.name +
               (waited_for ? ", an attempt waits for it" : ""));
          if (!waited_for)
            free(id);
          if (clock_.at >= host.lost_from_until)
            at(clock_.at + hop, [told] { told(true); });
        });
  });
  return call;
}

void World::later(Sending& sending, Micros after, std::function<void()> job) {
  if (sending.timer)
    timers_.cancel(*sending.timer);
  sending.timer = timers_.add(clock_.at + after, [&sending, job = std::move(job)] {
    sending.timer.reset();
    const auto kept = job;  // the call may be let go of, and this with it
    kept();
  });
}

}  // namespace lemonroute::held
