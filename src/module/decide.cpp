// lemonroute's decisions, all of them. The types it works with are in include/lemonroute/scheduler.h.
//
// The ordinary path is Mooncake's Algorithm 1: the reader with the lowest estimated wait + unmatched read
// time; after the read a near, least loaded writer; refusal before the read when waiting would miss the aim
// or every writer looks full. Everything else here is a departure for when something is wrong; each says
// what danger it covers. docs/design.md has the list.
#include <algorithm>
#include <cmath>
#include <deque>
#include <functional>
#include <map>
#include <optional>
#include <tuple>
#include <utility>

#include "fleet/homes.h"
#include "fleet/learned.h"
#include "fleet/openings.h"
#include "lemonroute/scheduler.h"

namespace lemonroute {
namespace {

using namespace fleet;
using std::chrono::seconds;

// Tuned values. Times that depend on the deployment are taken from its settings instead.
constexpr Micros table_fresh = seconds(30);  // a prefix entry counts in full this long, then less and less
constexpr std::size_t table_keys = 20000;    // most keys kept for sessions, and for shared beginnings
constexpr double balancing_threshold = 2;    // kvcache_balancing_threshold of the algorithm
constexpr double home_keeps = 0.5;           // of unseen sessions' prompts beyond their shared beginning
constexpr std::size_t few_reads = 4;         // so many tell little of the usual rate
constexpr double blame = 0.4;                // weight of a failure in a host's failure share
constexpr double aside_at = 0.35;            // failure share from which a host counts as set aside
constexpr double near_margin = 0.12;         // a writer this much above the least load still counts as least
constexpr double full_at = 0.9;              // share of memory from which a writer looks full
constexpr double overdue_factor = 2.5;       // an attempt this many times over its estimate is overdue
constexpr double mixed_reads = 0.75;         // part of its time a mixed host may read, for its answers' sake
constexpr double reading_weight = 3;         // read time against wait in a reader's score, at the least
constexpr double crowding = 8;               // how much dearer read time gets when every reader has a queue
constexpr double crossing = 0.03;            // of its aim a request may wait longer to stay in its zone
constexpr double wait_margin = 0.8;  // waits turn out longer than estimated: others' sends are seen late
constexpr double cold_share = 0.6;    // part of a cold host's allowance that is used at the most

struct Outstanding {
  RequestId id;
  std::uint16_t attempt;
};

struct Host {
  ListEntry entry;
  Role role = Role::both;
  bool listed = false;  // ready, as far as this instance knows
  double memory = 0;    // tokens
  Learned rate;         // microseconds a token read, from read latencies
  Learned slow;         // latency against the pool's norm, as a writer
  Learned others;       // share of memory held here for other instances, by report
  Learned unread;       // tokens waiting here for other instances, by report
  double reading = 0;   // as a mixed host: time owed to reading, drained at mixed_reads
  Micros reading_at{};
  double failing = 0;  // share of recent attempts that failed, fading
  Micros failing_at{}, read_done{}, void_before{};
  int misses = 0;  // kept counts far below credit, in a row
  std::vector<Outstanding> out;
  double room() const { return memory > 0 ? memory : 1e5; }
  std::deque<std::pair<Micros, double>> sent;  // work sent within the cold window
  Learned work_rate;
};

struct Attempt {
  HostId host = 0;
  Micros sent{}, first{};
  double ahead = 0, others = 0, tokens = 0, credit = 0, overdue = 1;
  bool reading = false, out = true, started = false, cancelled = false;
};

struct Job {
  Request request;
  std::shared_ptr<const ClassSettings> terms;  // these two from the request's beginning
  std::uint32_t most_attempts = 1;
  double prompt = 0, shared = 0;
  Micros deadline{};
  double aim = 0;
  bool over_share = false, ended = false, held = false;
  HostId state_at = 0;             // the reader where the read state waits, while held
  std::optional<std::size_t> ran;  // first attempt that may have run
  std::vector<Attempt> attempts;
  std::size_t out() const {
    return static_cast<std::size_t>(
        std::count_if(attempts.begin(), attempts.end(), [](auto& a) { return a.out; }));
  }
  bool tried(HostId host) const {
    return std::any_of(attempts.begin(), attempts.end(), [&](auto& a) { return a.host == host; });
  }
};

struct Kept {
  HostId host;
  double length;
  Micros at;
};
// What is usual among the listed hosts of a role, worked out at most once an event.
struct Pool {
  double hosts = 0, ill = 0, rate = 0, others = 0, unread = 0, warm_work = 0, wait = 0;
};
struct Bucket {
  double level = 0;
  Micros at{};
};

}  // namespace

struct Scheduler::Core {
  explicit Core(Settings settings) { take(std::move(settings)); }

  // At the start and at any time later.
  void take(Settings settings) {
    std::map<std::string, Bucket> kept;
    for (std::size_t i = 0; i < buckets.size(); ++i) kept[s.tenants[i].name] = buckets[i];
    auto work = std::move(class_work);
    s = std::move(settings);
    classes.clear();
    class_work.clear();
    fade = Micros(0);
    most_worth = 0;
    for (const auto& c : s.classes) {
      classes.push_back(std::make_shared<const ClassSettings>(c));
      if (work.count(c.name)) class_work[c.name] = work[c.name];
      fade = std::max(fade, c.deadline);
      most_worth = std::max(most_worth, c.worth);
    }
    if (fade <= Micros(0)) fade = seconds(10);
    buckets.clear();
    for (const auto& tenant : s.tenants) buckets.push_back(kept[tenant.name]);
    column.clear();
    for (std::size_t i = 0; i < s.report_columns.size(); ++i) column[s.report_columns[i]] = i;
    for (auto& [id, host] : hosts) describe(host);
  }
  void describe(Host& host) const {
    const auto kind = host.entry.kind;
    host.role = kind < s.kind_role.size() ? s.kind_role[kind] : Role::both;
    host.memory = kind < s.kind_memory.size() ? s.kind_memory[kind] : 0;
  }

