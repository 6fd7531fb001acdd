#include "play/clients.h"

namespace lemonroute::rig {
namespace {

using std::chrono::seconds;

constexpr Micros patience = seconds(12);  // as the classes of the operator's file have it
constexpr Micros politeness =
    seconds(3);                   // beyond which a client goes; that it got nothing is a breach by then
constexpr int sessions = 16;      // of each opening
constexpr int most_at_once = 50;  // requests that are made up for after a stall of the rig

}  // namespace

Clients::Clients(net::Loop& loop, const Clock& clock, Ledger& ledger, std::uint64_t seed, Find find)
    : loop_(loop),
      clock_(clock),
      ledger_(ledger),
      random_(seed),
      find_(std::move(find)),
      pool_(loop, {}),
      due_(loop, [this] { next(); }) {}

void Clients::load(const Step& step) {
  load_ = step;
  due_.stop();
  if (load_.rate == 0)
    return;
  due_at_ = clock_.now();
  next();
}

void Clients::next() {
  const Micros now = clock_.now(), gap(static_cast<Micros::rep>(1e6 / load_.rate));
  for (int i = 0; i < most_at_once && due_at_ <= now; ++i, due_at_ += gap)
    put(load_, load_.names[turn_++ % load_.names.size()]);
  due_at_ = std::max(due_at_, now);
  due_.start(due_at_ - now);
}

void Clients::ask(const Step& step) {
  for (std::uint32_t i = 0; i < step.count; ++i)
    put(step, step.names[i % step.names.size()]);
}

void Clients::put(const Step& step, const std::string& router) {
  const auto door = find_(router);
  if (!door)
    return;
  const std::string id = "q" + std::to_string(++count_);
  Prompt prompt;
  prompt.opening = !step.opening.empty() ? step.opening
                   : step.openings       ? "o" + std::to_string(random_() % step.openings)
                                         : "";
  prompt.session = prompt.opening + "-" + std::to_string(random_() % sessions);
  prompt.tokens = step.tokens;
  prompt.shared = prompt.opening.empty() ? 0 : step.tokens * 2 / 3;
  const Micros now = clock_.now();
  ledger_.asked(now, id, {router, door->region, door->generation, prompt}, now + patience);
  Waiting& one = waiting_[id];
  one.router = router;
  one.since = now;
  one.until = now + patience + politeness;
  const demo::Question question{id,
                                step.kind,
                                prompt.session,
                                prompt.opening,
                                static_cast<int>(prompt.tokens),
                                static_cast<int>(prompt.shared),
                                patience};
  one.client = demo::ask_http(loop_, pool_, door->address, question,
                              {[this, id](const std::string&) {
                                 if (std::exchange(waiting_.at(id).heard, true))
                                   return;
                                 waits_.push_back(clock_.now() - waiting_.at(id).since);
                                 ledger_.first(clock_.now(), id);
                               },
                               [this, id](const std::string& how) { ended(id, how); }});
}

void Clients::ended(const std::string& id, const std::string& how) {
  const auto at = waiting_.find(id);
  if (at == waiting_.end())
    return;
  loop_.dispose(std::move(at->second.client));
  waiting_.erase(at);
  ledger_.answered(clock_.now(), id, how);
}

void Clients::dropped(const std::string& router) {
  for (auto at = waiting_.begin(); at != waiting_.end();) {
    if (at->second.router != router) {
      ++at;
      continue;
    }
    loop_.dispose(std::move(at->second.client));
    at = waiting_.erase(at);
  }
}

void Clients::run_due() {
  const Micros now = clock_.now();
  for (auto at = waiting_.begin(); at != waiting_.end();) {
    if (at->second.until > now) {
      ++at;
      continue;
    }
    ledger_.left(now, at->first);
    loop_.dispose(std::move(at->second.client));
    at = waiting_.erase(at);
  }
}

}  // namespace lemonroute::rig
