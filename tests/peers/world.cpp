#include "world.h"

#include <algorithm>
#include <cmath>
#include <sstream>
#include <stdexcept>

namespace lemonroute::peers {
namespace {

constexpr std::uint64_t unix_zero = 1'764'000'000'000'000;  // of the world's clock
constexpr std::size_t socket_buffer = 512;                  // datagrams that wait for a frozen process

bool chance(membership::Random& random, double share) {
  return share > 0 && random.below(1'000'000) < static_cast<std::uint32_t>(share * 1'000'000);
}

}  // namespace

struct World::Node {
  std::string name, site, address;
  std::unique_ptr<Agent> agent;
  std::vector<std::unique_ptr<Extension>> extensions;
  std::uint64_t run = 0;  // which process; what was meant for an older one is dropped
  bool frozen = false;
  std::vector<std::pair<std::string, std::string>> waiting;  // for a frozen one: from, bytes
  Micros wake = Micros::max();
  Micros offset{};
  double rate = 0;
  Micros slow{};
  double lose = 0;
  Traffic traffic;
  std::int64_t window = -1;
  std::size_t in_window = 0;
};

struct World::Event {
  Micros at{};
  std::uint64_t order = 0;
  std::size_t member = 0;
  bool wake = false;
  std::uint64_t run = 0;
  std::string from, bytes;
};

struct World::Later {
  bool operator()(const Event& a, const Event& b) const {
    return std::tie(a.at, a.order) > std::tie(b.at, b.order);
  }
};

World::World(Settings settings) : settings_(settings), random_(settings.seed) {}
World::World(World&&) noexcept = default;
World::~World() = default;

void World::note(std::string line) {
  std::ostringstream text;
  text << static_cast<double>(now_.count()) / static_cast<double>(settings_.period.count()) << ": " << line;
  trace_.push_back(text.str());
  digest_.add(now_, line);
}

std::size_t World::add(std::string name, std::string site) {
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

World::Members World::add_many(std::size_t count, std::size_t sites) {
  Members made;
  for (std::size_t at = 0; at < count; ++at)
    made.push_back(add(std::string("c") + std::to_string(nodes_.size()),
                       std::string("site") + std::to_string(nodes_.size() % sites)));
  return made;
}

void World::start(std::size_t member) {
  Node& node = *nodes_[member];
  if (node.agent)
    return;
  note("start " + node.name);
  ++node.run;
  node.frozen = false;
  node.waiting.clear();
  node.wake = Micros::max();
  Options options;
  options.name = node.name;
  options.site = node.site;
  options.address = node.address;
  options.start = unix_zero + static_cast<std::uint64_t>((local(member) + Micros(node.run)).count());
  options.period = settings_.period;
  options.most_members = settings_.most_members;
  for (std::size_t at = 0; at < std::min(settings_.seeds, nodes_.size()); ++at)
    options.seeds.push_back(nodes_[at]->address);
  node.agent = std::make_unique<Agent>(options, settings_.seed * 1'000'003 + member * 1009 + node.run);
  if (attach_)
    node.extensions = attach_(member);
  for (auto& extension : node.extensions)
    node.agent->add(*extension);
  node.agent->start(local(member));
  flush(member);
}

void World::start_all() {
  for (std::size_t member = 0; member < nodes_.size(); ++member)
    start(member);
}

void World::kill(std::size_t member) {
  Node& node = *nodes_[member];
  if (!node.agent)
    return;
  note("kill " + node.name);
  node.agent.reset();
  node.extensions.clear();
  node.waiting.clear();
  node.frozen = false;
}

void World::move(std::size_t member, std::string address) {
  Node& node = *nodes_[member];
  note("move " + node.name + " to " + address);
  by_address_.erase(node.address);
  node.address = std::move(address);
  by_address_[node.address] = member;
}

void World::leave(std::size_t member) {
  Node& node = *nodes_[member];
  if (!node.agent || node.frozen)
    return;
  note("leave " + node.name);
  node.agent->leave(local(member));
  flush(member);
  node.agent.reset();
  node.extensions.clear();
}

void World::freeze(std::size_t member) {
  if (!nodes_[member]->agent)
    return;
  note("freeze " + nodes_[member]->name);
  nodes_[member]->frozen = true;
}

void World::thaw(std::size_t member) {
  Node& node = *nodes_[member];
  if (!node.agent || !node.frozen)
    return;
  note("thaw " + node.name);
  node.frozen = false;
  const bool timers_first = random_.below(2) == 0;
  if (timers_first)
    node.agent->run_due(local(member));
  for (auto& [from, bytes] : std::exchange(node.waiting, {}))
    node.agent->receive(local(member), from, bytes);
  if (!timers_first)
    node.agent->run_due(local(member));
  flush(member);
}

void World::clock(std::size_t member, Micros offset, double rate) {
  note("clock of " + nodes_[member]->name + " off by " + std::to_string(offset.count()) + " us, rate " +
       std::to_string(rate));
  nodes_[member]->offset = offset;
  nodes_[member]->rate = rate;
}

std::size_t World::cut(const Members& from, const Members& to, bool both_ways) {
  Cut made{++cut_number_, std::vector<bool>(nodes_.size()), std::vector<bool>(nodes_.size())};
  std::string line = both_ways ? "cut both ways:" : "cut one way:";
  for (const auto member : from)
    made.from[member] = true, line += " " + nodes_[member]->name;
  line += " |";
  for (const auto member : to)
    made.to[member] = true, line += " " + nodes_[member]->name;
  note(line);
  cuts_.push_back(made);
  if (both_ways) {
    std::swap(made.from, made.to);
    cuts_.push_back(std::move(made));
  }
  return cut_number_;
}

void World::heal(std::size_t number) {
  note("heal cut " + std::to_string(number));
  std::erase_if(cuts_, [&](const Cut& cut) { return cut.number == number; });
}

void World::heal_all() {
  note("heal all");
  cuts_.clear();
  for (std::size_t member = 0; member < nodes_.size(); ++member) {
    nodes_[member]->slow = Micros{};
    nodes_[member]->lose = 0;
    thaw(member);
  }
}

void World::slow(std::size_t member, Micros more) {
  note("slow " + nodes_[member]->name + " by " + std::to_string(more.count()) + " us");
  nodes_[member]->slow = more;
}

void World::lose(std::size_t member, double share) {
  note("lose " + std::to_string(share) + " at " + nodes_[member]->name);
  nodes_[member]->lose = share;
}

bool World::is_cut(std::size_t from, std::size_t to) const {
  return std::any_of(cuts_.begin(), cuts_.end(), [&](const Cut& cut) {
    return from < cut.from.size() && to < cut.to.size() && cut.from[from] && cut.to[to];
  });
}

Micros World::local(std::size_t member) const {
  const Node& node = *nodes_[member];
  return now_ + node.offset + Micros(std::llround(static_cast<double>(now_.count()) * node.rate));
}

void World::schedule(std::size_t member) {
  Node& node = *nodes_[member];
  if (!node.agent || node.frozen)
    return;
  const Micros due = node.agent->next_due();
  if (due == Micros::max())
    return;
  const double ahead = std::max<double>(0, static_cast<double>((due - local(member)).count()));
  const Micros at = now_ + Micros(static_cast<std::int64_t>(std::ceil(ahead / (1 + node.rate))));
  if (node.wake > now_ && node.wake <= at)
    return;
  node.wake = at;
  queue_.push_back({at, ++events_, member, true, node.run, "", ""});
  std::push_heap(queue_.begin(), queue_.end(), Later());
}

void World::flush(std::size_t member) {
  Node& node = *nodes_[member];
  for (auto& datagram : node.agent->take())
    carry(member, std::move(datagram));
  schedule(member);
}

void World::carry(std::size_t from, Datagram datagram) {
  digest_.add(now_, from, datagram.to, datagram.bytes);
  Node& node = *nodes_[from];
  auto& traffic = node.traffic;
  ++traffic.datagrams;
  traffic.bytes += datagram.bytes.size();
  traffic.largest = std::max(traffic.largest, datagram.bytes.size());
  if (const auto window = now_ / settings_.period; window != node.window)
    node.window = window, node.in_window = 0;
  traffic.most_in_period = std::max(traffic.most_in_period, ++node.in_window);

  const auto found = by_address_.find(datagram.to);
  if (found == by_address_.end())
    return;
  const std::size_t to = found->second;
  const Link& link = settings_.link;
  const double lose = 1 - (1 - link.lose) * (1 - node.lose) * (to == from ? 1 : 1 - nodes_[to]->lose);
  if (is_cut(from, to) || chance(random_, lose))
    return;
  for (int copies = chance(random_, link.repeat) ? 2 : 1; copies > 0; --copies) {
    Event event{now_ + link.latency + node.slow + nodes_[to]->slow,
                ++events_,
                to,
                false,
                0,
                node.address,
                datagram.bytes};
    event.at += Micros(random_.below(static_cast<std::size_t>(link.jitter.count()) + 1));
    if (chance(random_, link.reorder))
      event.at += link.latency * 5;
    if (chance(random_, link.corrupt)) {
      if (!settings_.unsealed || event.bytes.empty())
        continue;
      for (int flips = 1 + static_cast<int>(random_.below(4)); flips > 0; --flips)
        event.bytes[random_.below(event.bytes.size())] ^= static_cast<char>(1 << random_.below(8));
    }
    queue_.push_back(std::move(event));
    std::push_heap(queue_.begin(), queue_.end(), Later());
  }
}

void World::inject(const std::string& to, std::string bytes, const std::string& from) {
  const auto found = by_address_.find(to);
  if (found == by_address_.end())
    return;
  queue_.push_back({now_, ++events_, found->second, false, 0, from, std::move(bytes)});
  std::push_heap(queue_.begin(), queue_.end(), Later());
}

void World::handle(Event& event) {
  Node& node = *nodes_[event.member];
  if (event.wake) {
    if (event.run != node.run || node.wake != event.at)
      return;
    node.wake = Micros::max();
  }
  if (!node.agent)
    return;
  if (node.frozen) {
    if (!event.wake && node.waiting.size() < socket_buffer)
      node.waiting.emplace_back(std::move(event.from), std::move(event.bytes));
    return;
  }
  if (event.wake)
    node.agent->run_due(local(event.member));
  else
    node.agent->receive(local(event.member), event.from, event.bytes);
  flush(event.member);
}

void World::run_for(Micros time) {
  const Micros end = now_ + time;
  while (!queue_.empty() && queue_.front().at <= end) {
    std::pop_heap(queue_.begin(), queue_.end(), Later());
    Event event = std::move(queue_.back());
    queue_.pop_back();
    now_ = event.at;
    handle(event);
  }
  now_ = end;
}

std::optional<double> World::run_until(const std::function<bool()>& fact, double periods) {
  for (double passed = 0; passed <= periods; ++passed) {
    if (fact())
      return passed;
    run_periods(1);
  }
  return std::nullopt;
}

bool World::running(std::size_t member) const {
  return nodes_[member]->agent != nullptr;
}
Agent& World::agent(std::size_t member) const {
  return *nodes_[member]->agent;
}
const std::string& World::name(std::size_t member) const {
  return nodes_[member]->name;
}
const std::string& World::address(std::size_t member) const {
  return nodes_[member]->address;
}
const World::Traffic& World::traffic(std::size_t member) const {
  return nodes_[member]->traffic;
}

Extension& World::extension(std::size_t member, Topic topic) const {
  for (const auto& extension : nodes_[member]->extensions)
    if (extension->topic() == topic)
      return *extension;
  throw std::out_of_range("no such extension");
}

std::size_t World::find(std::string_view name) const {
  for (std::size_t member = 0; member < nodes_.size(); ++member)
    if (nodes_[member]->name == name)
      return member;
  return nodes_.size();
}

bool World::one_view(std::string* why) const {
  const auto says = [&](std::string text) {
    if (why)
      *why = std::move(text);
    return false;
  };
  const View* first = nullptr;
  std::size_t run = 0;
  for (const auto& node : nodes_)
    run += node->agent ? 1 : 0;
  for (const auto& node : nodes_) {
    if (!node->agent)
      continue;
    const View& view = node->agent->view();
    if (!first)
      first = &view;
    for (const auto& other : nodes_) {
      const Member* seen = view.find(other->name);
      if (other->agent && !(seen && seen->there() && seen->address == other->address))
        return says(node->name + " does not see " + other->name);
      if (!other->agent && seen && seen->there())
        return says(node->name + " still sees " + other->name);
      const Member* said = first->find(other->name);
      if (other->agent && (said->start != seen->start || said->incarnation != seen->incarnation))
        return says(node->name + " knows another word of " + other->name + " than " + first->me);
    }
    if (view.there() != run)
      return says(node->name + " sees " + std::to_string(view.there()) + " of " + std::to_string(run));
  }
  return true;
}

std::size_t World::false_gone() const {
  std::size_t count = 0;
  for (const auto& node : nodes_) {
    if (!node->agent)
      continue;
    for (const Member& member : node->agent->view().members) {
      const auto other = find(member.name);
      if (!member.there() && other < nodes_.size() && nodes_[other]->agent)
        ++count;
    }
  }
  return count;
}

}  // namespace lemonroute::peers
