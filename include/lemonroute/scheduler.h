// The whole interface of the decision module: settings, events, actions, and the Scheduler that
// turns the ones into the others. It holds no decision; those are all in src/module, one a file.
#pragma once

#include <chrono>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <variant>
#include <vector>

namespace lemonroute {

using Micros = std::chrono::microseconds;  // durations, and times on the caller's clock
using HostId = std::uint32_t;
using RequestId = std::uint64_t;
using Key = std::uint64_t;  // 0 = none

enum class Effect { safe, keyed, unsafe };
enum class Group { all, zone, cell };
enum class Role { read, write, both };
enum class Outcome : std::uint16_t {
  ok = 200,
  read = 210,
  timeout = 408,
  moot = 409,
  full = 429,
  cancelled = 444,
  error = 502,
  reset = 520,
  connect_failed = 521,
};
enum class Phase : std::uint8_t { gone = 0, ready = 1, draining = 2 };
enum class ListKind : std::uint8_t { delta = 0, full = 1, cached = 2, failed = 3 };

struct ClassSettings {
  std::string name;
  Effect effect = Effect::safe;
  Group group = Group::all;
  Micros aim{}, deadline{}, window{};
  Micros aim_per_1000_tokens{}, token_aim{};
  double aim_stretch = 0, late_worth = 0, worth = 1;
  bool stream = false;
};

struct TenantSettings {
  std::string name;
  double quota_rps = 0, share = 0;  // quota 0 = none stated
};

// What the module acts on. The other keys of the wire (prices, score parts) are read and left out:
// nothing in the module depends on them.
struct Settings {
  std::vector<ClassSettings> classes;
  std::vector<TenantSettings> tenants;
  std::vector<Role> kind_role;      // per machine kind
  std::vector<double> kind_memory;  // per machine kind, in tokens
  std::vector<std::string> report_columns;
  bool report_x0_is_memory = false, report_x1_is_unread = false;  // what the two columns are said to mean
  bool report_by_probe = false;                                   // load comes within probe results only
  bool discovery_on_request = false;
  bool writers_read = false, resume = false, place_ahead = false;
  bool may_cancel = false, may_probe = false, second_copies = false, retry_after = false;
  bool marks_retry = false;
  std::uint32_t max_attempts = 1;
  Micros max_retry_after{}, connect_timeout{}, release_within{};
  Micros answer_slack{}, ask_every{}, cold_for{}, drain_grace{}, fall_window{}, tick{};
  double cold_from = 1, fall_multiple = 1, over_share_worth = 1;
  std::uint32_t me = 0, siblings = 1, zone = 0;
};

struct ListEntry {
  HostId host = 0;
  std::uint8_t zone = 0, kind = 0;
  std::uint16_t cell = 0;
  Phase phase = Phase::ready;
  float weight = 1;
  Micros started{};  // 0 = long ago
};

// ---- Events ----
struct HostList {
  ListKind kind = ListKind::full;
  std::uint32_t version = 0;
  std::vector<ListEntry> hosts;
};
// What others say is kept of a request's prompt at a host. Never depended on: the host's own counts correct
// it.
struct KeptHint {
  HostId host = 0;
  double tokens = 0;      // of the prompt, from its beginning
  double confidence = 0;  // 0 to 1
};
struct Request {
  RequestId id = 0;
  std::uint16_t cls = 0, tenant = 0;
  Key session = 0;
  Micros budget{}, expected{};
  Key shared = 0;
  float prompt = 0, shared_prefix = 0, max_output = 0;
  std::uint8_t flags = 0;         // 1 expected is valid, 2 a repeat, 16 resumed after a break
  std::vector<KeptHint> hints{};  // a few; empty where routers share nothing
};
struct First {
  RequestId id = 0;
  HostId host = 0;
  std::uint16_t attempt = 0;
  Micros elapsed{};
};
struct PlaceNote {
  RequestId id = 0;
  HostId host = 0;
  std::uint8_t kind = 0;  // 1 held, 2 not held
  float value = 0;
  std::uint16_t attempt = 0;
};
struct Completed {
  RequestId id = 0;
  Outcome outcome = Outcome::ok;
  bool done = false;
  Micros elapsed{};
  HostId host = 0;
  std::uint32_t note = 0;
  std::uint16_t attempt = 0;
  std::vector<float> load;
};
struct Abandoned {
  RequestId id = 0;
};
struct Alarm {
  std::uint32_t cookie = 0;
};
struct HealthResult {
  HostId host = 0;
  Outcome outcome = Outcome::ok;
  Micros elapsed{};
  std::vector<float> load;
};
struct PeerMessage {
  std::uint16_t from = 0;
  std::string blob;
};
// What was kept at that host is gone, as another instance noticed.
struct Void {
  HostId host = 0;
};
using Event = std::variant<HostList, Request, First, PlaceNote, Completed, Abandoned, Alarm, HealthResult,
                           PeerMessage, Void>;

// ---- Actions ----
struct Send {
  RequestId id = 0;
  Micros within{};
  HostId host = 0;
};  // within 0: until the client gives up
struct Refuse {
  RequestId id = 0;
  Micros stay_away{};
};
struct Fail {
  RequestId id = 0;
};
struct Cancel {
  RequestId id = 0;
  std::uint16_t attempt = 0;
};
struct Sleep {
  std::uint32_t cookie = 0;
  Micros after{};
};
struct Probe {
  HostId host = 0;
};
struct HangUp {
  HostId host = 0;
};
struct Tell {
  std::uint32_t to = 0;
  std::string blob;
};
struct Log {
  std::string line;
};
struct Subscribe {
  bool on = true;
};
struct Snapshot {};
struct Evict {
  RequestId id = 0;
};
struct SetAside {
  RequestId id = 0;
  HostId host = 0;
};
struct Release {
  RequestId id = 0;
};
using Action = std::variant<Send, Refuse, Fail, Cancel, Sleep, Probe, HangUp, Tell, Log, Subscribe, Snapshot,
                            Evict, SetAside, Release>;

// ---- Explanations ----
// What the module believed of one host at the moment of a choice.
struct Candidate {
  HostId host = 0;
  const char* left_out = nullptr;  // why it could not be chosen; null: it could
  double match = 0,
         credit = 0;  // tokens of the prompt kept there: as recorded, and as counted (guessed at a home)
  double rate = 0;    // microseconds a token
  double unread = 0;  // tokens waiting there
  double load = 0, slowness = 1;  // as a writer: share of memory, latency against the usual
  double failing = 0;             // share of recent attempts that failed, 0 to 1
  Micros wait{}, read{};          // the estimate for this request, at a reader
  int near = 0;                   // to the reader that holds the state: 1 in its zone, 2 in its cell
  double score = 0;               // the lowest wins (of writers, the nearest of those near it)
};
// One choice, as it was made. `refused`: the request was turned away before any read, for the figures given.
struct Choice {
  RequestId id = 0;
  Micros at{};
  Role stage = Role::read;
  HostId avoided = 0, chosen = 0;  // 0: none
  bool refused = false;
  Micros wait{}, most_wait{};
  double load = 0, most_load = 0;
  std::vector<Candidate> candidates{};
};

// What one dispatcher has learned that holds for its successor as well, by role and by host.
struct LearnedRates {
  std::vector<std::pair<Role, double>> read_rates;  // the usual, microseconds a token
  std::vector<std::pair<HostId, double>> sent;      // tokens a microsecond that it sends there
};

// One dispatcher. Time never goes back between calls; the same calls give the same actions.
class Scheduler {
 public:
  Scheduler(Settings settings, std::uint64_t seed);
  ~Scheduler();
  Scheduler(Scheduler&&) noexcept;
  Scheduler& operator=(Scheduler&&) noexcept;
  void handle(Micros now, const Event& event, std::vector<Action>& actions);  // appends to actions
  void retune(
      Settings settings);  // what was learned stays; requests under way keep the terms they began with
  // From now on `to` hears of each choice, before the action that comes of it. An empty one ends that.
  void explain(std::function<void(const Choice&)> to);
  LearnedRates learned_rates(Micros now) const;
  void take_over(
      Micros now,
      const LearnedRates& learned_rates);         // of another dispatcher; what was learned here counts more
  std::vector<HostId> avoided(Micros now) const;  // listed hosts that are left out by choice

 private:
  struct Core;
  std::unique_ptr<Core> core_;
};

}  // namespace lemonroute
