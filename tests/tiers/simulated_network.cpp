#include "simulated_network.h"

#include <algorithm>

namespace lemonroute::tiers {

SimulatedNetwork::SimulatedNetwork(NetworkOptions options) : options_(options), random_(options.seed) {
  const auto count = options_.routers;
  partitions_.assign(count, 0);
  stopped_.assign(count, false);
  first_tick_at_.assign(count, now_);
  start_.assign(count, 1'000'000);
  bytes_out_.assign(count, 0);
  bytes_in_.assign(count, 0);
  for (std::size_t j = 0; j < options_.devices; ++j) {
    Node node;
    node.id = static_cast<EndpointId>(j + 1);
    node.name = numbered("d", j);
    node.zone = site(j);
    node.listed_start = std::chrono::seconds(10);
    devices_.push_back(node);
  }
  lists_.assign(count, devices_);
  for (std::size_t i = 0; i < count; ++i)
    extensions_.push_back(make(i));
  update_views();
}

std::unique_ptr<TiersExtension> SimulatedNetwork::make(std::size_t i) {
  Options options{name(i), site(i), start_[i], 4711, {}, options_.limits};
  for (std::size_t s = 0; s < options_.sites; ++s)
    options.regions[numbered("r", s % options_.regions)].push_back(numbered("s", s));
  auto extension = std::make_unique<TiersExtension>(options, options_.seed + i);
  extension->on_endpoints(lists_[i], now_);
  first_tick_at_[i] =
      now_ + Micros(static_cast<long>(random_() % static_cast<std::uint64_t>(tick_interval.count())));
  return extension;
}

void SimulatedNetwork::update_views() {
  std::vector<std::size_t> by_name(size());
  for (std::size_t i = 0; i < size(); ++i)
    by_name[i] = i;
  std::sort(by_name.begin(), by_name.end(), [&](auto a, auto b) { return name(a) < name(b); });
  for (std::size_t i = 0; i < size(); ++i) {
    if (stopped_[i])
      continue;
    peers::View view;
    view.own_name = name(i);
    for (const auto j : by_name) {
      peers::Member member;
      member.name = name(j);
      member.site = site(j);
      member.start = start_[j];
      member.standing =
          partitions_[i] == partitions_[j] && !stopped_[j] ? peers::Standing::alive : peers::Standing::gone;
      view.members.push_back(member);
    }
    extensions_[i]->on_view_change(now_, view);
  }
}

void SimulatedNetwork::send(std::size_t from, std::string_view to, std::string bytes) {
  const auto j = std::stoul(std::string(to.substr(1)));
  bytes_out_[from] += bytes.size();
  digest_.add(now_, from, j, bytes);
  const auto random_fraction = [&] { return static_cast<double>(random_() >> 11) * 0x1p-53; };
  if (j >= size() || partitions_[from] != partitions_[j] || bytes.size() > peers::Outbox::max_payload_bytes)
    return;
  const auto shared = std::make_shared<const std::string>(std::move(bytes));
  for (int copies = random_fraction() < options_.duplicate_rate ? 2 : 1; copies > 0; --copies) {
    if (random_fraction() < options_.loss_rate)
      continue;
    const auto span = static_cast<double>((options_.max_delay - options_.min_delay).count());
    datagrams_.push({now_ + options_.min_delay + Micros(static_cast<long>(span * random_fraction())),
                     ++order_, from, j, shared});
  }
}

void SimulatedNetwork::run(Micros span) {
  const auto end = now_ + span;
  while (true) {
    auto next = end;
    std::size_t next_router = size();
    for (std::size_t i = 0; i < size(); ++i)
      if (const auto due = std::max(first_tick_at_[i], extensions_[i]->next_due());
          !stopped_[i] && due < next)
        next = due, next_router = i;
    while (!datagrams_.empty() && datagrams_.top().at <= std::min(next, end)) {
      const auto datagram = datagrams_.top();
      datagrams_.pop();
      now_ = std::max(now_, datagram.at);
      if (stopped_[datagram.to] || partitions_[datagram.from] != partitions_[datagram.to])
        continue;
      bytes_in_[datagram.to] += datagram.bytes->size();
      RouterOutbox out{*this, datagram.to};
      extensions_[datagram.to]->receive(now_, name(datagram.from), *datagram.bytes, out);
    }
    if (next_router == size())
      break;
    now_ = std::max(now_, next);
    RouterOutbox out{*this, next_router};
    extensions_[next_router]->run_due(now_, out);
  }
  now_ = end;
}

void SimulatedNetwork::partition(std::vector<int> partitions) {
  partitions_ = std::move(partitions);
  update_views();
}
void SimulatedNetwork::stop(std::size_t i) {
  stopped_[i] = true;
  update_views();
}
void SimulatedNetwork::restart(std::size_t i) {
  stopped_[i] = false;
  start_[i] += 1'000'000;
  extensions_[i] = make(i);
  update_views();
}
void SimulatedNetwork::restart_device(std::size_t j, const std::function<bool(std::size_t)>& listed_at) {
  devices_[j].listed_start = now_;
  for (std::size_t i = 0; i < size(); ++i) {
    if (!listed_at(i))
      continue;
    lists_[i][j] = devices_[j];
    if (!stopped_[i])
      extensions_[i]->on_endpoints(lists_[i], now_);
  }
}

}  // namespace lemonroute::tiers