  Settings s;
  std::vector<std::shared_ptr<const ClassSettings>> classes;
  Micros now{};
  std::vector<Action>* actions = nullptr;
  Micros fade{};  // how long what was learned of a host's health lasts: the longest deadline
  double most_worth = 0;
  std::map<std::string, std::size_t> column;
  std::map<HostId, Host> hosts;
  std::map<RequestId, Job> jobs;
  std::map<Key, std::vector<Kept>> sessions, shareds;
  Openings openings;
  std::map<std::uint32_t, Outstanding> alarms;
  std::uint32_t next_cookie = 1;
  std::vector<Bucket> buckets;
  Learned fresh_share{1, {}, true};  // of prompts, the part that was not kept
  Learned start_norm;                // the writers' usual time to a first token
  std::map<std::string, Learned> class_work;
  Learned usual_prompt;
  std::map<Role, Pool> pools;
  std::map<Role, Learned> inferred;
  std::map<Role, double> usual_rate;  // microseconds a token, the median of the recent ones
  std::map<Role, std::deque<double>> recent_rates;
  Learned any_rate;       // of whatever role read last
  bool reported = false;  // whether any writer's load was
  bool surveyed = false;
  Micros since{};  // this process's first event
  Learned asked;   // work that comes, served or not
  double reading_sum = 0;  // this instance's reading at mixed hosts, fading
  Micros reading_at{};
  Learned coming{0, {}, true};  // tokens that this instance has being read, in the mean
  int ask_failures = 0;
  std::function<void(const Choice&)> told_to;
  Choice choice;

  void act(Action action) { actions->push_back(std::move(action)); }
  void say(std::string line) { act(Log{std::move(line)}); }

  // ---- Roster -------------------------------------------------------------------------------------------

  void on(const HostList& list) {
    if (list.kind == ListKind::failed) {  // ask again, later each time: discovery may be overloaded
      if (s.discovery_on_request)
        act(Sleep{0, micros(us(s.tick) + us(seconds(1)) * (1 << std::min(ask_failures++, 3)))});
      return;
    }
    if (list.kind == ListKind::cached && s.discovery_on_request) act(Subscribe{true});
    if (list.kind != ListKind::cached) ask_failures = 0;
    if (list.kind != ListKind::delta)
      for (auto& [id, host] : hosts) {
        host.listed = false;
        host.entry.phase = Phase::gone;
      }
    for (const auto& entry : list.hosts) {
      Host& host = hosts[entry.host];
      if (host.entry.host != entry.host || host.entry.started != entry.started) {
        // A new process: nothing learned of the old one holds, least of all its kept texts.
        auto out = std::move(host.out);
        host = Host{};
        host.out = std::move(out);
        host.void_before = now;
      }
      host.entry = entry;
      describe(host);
      host.listed = entry.phase == Phase::ready;
    }
    // Danger: a module that outlives its hosts many times over and looks at all of them for each request.
    std::erase_if(hosts, [](const auto& one) {
      return one.second.entry.phase == Phase::gone && one.second.out.empty();
    });
  }

  const Pool& pool(Role role) {
    survey();
    return pools[role];
  }
  void survey() {
    if (surveyed) return;
    surveyed = true;
    for (const Role role : {Role::read, Role::write, Role::both}) {
      Pool& p = pools[role] = Pool{.warm_work = pools[role].warm_work};
      Mean others, own, unread_root, warm_work;
      for (const auto& [id, host] : hosts) {
        if (!host.listed || host.role != role) continue;
        p.hosts += 1;
        p.ill += failing(host) >= aside_at;
        others.add(host.others.value, host.others.trust(now, fade));
        own.add(own_share(host));
        unread_root.add(std::sqrt(host.unread.value), host.unread.trust(now, fade));
        if (!cold(host)) warm_work.add(host.work_rate.value * host.work_rate.fresh(now, fade));
      }
      p.rate = usual_rate.count(role) ? usual_rate[role] : any_rate.known ? any_rate.value : assumed_rate();
      p.others = reported ? others.value() : (s.siblings - 1) * own.value();
      // The mean of roots, so that one jammed reader does not stand for all.
      p.unread = std::pow(unread_root.value(), 2) +
                 std::max(0.0, inferred[role].value * inferred[role].fresh(now, fade));
      if (warm_work.total > 0) p.warm_work = warm_work.value();
      // Danger: the last warm host drains while its successors are cold. With no warm load to go by they would
      // get next to nothing; the last one's goes on to count, and of readers the rate learned from reads.
      if (warm_work.total <= 0 && role == Role::read && usual_rate.count(role))
        p.warm_work = 1 / std::max(0.1, usual_rate[role]) / s.siblings;
    }
    for (const Role role : {Role::read, Role::both}) {
      Mean waits;
      for (const auto& [id, host] : hosts)
        if (host.listed && host.role == role) waits.add(wait(host));
      pools[role].wait = waits.value();
    }
  }
  // Mixed hosts are homes and gauges only where there are no readers.
  Role reader_role() { return pool(Role::read).hosts > 0 ? Role::read : Role::both; }

  bool cold(const Host& host) const {
    return host.entry.started > Micros(0) && now - host.entry.started < s.cold_for;
  }

