#include "simulation.h"

#include <algorithm>
#include <cmath>
#include <sstream>
#include <stdexcept>

namespace lemonroute::peers {
namespace {

// Unix time in us at which the simulation's clock is 0.
constexpr std::uint64_t start_unix_us = 1'764'000'000'000'000;
constexpr std::size_t socket_buffer_datagrams = 512;  // buffered for a frozen process; further ones are lost

bool chance(membership::Random& random, double probability) {
  return probability > 0 && random.below(1'000'000) < static_cast<std::uint32_t>(probability * 1'000'000);
}

}  // namespace

struct Simulation::Node {
  std::string name, site, address;
  std::unique_ptr<Agent> agent;
  std::vector<std::unique_ptr<Extension>> extensions;
  std::uint64_t process = 0;  // number of the process; timers of an earlier process are dropped
  bool frozen = false;
  std::vector<std::pair<std::string, std::string>> buffered;  // while frozen: sender's address, bytes
  Micros wake_at = Micros::max();
  Micros offset{};
  double drift = 0;
  Micros extra_latency{};
  double loss = 0;
  Traffic traffic;
  std::int64_t traffic_period = -1;  // period that period_datagrams counts
  std::size_t period_datagrams = 0;
};

struct Simulation::Event {
  Micros at{};
  std::uint64_t order = 0;  // orders events of the same time
  std::size_t member = 0;
  bool is_timer = false;
  std::uint64_t process = 0;  // of a timer
  std::string from, bytes;
};

// Orders the heap so that the earliest event is at its front.
struct Simulation::LaterEvent {
  bool operator()(const Event& a, const Event& b) const {
    return std::tie(a.at, a.order) > std::tie(b.at, b.order);
  }
};

Simulation::Simulation(Settings settings) : settings_(settings), random_(settings.seed) {}
Simulation::Simulation(Simulation&&) noexcept = default;
Simulation::~Simulation() = default;

// The digest covers the lines, so that another wording changes the digests of all schedules.
void Simulation::record(std::string line) {
  std::ostringstream text;
  text << static_cast<double>(now_.count()) / static_cast<double>(settings_.period.count()) << ": " << line;
  trace_.push_back(text.str());
  digest_.add(now_, line);
}

std::size_t Simulation::add(std::string name, std::string site) {
  const auto member = nodes_.size();
  auto node = std::make_unique<Node>();
  node->name = std::move(name);
  node->site = std::move(site);
  node->address = std::string("10.") + std::to_string(member / 62500) + "." +
                  std::to_string(member / 250 % 250) + "." + std::to_string(member % 250 + 1) + ":7946";
  by_address_[node->address] = member;
  nodes_.push_back(std::move(node));
  return member;
}

Simulation::Members Simulation::add_many(std::size_t count, std::size_t sites) {
  Members added;
  for (std::size_t at = 0; at < count; ++at)
    added.push_back(add(std::string("c") + std::to_string(nodes_.size()),
                        std::string("site") + std::to_string(nodes_.size() % sites)));
  return added;
}

void Simulation::start(std::size_t member) {
  Node& node = *nodes_[member];
  if (node.agent)
    return;
  record("start " + node.name);
  ++node.process;
  node.frozen = false;
  node.buffered.clear();
  node.wake_at = Micros::max();
  AgentOptions options;
  options.name = node.name;
  options.site = node.site;
  options.address = node.address;
  options.start =
      start_unix_us + static_cast<std::uint64_t>((local_time(member) + Micros(node.process)).count());
  options.period = settings_.period;
  options.max_members = settings_.max_members;
  for (std::size_t at = 0; at < std::min(settings_.seed_members, nodes_.size()); ++at)
    options.seeds.push_back(nodes_[at]->address);
  node.agent = std::make_unique<Agent>(options, settings_.seed * 1'000'003 + member * 1009 + node.process);
  if (extension_factory_)
    node.extensions = extension_factory_(member);
  for (auto& extension : node.extensions)
    node.agent->add_extension(*extension);
  node.agent->start(local_time(member));
  send_outgoing(member);
}

void Simulation::start_all() {
  for (std::size_t member = 0; member < nodes_.size(); ++member)
    start(member);
}

void Simulation::kill(std::size_t member) {
  Node& node = *nodes_[member];
  if (!node.agent)
    return;
  record("kill " + node.name);
  node.agent.reset();
  node.extensions.clear();
  node.buffered.clear();
  node.frozen = false;
}

void Simulation::change_address(std::size_t member, std::string address) {
  Node& node = *nodes_[member];
  record("move " + node.name + " to " + address);
  by_address_.erase(node.address);
  node.address = std::move(address);
  by_address_[node.address] = member;
}

void Simulation::leave(std::size_t member) {
  Node& node = *nodes_[member];
  if (!node.agent || node.frozen)
    return;
  record("leave " + node.name);
  node.agent->leave(local_time(member));
  send_outgoing(member);
  node.agent.reset();
  node.extensions.clear();
}

void Simulation::freeze(std::size_t member) {
  if (!nodes_[member]->agent)
    return;
  record("freeze " + nodes_[member]->name);
  nodes_[member]->frozen = true;
}

void Simulation::resume(std::size_t member) {
  Node& node = *nodes_[member];
  if (!node.agent || !node.frozen)
    return;
  record("thaw " + node.name);
  node.frozen = false;
  const bool timers_first = random_.below(2) == 0;
  if (timers_first)
    node.agent->run_due(local_time(member));
  for (auto& [from, bytes] : std::exchange(node.buffered, {}))
    node.agent->receive(local_time(member), from, bytes);
  if (!timers_first)
    node.agent->run_due(local_time(member));
  send_outgoing(member);
}

void Simulation::set_clock(std::size_t member, Micros offset, double drift) {
  record("clock of " + nodes_[member]->name + " off by " + std::to_string(offset.count()) + " us, rate " +
         std::to_string(drift));
  nodes_[member]->offset = offset;
  nodes_[member]->drift = drift;
}

std::size_t Simulation::partition(const Members& from, const Members& to, bool both_ways) {
  Partition partition{++partition_number_, std::vector<bool>(nodes_.size()),
                      std::vector<bool>(nodes_.size())};
  std::string line = both_ways ? "cut both ways:" : "cut one way:";
  for (const auto member : from)
    partition.from[member] = true, line += " " + nodes_[member]->name;
  line += " |";
  for (const auto member : to)
    partition.to[member] = true, line += " " + nodes_[member]->name;
  record(line);
  partitions_.push_back(partition);
  if (both_ways) {
    std::swap(partition.from, partition.to);
    partitions_.push_back(std::move(partition));
  }
  return partition_number_;
}

void Simulation::heal(std::size_t number) {
  record("heal cut " + std::to_string(number));
  std::erase_if(partitions_, [&](const Partition& partition) { return partition.number == number; });
}

void Simulation::heal_all() {
  record("heal all");
  partitions_.clear();
  for (std::size_t member = 0; member < nodes_.size(); ++member) {
    nodes_[member]->extra_latency = Micros{};
    nodes_[member]->loss = 0;
    resume(member);
  }
}

void Simulation::set_extra_latency(std::size_t member, Micros latency) {
  record("slow " + nodes_[member]->name + " by " + std::to_string(latency.count()) + " us");
  nodes_[member]->extra_latency = latency;
}

void Simulation::set_loss(std::size_t member, double loss) {
  record("lose " + std::to_string(loss) + " at " + nodes_[member]->name);
  nodes_[member]->loss = loss;
}

bool Simulation::is_blocked(std::size_t from, std::size_t to) const {
  return std::any_of(partitions_.begin(), partitions_.end(), [&](const Partition& partition) {
    return from < partition.from.size() && to < partition.to.size() && partition.from[from] &&
           partition.to[to];
  });
}

Micros Simulation::local_time(std::size_t member) const {
  const Node& node = *nodes_[member];
  return now_ + node.offset + Micros(std::llround(static_cast<double>(now_.count()) * node.drift));
}

void Simulation::schedule_wake(std::size_t member) {
  Node& node = *nodes_[member];
  if (!node.agent || node.frozen)
    return;
  const Micros due = node.agent->next_due();
  if (due == Micros::max())
    return;
  const double delay_us = std::max<double>(0, static_cast<double>((due - local_time(member)).count()));
  const Micros at = now_ + Micros(static_cast<std::int64_t>(std::ceil(delay_us / (1 + node.drift))));
  if (node.wake_at > now_ && node.wake_at <= at)
    return;
  node.wake_at = at;
  queue_.push_back({at, ++events_, member, true, node.process, "", ""});
  std::push_heap(queue_.begin(), queue_.end(), LaterEvent());
}

void Simulation::send_outgoing(std::size_t member) {
  Node& node = *nodes_[member];
  for (auto& datagram : node.agent->take_datagrams())
    transmit(member, std::move(datagram));
  schedule_wake(member);
}

void Simulation::transmit(std::size_t from, Datagram datagram) {
  digest_.add(now_, from, datagram.to, datagram.bytes);
  Node& node = *nodes_[from];
  auto& traffic = node.traffic;
  ++traffic.datagrams;
  traffic.bytes += datagram.bytes.size();
  traffic.largest_bytes = std::max(traffic.largest_bytes, datagram.bytes.size());
  if (const auto period = now_ / settings_.period; period != node.traffic_period)
    node.traffic_period = period, node.period_datagrams = 0;
  traffic.max_per_period = std::max(traffic.max_per_period, ++node.period_datagrams);

  const auto found = by_address_.find(datagram.to);
  if (found == by_address_.end())
    return;
  const std::size_t to = found->second;
  const Link& link = settings_.link;
  const double loss = 1 - (1 - link.loss) * (1 - node.loss) * (to == from ? 1 : 1 - nodes_[to]->loss);
  if (is_blocked(from, to) || chance(random_, loss))
    return;
  for (int copies = chance(random_, link.duplication) ? 2 : 1; copies > 0; --copies) {
    Event event{now_ + link.latency + node.extra_latency + nodes_[to]->extra_latency,
                ++events_,
                to,
                false,
                0,
                node.address,
                datagram.bytes};
    event.at += Micros(random_.below(static_cast<std::size_t>(link.jitter.count()) + 1));
    if (chance(random_, link.reordering))
      event.at += link.latency * 5;
    if (chance(random_, link.corruption)) {
      if (!settings_.deliver_corrupted || event.bytes.empty())
        continue;
      for (int flips = 1 + static_cast<int>(random_.below(4)); flips > 0; --flips)
        event.bytes[random_.below(event.bytes.size())] ^= static_cast<char>(1 << random_.below(8));
    }
    queue_.push_back(std::move(event));
    std::push_heap(queue_.begin(), queue_.end(), LaterEvent());
  }
}

void Simulation::inject(const std::string& to, std::string bytes, const std::string& from) {
  const auto found = by_address_.find(to);
  if (found == by_address_.end())
    return;
  queue_.push_back({now_, ++events_, found->second, false, 0, from, std::move(bytes)});
  std::push_heap(queue_.begin(), queue_.end(), LaterEvent());
}

void Simulation::handle(Event& event) {
  Node& node = *nodes_[event.member];
  if (event.is_timer) {
    if (event.process != node.process || node.wake_at != event.at)
      return;
    node.wake_at = Micros::max();
  }
  if (!node.agent)
    return;
  if (node.frozen) {
    if (!event.is_timer && node.buffered.size() < socket_buffer_datagrams)
      node.buffered.emplace_back(std::move(event.from), std::move(event.bytes));
    return;
  }
  if (event.is_timer)
    node.agent->run_due(local_time(event.member));
  else
    node.agent->receive(local_time(event.member), event.from, event.bytes);
  send_outgoing(event.member);
}

void Simulation::run_for(Micros time) {
  const Micros end = now_ + time;
  while (!queue_.empty() && queue_.front().at <= end) {
    std::pop_heap(queue_.begin(), queue_.end(), LaterEvent());
    Event event = std::move(queue_.back());
    queue_.pop_back();
    now_ = event.at;
    handle(event);
  }
  now_ = end;
}

std::optional<double> Simulation::run_until(const std::function<bool()>& condition, double periods) {
  for (double passed = 0; passed <= periods; ++passed) {
    if (condition())
      return passed;
    run_periods(1);
  }
  return std::nullopt;
}

bool Simulation::running(std::size_t member) const {
  return nodes_[member]->agent != nullptr;
}
Agent& Simulation::agent(std::size_t member) const {
  return *nodes_[member]->agent;
}
const std::string& Simulation::name(std::size_t member) const {
  return nodes_[member]->name;
}
const std::string& Simulation::address(std::size_t member) const {
  return nodes_[member]->address;
}
const Simulation::Traffic& Simulation::traffic(std::size_t member) const {
  return nodes_[member]->traffic;
}

Extension& Simulation::extension(std::size_t member, Topic topic) const {
  for (const auto& extension : nodes_[member]->extensions)
    if (extension->topic() == topic)
      return *extension;
  throw std::out_of_range("no such extension");
}

std::size_t Simulation::find(std::string_view name) const {
  for (std::size_t member = 0; member < nodes_.size(); ++member)
    if (nodes_[member]->name == name)
      return member;
  return nodes_.size();
}

bool Simulation::converged(std::string* why) const {
  const auto differs = [&](std::string difference) {
    if (why)
      *why = std::move(difference);
    return false;
  };
  const View* first = nullptr;
  std::size_t running = 0;
  for (const auto& node : nodes_)
    running += node->agent ? 1 : 0;
  for (const auto& node : nodes_) {
    if (!node->agent)
      continue;
    const View& view = node->agent->view();
    if (!first)
      first = &view;
    for (const auto& other : nodes_) {
      const Member* seen = view.find(other->name);
      if (other->agent && !(seen && seen->is_live() && seen->address == other->address))
        return differs(node->name + " does not see " + other->name);
      if (!other->agent && seen && seen->is_live())
        return differs(node->name + " still sees " + other->name);
      const Member* reference = first->find(other->name);
      if (other->agent && (reference->start != seen->start || reference->incarnation != seen->incarnation))
        return differs(node->name + " has other facts of " + other->name + " than " + first->own_name);
    }
    if (view.live_count() != running)
      return differs(node->name + " sees " + std::to_string(view.live_count()) + " of " +
                     std::to_string(running));
  }
  return true;
}

std::size_t Simulation::count_false_gone() const {
  std::size_t count = 0;
  for (const auto& node : nodes_) {
    if (!node->agent)
      continue;
    for (const Member& member : node->agent->view().members) {
      const auto other = find(member.name);
      if (!member.is_live() && other < nodes_.size() && nodes_[other]->agent)
        ++count;
    }
  }
  return count;
}

}  // namespace lemonroute::peers