  // Rule 4. A cold host gets a part of what it could bear, were it as able as the warm hosts' load shows them
  // to be at least, spread over the window and divided by the instances. One request in an empty window is
  // let through, so that it can warm up where that takes work; where an instance's part is less than one
  // request, only those do so whose turn it is in this window, by a hash that needs no talking; of an instance to
  // which fewer than one request comes in a window, each request whose turn it is. A new process knows nothing
  // of what was sent before it began: its first window counts as used.
  bool cold_room(Host& host, double work) {
    while (!host.sent.empty() && now - host.sent.front().first > s.fall_window) host.sent.pop_front();
    if (!cold(host)) return true;
    const double share = now - since < s.fall_window ? 0 : cold_share * s.fall_multiple * s.cold_from;
    const double part = share * us(s.fall_window) * pool(host.role).warm_work;
    if (host.sent.empty()) {
      const double comes = asked.value * asked.fresh(now, fade) * us(s.fall_window);
      const double usual = usual_prompt.known ? std::min(work, usual_prompt.value) : work;
      const double least = usual / s.siblings;
      const bool few = comes < usual && part > least;
      const auto window = now / std::max(s.fall_window, s.tick);
      const double turn = unit(mix(host.entry.host ^ mix(s.me ^ mix(few ? now.count() : window))));
      return turn * (few ? comes * work / usual : work) <= std::max(part, least);
    }
    double sum = work;
    for (const auto& [at, amount] : host.sent) sum += amount;
    return sum <= part;
  }

  // ---- Health -------------------------------------------------------------------------------------------

  double failing(const Host& host) const {
    return host.failing * std::exp(-us(now - host.failing_at) / us(fade));
  }

  // Danger: a host that answers at once, with errors or no connection, looks idle and draws the traffic. It
  // is left out while its failure share is high, and by the share's fading comes back for a request or two.
  // Not more than half of a role's hosts are left out: if most fail, leaving them out would crush the rest.
  bool left_out(const Host& host) {
    return failing(host) >= aside_at && 2 * pool(host.role).ill <= pool(host.role).hosts;
  }

  void judge(Host& host, bool failed) {
    const double before = failing(host);
    host.failing = before + (failed ? blame * (1 - before) : -learn * before);
    host.failing_at = now;
    if (before < aside_at && host.failing >= aside_at)
      say("host " + std::to_string(host.entry.host) + " set aside: attempts fail");
  }

  // ---- Prefix table -------------------------------------------------------------------------------------

  double entry_length(const std::map<Key, std::vector<Kept>>& table, Key key, const Host& host) const {
    const auto found = table.find(key);
    if (key == 0 || found == table.end()) return 0;
    for (const auto& kept : found->second)
      if (kept.host == host.entry.host && kept.at > host.void_before)
        return kept.length * std::min(1.0, us(table_fresh) / std::max(1.0, us(now - kept.at)));
    return 0;
  }

  double prefix_len(const Host& host, const Job& job) const {
    return std::min(job.prompt,
                    std::max(entry_length(sessions, job.request.session, host),
                             std::min(job.shared, entry_length(shareds, job.request.shared, host))));
  }

  void keep(std::map<Key, std::vector<Kept>>& table, Key key, HostId host, double length) {
    if (key == 0 || length <= 0) return;
    if (table.size() >= table_keys && !table.count(key)) table.erase(table.begin());  // keys are as if drawn
    auto& list = table[key];
    std::erase_if(list, [&](auto& kept) { return kept.host == host || now - kept.at > 10 * table_fresh; });
    list.push_back({host, length, now});
  }

  void record(const Job& job, HostId host, double length) {
    keep(sessions, job.request.session, host, length);
    keep(shareds, job.request.shared, host, std::min(job.shared, length));
  }

  // Danger: texts forgotten, by a restart that the list missed or for want of memory. The table would go on
  // to credit long matches and the home would overfill (DESIGN, Doubts). Two kept counts far below credit in
  // a row void what the table says of that reader.
  void compare_kept(Host& host, const Attempt& attempt, double kept) {
    if (attempt.credit <= 0) return;
    host.misses = kept >= attempt.credit / balancing_threshold ? 0 : host.misses + 1;
    if (host.misses < 2) return;
    host.misses = 0;
    host.void_before = now;
    say("texts kept by host " + std::to_string(host.entry.host) + " no longer trusted");
  }

  // The readers where every instance, by hash alone, expects a session's beginning. Without it the turns of a
  // session that come to other instances find nothing kept.
  std::vector<HostId> homes(const Job& job) {
    const Key key = job.request.shared ? job.request.shared : job.request.session;
    if (!key) return {};
    std::vector<Member> readers, writers;
    const Role role = reader_role();
    for (const auto& [id, host] : hosts) {
      if (!host.listed) continue;
      const Member member{id, host.entry.zone, cold(host) ? std::max(1e-3, s.cold_from) : 1};
      if (host.role == role) readers.push_back(member);
      if (host.role != Role::read) writers.push_back(member);
    }
    const double part = job.request.shared ? openings.part(key) : 0;
    return fleet::homes(key, job.request.session, part, {s.zone, s.siblings}, readers, writers);
  }

  // What a session's home may keep of a prompt beyond what this instance knows: the shared beginning, and of
  // the rest of a session unseen here a part.
  double home_guess(const Job& job) const {
    return job.shared + (sessions.count(job.request.session) ? 0 : home_keeps * (job.prompt - job.shared));
  }

  // ---- Reader estimates ---------------------------------------------------------------------------------

  // Microseconds a token. An unheard reader counts as average, and so, slowly, does one not heard lately: a
  // crawling host that is avoided is tried again by and by. A read that is out longer than its estimate
  // shows the host's slowness before it ends.
  double rate(const Host& host) {
    const double trust = host.rate.trust(now, fade);
    const double usual = pool(host.role).rate;
    return std::max(trust * host.rate.value + (1 - trust) * usual, usual * lateness(host, true));
  }
  // The longest that an attempt out there takes, against the time from which it is overdue.
  double lateness(const Host& host, bool reading) const {
    double most = 0;
    for (const auto& out : host.out)
      if (const auto& a = attempt(out); a.reading == reading && !a.started)
        most = std::max(most, us(now - a.sent) / a.overdue);
    return most;
  }

  double assumed_rate() const {  // only ranks readers while nothing is learned
    return s.classes.empty() ? 1 : std::max(1.0, us(s.classes[0].aim_per_1000_tokens) / 1000);
  }

  const Attempt& attempt(const Outstanding& out) const { return jobs.at(out.id).attempts[out.attempt]; }

  double own_unread(const Host& host, double rate) const {
    double sum = 0;
    const Attempt* head = nullptr;
    for (const auto& out : host.out) {
      const auto& a = attempt(out);
      if (!a.reading || a.started) continue;
      if (!head) head = &a;
      sum += a.tokens;
    }
    if (!head) return 0;
    return sum - std::min(head->tokens, us(now - std::max(host.read_done, head->sent)) / rate);
  }
  double unread(const Host& host, double rate) {
    const double fresh = host.unread.fresh(now, fade / 4);
    return own_unread(host, rate) + fresh * host.unread.value + (1 - fresh) * pool(host.role).unread;
  }
  double wait(const Host& host) {
    const double per_token = rate(host), queue = unread(host, per_token) * per_token;
    return host.role == Role::both ? std::max(queue, read_debt(host)) : queue;
  }

  // Danger: a mixed host that reads all the time, whose running answers then miss their token aim. Its reads
  // are queued as if it read only part of the time, less what the other instances are taken to read there:
  // as much each as this one reads at a mixed host in the mean.
  double read_debt(const Host& host) {
    return std::max(0.0, host.reading / spare() - us(now - host.reading_at));
  }
  double spare() {  // part of a mixed host's time that is this instance's to read in
    const double others = (s.siblings - 1) * mixed_reading() / std::max(1.0, pool(Role::both).hosts);
    return std::max(mixed_reads / s.siblings, mixed_reads - others);
  }
  double mixed_reading() const {  // part of the time, over all mixed hosts
    return reading_sum * std::exp(-us(now - reading_at) / us(fade)) / us(fade);
  }

  // ---- Writer load --------------------------------------------------------------------------------------

  double own_share(const Host& host) const {
    double sum = 0;
    for (const auto& out : host.out) {
      const auto& job = jobs.at(out.id);
      const auto& a = attempt(out);
      const double pace = std::max(1.0, us(cls(job).token_aim));
      sum += job.prompt + (a.started ? std::min(sane(job.request.max_output), us(now - a.first) / pace) : 0);
    }
    return sum / host.room();
  }

  // Share of a writer's memory: own streams, and what its reports show to be held for others. An old report
  // gives way to the pool's mean.
  double load(const Host& host) {
    const double trust = host.others.trust(now, fade);
    return own_share(host) + trust * host.others.value + (1 - trust) * pool(host.role).others;
  }

  double slowness(const Host& host) const {
    const double trust = host.slow.trust(now, fade);
    return std::max({1.0, trust * host.slow.value + (1 - trust), lateness(host, false)});
  }

  void report(Host& host, const std::vector<float>& values) {
    const auto get = [&](const char* name) -> std::optional<double> {
      const auto found = column.find(name);
      if (found == column.end() || found->second >= values.size() || !std::isfinite(values[found->second]))
        return {};
      return std::max(0.0, static_cast<double>(values[found->second]));
    };
    const auto held = s.report_x0_is_memory ? get("x0") : std::nullopt;
    const auto unread = s.report_x1_is_unread ? get("x1") : std::nullopt;
    if (held && host.role != Role::read) {  // what waits is not in memory yet, but coming
      reported = true;
      const double all = *held + unread.value_or(0) * 1000 / host.room();
      host.others.add(std::max(0.0, all - own_share(host)), now, 0.5);
    }
    if (unread && host.role != Role::write) {  // prompts are reported whole, kept parts too
      double own = 0;
      for (const auto& out : host.out)
        if (const auto& a = attempt(out); a.reading && !a.started) own += jobs.at(out.id).prompt;
      host.unread.add(std::max(0.0, *unread * 1000 - own) * fresh_share.value, now, 0.5);
    }
  }

  // ---- Admission ----------------------------------------------------------------------------------------

  const ClassSettings& cls(const Job& job) const { return *job.terms; }
  // One more (or, of negative work, one less) in a rate that fades; however few come, its mean is the true one.
  void flow(Learned& rate, double work) const {
    rate.add(std::max(0.0, rate.value * rate.fresh(now, fade) + work / us(fade)), now, 1);
  }
  double work_of(const Job& job) { return std::max(class_work[cls(job).name].value, job.prompt); }
  std::shared_ptr<const ClassSettings> terms(std::uint16_t cls) const {
    static const auto unknown = std::make_shared<const ClassSettings>(ClassSettings{
        "", Effect::unsafe, Group::cell, seconds(1), seconds(1), {}, {}, {}, 0, 0, 1, true});
    return cls < classes.size() ? classes[cls] : unknown;
  }

  // Whether a request is beyond its tenant's share, by a bucket that holds this instance's part of it.
  bool beyond_share(std::uint16_t tenant) {
    if (tenant >= s.tenants.size() || s.tenants[tenant].quota_rps <= 0) return false;
    auto& bucket = buckets[tenant];
    const double per_second = s.tenants[tenant].quota_rps / s.siblings, most = std::max(2.0, 2 * per_second);
    bucket.level = std::min(most, bucket.level + per_second * us(now - bucket.at) / 1e6);
    bucket.at = now;
    if (bucket.level < 1) return true;
    bucket.level -= 1;
    return false;
  }

  double value(const Job& job) const {  // worth of a unit of work, against the best class's
    return cls(job).worth / std::max(1e-9, most_worth) * (job.over_share ? s.over_share_worth : 1);
  }

  // The least load of the writers by the time this request is read: what they hold, and their part of what
  // is being read now, here and, by the same measure, at the other instances.
  double least_load(const Job& job) {
    double reading = 0, memory = 0, least = 1e9;
    for (const auto& [id, other] : jobs)
      if (!other.ended && !other.attempts.empty() &&
          (other.held || role_of(other.attempts.back().host) == Role::read))
        reading += other.prompt;
    coming.add(reading, now, learn / 4);
    for (const auto& [id, host] : hosts)
      if (host.listed && host.role != Role::read) {
        memory += host.memory;
        least = std::min(least, load(host) + job.prompt / std::max(1.0, host.memory));
      }
    return least + (reading + coming.value * (s.siblings - 1)) / std::max(1.0, memory);
  }
  Role role_of(HostId id) const {
    const auto found = hosts.find(id);
    return found == hosts.end() ? Role::both : found->second.role;
  }

  // Early refusal. A request is judged by the wait it would have, never by its own long read, and not before
  // a rate is known; what is worth less yields first, by a shorter wait and a lower load.
  bool refuse_early(const Job& job, double wait, double read) {
    const double load = least_load(job);
    if (!any_rate.known || (job.request.flags & 16)) return false;  // a stream that broke is paid for already
    const double yield = 0.5 + 0.5 * std::sqrt(value(job));
    const double slack = std::max(job.aim - read, job.aim / 2);
    // Danger: an instance that took waits to be long refuses all, and learns no better. Its evidence fades.
    const double counted = wait * any_rate.trust(now, fade);
    const bool refused = counted > wait_margin * slack * yield || load > full_at * yield;
    if (refused && told_to)
      told_to(Choice{.id = job.request.id, .at = now, .refused = true, .wait = micros(counted),
                     .most_wait = micros(wait_margin * slack * yield), .load = load,
                     .most_load = full_at * yield});
    return refused;
  }

  Micros hint(double wait) const {
    return s.retry_after ? std::min(s.max_retry_after, micros(std::max(wait, us(fade) / 20))) : Micros(0);
  }

  // ---- Choosing -----------------------------------------------------------------------------------------

  bool may_serve(const Job& job, const Host& host) const {  // rule 2, for a host that would answer
    if (!job.ran) return true;
    const auto& first = job.attempts[*job.ran];
    const auto& c = cls(job);
    if (c.effect == Effect::safe) return true;
    if (c.effect == Effect::unsafe) return false;
    if (now - first.sent >= c.window) return false;
    const auto found = hosts.find(first.host);
    if (c.group == Group::all || found == hosts.end()) return c.group == Group::all;
    return c.group == Group::zone ? found->second.entry.zone == host.entry.zone
                                  : found->second.entry.cell == host.entry.cell;
  }

  struct Pick {
    HostId host = 0;
    double wait = 0, read = 0, score = 1e18, credit = 0;
    bool found = false;
    double known = 0;
    int near = 0;  // to the reader: 1 in its zone, 2 in its cell
  };

  // Danger: many instances that know as little choose the same host. Among near equals it differs by request.
  double unsure(const Job& job, const Host& host, double trust) const {
    return (1 - trust) * near_margin * unit(mix(job.request.id ^ mix(host.entry.host)));
  }

  // Why a host can't be chosen now, in the words of an explanation; nothing if it can.
  const char* unfit(const Job& job, Host& host, Role stage, HostId avoid) {
    if (!host.listed) return "not ready in the list";
    if (left_out(host)) return "set aside, attempts fail there";
    if (host.role == (stage == Role::read ? Role::write : Role::read)) return "of the other role";
    if (host.entry.host == avoid) return "the attempt before was there";
    const bool answers = stage == Role::write || host.role == Role::both;
    if (answers && !may_serve(job, host)) return "may not do what may have run";
    // By the send's own figure: what passes here and fails there is refused, where another host would do.
    return cold_room(host, work_of(job)) ? nullptr : "cold, its part is used up";
  }
  // What the choice believes, for whoever asked to be told; without that these cost a comparison each.
  Choice* begin_choice(const Job& job, Role stage, HostId avoid) {
    if (!told_to) return nullptr;
    choice = Choice{.id = job.request.id, .at = now, .stage = stage, .avoided = avoid};
    return &choice;
  }
  void believe(Choice& to, Host& host, const char* left_out, double match) {
    const double per_token = rate(host);
    to.candidates.push_back({.host = host.entry.host, .left_out = left_out, .match = match, .rate = per_token,
                             .unread = unread(host, per_token), .load = load(host),
                             .slowness = slowness(host), .failing = failing(host)});
  }
  void weigh(Candidate& to, const Pick& pick) const {
    std::tie(to.credit, to.near, to.score) = std::tuple(pick.credit, pick.near, pick.score);
    std::tie(to.wait, to.read) = std::pair(micros(pick.wait), micros(pick.read));
  }
  Pick end_choice(const Pick& best) {
    choice.chosen = best.found ? best.host : 0;
    if (told_to) told_to(choice);
    return best;
  }

  // Algorithm 1. The missing prefix is charged as read time in both branches, since kept texts can't be
  // moved; the second one differs in that the reader becomes a new home, which `record` does at the send.
  Pick pick_reader(const Job& job, HostId avoid = 0) {
    const std::vector<HostId> at_home = homes(job);
    const double guess = at_home.empty() ? 0 : home_guess(job);
    // Where all readers of a role have queues, each token read anew there delays all behind it.
    std::map<Role, double> weight;
    for (const Role role : {Role::read, Role::both})
      weight[role] = reading_weight + crowding * std::min(1.0, pool(role).wait / std::max(1.0, job.aim));
    Pick best;
    Choice* told = begin_choice(job, Role::read, avoid);
    for (auto& [id, host] : hosts) {
      const char* no = unfit(job, host, Role::read, avoid);
      if (told) believe(*told, host, no, prefix_len(host, job));
      if (no) continue;
      Pick pick{.host = id, .credit = prefix_len(host, job), .found = true};
      pick.known = pick.credit;
      if (std::count(at_home.begin(), at_home.end(), id))
        pick.credit = std::max(pick.credit, id == at_home.front() ? guess : job.shared);
      const double per_token = rate(host);
      pick.wait = wait(host);
      pick.read = (job.prompt - pick.credit) * per_token;
      pick.score = pick.wait + weight[host.role] * pick.read;
      pick.score += failing(host) * job.aim + unsure(job, host, host.rate.trust(now, fade)) * pick.read;
      if (job.tried(id)) pick.score += job.aim;
      if (host.entry.zone != s.zone) pick.score += crossing * job.aim;
      if (host.role == Role::both) {  // it would answer too: its answers' slowness and memory count
        const double held = load(host) + job.prompt / std::max(1.0, host.memory);
        if (told && held > full_at) told->candidates.back().left_out = "its memory is full";
        if (held > full_at) continue;
        pick.score += (slowness(host) - 1 + held) * job.aim / 4;
      }
      if (told) weigh(told->candidates.back(), pick);
      if (pick.score < best.score) best = pick;
    }
    return end_choice(best);
  }

  Pick pick_writer(const Job& job, HostId avoid = 0) {
    const auto from = hosts.find(job.state_at);
    Pick best;
    double least = best.score;
    std::vector<Pick> all;
    Choice* told = begin_choice(job, Role::write, avoid);
    for (auto& [id, host] : hosts) {
      const char* no = unfit(job, host, Role::write, avoid);
      if (told) believe(*told, host, no, 0);
      if (no) continue;
      Pick pick{.host = id, .found = true};
      pick.score = load(host) * slowness(host) + failing(host) + (job.tried(id) ? 1 : 0) +
                   unsure(job, host, host.others.trust(now, fade));
      if (from != hosts.end() && host.entry.zone == from->second.entry.zone)
        pick.near = host.entry.cell == from->second.entry.cell ? 2 : 1;
      if (told) weigh(told->candidates.back(), pick);
      all.push_back(pick);
      least = std::min(least, pick.score);
    }
    const double margin = std::clamp(full_at - least, 0.0, near_margin);  // nearness must not overfill
    for (const auto& pick : all)
      if (pick.score <= least + margin &&
          std::pair(-pick.near, pick.score) < std::pair(-best.near, best.score))
        best = pick;
    return end_choice(best);
  }

  // ---- The life of a request ----------------------------------------------------------------------------

  // The only place that sends. Rules 1 to 4 are kept here, whatever was chosen before.
  bool send(Job& job, const Pick& pick, double expect) {
    const auto found = hosts.find(pick.host);
    if (!pick.found || found == hosts.end()) return false;
    Host& host = found->second;
    const bool serves = host.role != Role::read;
    if (job.ended || now >= job.deadline) return false;  // rule 1
    if (!host.listed) return false;                      // rule 3, with no grace used
    if (job.attempts.size() >= job.most_attempts) return false;
    if (job.out() > 0 && (!s.second_copies || cls(job).effect != Effect::safe)) return false;
    if (serves && !may_serve(job, host)) return false;  // rule 2
    auto& work = class_work[cls(job).name];
    if (!cold_room(host, work_of(job))) return false;  // rule 4
    Attempt a;
    a.host = pick.host;
    a.sent = now;
    a.reading = host.role != Role::write && !(job.held && serves);
    const double per_token = rate(host);
    a.ahead = a.reading ? unread(host, per_token) : 0;
    a.others = a.reading ? std::max(0.0, a.ahead - own_unread(host, per_token)) : 0;
    a.credit = a.reading ? pick.known : 0;
    a.tokens = std::max(0.0, job.prompt - (a.reading ? pick.credit : 0));
    a.overdue = std::max({overdue_factor * expect, job.aim / 3, us(s.tick)});
    job.attempts.push_back(a);
    const auto index = static_cast<std::uint16_t>(job.attempts.size() - 1);
    host.out.push_back({job.request.id, index});
    work.add(job.prompt, now);
    usual_prompt.add(job.prompt, now, learn / 4);
    host.sent.emplace_back(now, work.value);
    flow(host.work_rate, job.prompt);
    if (a.reading) record(job, pick.host, job.prompt);
    if (a.reading && serves) {
      const double read = a.tokens * per_token;
      host.reading = read_debt(host) * spare() + read;
      host.reading_at = now;
      reading_sum = mixed_reading() * us(fade) + read;
      reading_at = now;
    }
    act(Send{job.request.id, Micros(0), pick.host});
    watch(job, index, a.overdue);
    return true;
  }

  // The only place that ends a request: one answer, and what is held let go (rules 1, 2 and 5).
  void end(Job& job, bool refuse, double wait = 0) {
    if (job.ended) return;
    job.ended = true;
    bool may_refuse = true;
    if (cls(job).effect == Effect::unsafe ||
        (cls(job).effect == Effect::keyed && cls(job).group != Group::all))
      may_refuse = !job.ran && job.out() == 0;
    if (refuse && may_refuse) act(Refuse{job.request.id, hint(wait)});
    else act(Fail{job.request.id});
    drop(job);
  }

  // Lets go of what an ended request holds; its outstanding attempts are called off first.
  void drop(Job& job) {
    for (std::size_t i = 0; i < job.attempts.size(); ++i) call_off(job, i);
    if (job.out() == 0 && job.held) release(job);
  }
  void release(Job& job) {
    act(Release{job.request.id});
    job.held = false;
  }
  void call_off(Job& job, std::size_t index) {
    auto& a = job.attempts[index];
    if (!s.may_cancel || !a.out || a.started || a.cancelled) return;
    a.cancelled = true;
    act(Cancel{job.request.id, static_cast<std::uint16_t>(index)});
  }

  void watch(const Job& job, std::uint16_t index, double after) {
    const auto cookie = next_cookie++;
    if (next_cookie == 0) next_cookie = 1;
    alarms[cookie] = {job.request.id, index};
    act(Sleep{cookie, micros(std::max(after, us(s.tick)))});
  }

  void start(Job& job, HostId avoid = 0) {
    Pick pick = pick_reader(job, avoid);
    if (!pick.found && avoid) pick = pick_reader(job);
    if (job.attempts.empty()) {
      if (pick.found && refuse_early(job, pick.wait, pick.read)) return end(job, true, pick.wait);
    }
    if (job.held) release(job);
    // A read is of use only with an attempt left for the write.
    const bool whole = pick.found && hosts.at(pick.host).role == Role::both;
    if (!whole && job.attempts.size() + 2 > job.most_attempts) return end(job, true);
    if (!send(job, pick, pick.wait + pick.read + us(s.tick))) end(job, true, pick.wait);
  }

  void write(Job& job, HostId avoid = 0) {
    const Pick pick = pick_writer(job, avoid);
    const double norm = start_norm.known ? start_norm.value : job.aim / 4;
    if (!send(job, pick, norm + us(s.tick)) && job.out() == 0) end(job, true);
  }

  void on(const Request& request) {
    Job& job = jobs[request.id];
    job = Job{};
    job.request = request;
    job.terms = terms(request.cls);
    job.most_attempts = s.max_attempts;
    job.prompt = sane(request.prompt);
    job.shared = std::min(job.prompt, sane(request.shared_prefix));
    job.deadline = now + request.budget;
    const auto& c = cls(job);
    job.aim = us(c.aim) + us(c.aim_per_1000_tokens) * job.prompt / 1000;
    if (request.flags & 1) job.aim += std::max(0.0, c.aim_stretch) * us(request.expected);
    openings.count(request.shared);
    flow(asked, job.prompt);
    job.over_share = beyond_share(request.tenant);
    start(job);
    forget(request.id);
  }

  void on(const First& first) {
    const auto found = jobs.find(first.id);
    if (found == jobs.end() || first.attempt >= found->second.attempts.size()) return;
    Job& job = found->second;
    auto& a = job.attempts[first.attempt];
    if (!a.out || a.started) return;
    a.started = true;
    a.first = now;
    job.held = false;
    for (std::size_t i = 0; i < job.attempts.size(); ++i) call_off(job, i);  // a second copy has lost
    const auto host = hosts.find(a.host);
    if (host == hosts.end()) return;
    learn_start(host->second, a, us(first.elapsed));
  }

  void learn_start(Host& host, const Attempt& a, double elapsed) {
    if (a.reading) return learn_rate(host, a, elapsed);
    if (start_norm.known && start_norm.value > 0) host.slow.add(elapsed / start_norm.value, now);
    start_norm.add(elapsed, now, learn / 4);
  }

  void learn_rate(Host& host, const Attempt& a, double elapsed) {
    const double step = usual_prompt.value / 32;  // the shortest read takes a step
    const bool told = s.report_x1_is_unread && column.count("x1");
    if (a.tokens < 1) return;
    const double tokens = a.ahead + a.tokens + step - (told ? 0 : a.others);
    const double sample = elapsed / tokens,
                 weight = std::min(1.0, a.tokens / std::max(1.0, usual_prompt.value / 2));
    auto& recent = recent_rates[host.role];
    if (recent.size() < few_reads || weight > learn) recent.push_back(sample);
    if (recent.size() > 4 * few_reads) recent.pop_front();
    auto sorted = recent;  // the median, and of few the least: a first read may have waited long
    const auto middle =
        sorted.begin() + static_cast<std::ptrdiff_t>((std::max<std::size_t>(sorted.size(), 2) - 2) / 2);
    std::nth_element(sorted.begin(), middle, sorted.end());
    const double usual = usual_rate[host.role] = *middle;
    any_rate.add(usual, now, 1);
    if (!told) inferred[host.role].add(elapsed / usual - tokens, now, learn);
    host.rate.add(std::min(sample, 4 * usual), now, learn * weight, weight);
    host.read_done = now;
  }
  void on(const Completed& done) {
    const auto found = jobs.find(done.id);
    if (found == jobs.end() || done.attempt >= found->second.attempts.size()) return;
    Job& job = found->second;
    auto& a = job.attempts[done.attempt];
    if (!a.out) return;
    a.out = false;
    const auto at = hosts.find(a.host);
    if (at != hosts.end()) settle(job, a, at->second, done);
    const bool never_ran = done.outcome == Outcome::full || done.outcome == Outcome::moot ||
                           done.outcome == Outcome::connect_failed || done.outcome == Outcome::read;
    const bool at_reader = role_of(a.host) == Role::read;
    if (!never_ran && !at_reader && !job.ran) job.ran = done.attempt;
    if (done.outcome == Outcome::read) {
      job.held = true;
      job.state_at = a.host;
    } else if (at_reader) {
      job.held = false;
    }
    if (done.done) job.ended = true;
    if (job.ended) drop(job);
    else if (job.out() == 0) go_on(job, done);
    forget(done.id);
  }

  // What an outcome tells of its host.
  void settle(Job& job, Attempt& a, Host& host, const Completed& done) {
    std::erase_if(host.out, [&](auto& o) { return o.id == done.id && o.attempt == done.attempt; });
    const bool served = done.outcome == Outcome::ok || done.outcome == Outcome::read;
    const bool failed = done.outcome == Outcome::error || done.outcome == Outcome::reset ||
                        done.outcome == Outcome::connect_failed ||
                        (!a.started && done.outcome == Outcome::timeout);
    if (served || failed) judge(host, failed);
    // Danger: what full hosts turn away is sent again, so they look several times as able as they are (rule 4).
    if (done.outcome == Outcome::full || done.outcome == Outcome::connect_failed)
      flow(host.work_rate, -job.prompt);
    if (served && a.reading) {
      const double kept = std::min<double>(done.note, job.prompt);
      compare_kept(host, a, kept);
      if (job.prompt > 0) fresh_share.add(1 - kept / job.prompt, now, learn / 4);
      a.tokens = std::max(0.0, job.prompt - kept);
      if (!a.started) learn_rate(host, a, us(done.elapsed));
      record(job, a.host, job.prompt);
    } else if (!a.started && (served || (a.cancelled && !job.ended))) {
      learn_start(host, a, us(done.elapsed));  // one called off as overdue took at least this long
    }
    report(host, done.load);
    surveyed = false;
  }

  // An attempt has ended and the request still owes its answer.
  void go_on(Job& job, const Completed& done) {
    if (done.outcome == Outcome::read) return write(job);
    if (now >= job.deadline || done.outcome == Outcome::moot) return end(job, false);
    // Danger: doing twice what may have run. An unsafe request fails then, it is neither resent nor refused.
    if (cls(job).effect == Effect::unsafe && job.ran) return end(job, false);
    const bool lost = done.outcome == Outcome::full && done.note == 1;
    if (job.held && !lost) return write(job, done.host);
    // Danger: a silent reader that holds most of the prompt stays the cheapest, and is asked to the end.
    start(job, done.outcome == Outcome::cancelled ? done.host : 0);
  }

  void on(const Abandoned& gone) {
    const auto found = jobs.find(gone.id);
    if (found == jobs.end()) return;
    found->second.ended = true;
    drop(found->second);
    forget(gone.id);
  }

  // Danger: an attempt stuck at a crawling or cut-off host. Once it is overdue and another host would be done
  // sooner than this one has taken already, it is called off and the request goes elsewhere. One attempt is
  // kept for the write. When every host is slow no other would be sooner, and nothing is called off.
  void on(const Alarm& alarm) {
    if (alarm.cookie == 0) {
      if (s.discovery_on_request) act(Subscribe{true});
      return;
    }
    const auto due = alarms.find(alarm.cookie);
    if (due == alarms.end()) return;
    const Outstanding which = due->second;
    alarms.erase(due);
    const auto found = jobs.find(which.id);
    if (found == jobs.end() || found->second.ended) return;
    Job& job = found->second;
    auto& a = job.attempts[which.attempt];
    if (!a.out || a.started || a.cancelled || which.attempt + 1u != job.attempts.size()) return;
    const double elapsed = us(now - a.sent);
    const bool at_reader = role_of(a.host) == Role::read;
    const std::size_t needed = job.held ? 1 : 2;
    const bool may_repeat = at_reader || cls(job).effect == Effect::safe;
    if (s.may_cancel && may_repeat && job.attempts.size() + needed <= job.most_attempts) {
      const Pick other = job.held ? pick_writer(job, a.host) : pick_reader(job, a.host);
      const double sooner = job.held ? (start_norm.known ? start_norm.value : elapsed) : other.score;
      if (other.found && sooner < elapsed && us(job.deadline - now) > sooner)
        return call_off(job, which.attempt);
    }
    watch(job, which.attempt, elapsed);
  }

  void on(const HealthResult& probe) {
    const auto host = hosts.find(probe.host);
    if (host == hosts.end()) return;
    judge(host->second, probe.outcome != Outcome::ok);
    report(host->second, probe.load);
  }
  void on(const auto&) {}  // places are never held ahead, and each instance decides by what it sees itself

  void forget(RequestId id) {
    const auto found = jobs.find(id);
    if (found != jobs.end() && found->second.ended && found->second.out() == 0 && !found->second.held)
      jobs.erase(found);
  }
};

// The seed is unused: nothing is decided by chance.
Scheduler::Scheduler(Settings settings, std::uint64_t) : core_(std::make_unique<Core>(std::move(settings))) {}
Scheduler::~Scheduler() = default;
Scheduler::Scheduler(Scheduler&&) noexcept = default;
Scheduler& Scheduler::operator=(Scheduler&&) noexcept = default;

void Scheduler::explain(std::function<void(const Choice&)> to) { core_->told_to = std::move(to); }
void Scheduler::retune(Settings settings) { core_->take(std::move(settings)); }

Lessons Scheduler::lessons(Micros now) const {
  Lessons all;
  for (const auto& one : core_->usual_rate) all.read_rates.push_back(one);
  for (const auto& [id, host] : core_->hosts)
    if (host.listed && host.work_rate.known)
      all.sent.emplace_back(id, host.work_rate.value * host.work_rate.fresh(now, core_->fade));
  return all;
}
// Danger: a process that takes over in a jam takes its first reads' waits for their rate, and refuses all.
void Scheduler::believe(Micros now, const Lessons& lessons) {
  for (const auto& [role, rate] : lessons.read_rates) {
    auto& recent = core_->recent_rates[role];
    if (!std::isfinite(rate) || rate <= 0 || recent.size() >= few_reads) continue;
    recent.insert(recent.begin(), 2 * few_reads, rate);
    core_->usual_rate[role] = rate;
    core_->any_rate.add(rate, now, 1);
  }
  for (const auto& [id, rate] : lessons.sent) {
    const auto host = core_->hosts.find(id);
    if (host == core_->hosts.end() || !std::isfinite(rate) || rate <= 0) continue;
    if (host->second.sent.empty()) host->second.work_rate.add(rate, now, 1);
  }
}

std::vector<HostId> Scheduler::avoided(Micros now) const {
  std::vector<HostId> ids;
  core_->now = std::max(core_->now, now);
  core_->surveyed = false;
  for (const auto& [id, host] : core_->hosts)
    if (host.listed && core_->left_out(host)) ids.push_back(id);
  return ids;
}

void Scheduler::handle(Micros now, const Event& event, std::vector<Action>& actions) {
  core_->now = std::max(core_->now, now);
  if (core_->since == Micros(0)) core_->since = core_->now;
  core_->actions = &actions;
  core_->surveyed = false;
  std::visit([&](const auto& e) { core_->on(e); }, event);
}

}  // namespace lemonroute
