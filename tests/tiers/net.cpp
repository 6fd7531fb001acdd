#include "net.h"

#include <algorithm>

namespace lemonroute::tiers {

Net::Net(NetOptions options) : options_(options), random_(options.seed) {
  const auto count = options_.routers;
  part_.assign(count, 0);
  dead_.assign(count, false);
  begins_.assign(count, now_);
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
  tell_views();
}

std::unique_ptr<Tiers> Net::make(std::size_t i) {
  Options options{name(i), site(i), start_[i], 4711, {}, options_.limits};
  for (std::size_t s = 0; s < options_.sites; ++s)
    options.regions[numbered("r", s % options_.regions)].push_back(numbered("s", s));
  auto extension = std::make_unique<Tiers>(options, options_.seed + i);
  extension->on_endpoints(lists_[i], now_);
  begins_[i] = now_ + Micros(static_cast<long>(random_() % static_cast<std::uint64_t>(tick.count())));
  return extension;
}

void Net::tell_views() {
  std::vector<std::size_t> by_name(size());
  for (std::size_t i = 0; i < size(); ++i)
    by_name[i] = i;
  std::sort(by_name.begin(), by_name.end(), [&](auto a, auto b) { return name(a) < name(b); });
  for (std::size_t i = 0; i < size(); ++i) {
    if (dead_[i])
      continue;
    peers::View view;
    view.own_name = name(i);
    for (const auto j : by_name) {
      peers::Member member;
      member.name = name(j);
      member.site = site(j);
      member.start = start_[j];
      member.standing = part_[i] == part_[j] && !dead_[j] ? peers::Standing::alive : peers::Standing::gone;
      view.members.push_back(member);
    }
    extensions_[i]->on_view_change(now_, view);
  }
}

void Net::post(std::size_t from, std::string_view to, std::string bytes) {
  const auto j = std::stoul(std::string(to.substr(1)));
  bytes_out_[from] += bytes.size();
  digest_.add(now_, from, j, bytes);
  const auto draw = [&] { return static_cast<double>(random_() >> 11) * 0x1p-53; };
  if (j >= size() || part_[from] != part_[j] || bytes.size() > peers::Outbox::max_payload_bytes)
    return;
  const auto shared = std::make_shared<const std::string>(std::move(bytes));
  for (int copies = draw() < options_.repeat ? 2 : 1; copies > 0; --copies) {
    if (draw() < options_.lose)
      continue;
    const auto span = static_cast<double>((options_.most_delay - options_.least_delay).count());
    posts_.push(
        {now_ + options_.least_delay + Micros(static_cast<long>(span * draw())), ++order_, from, j, shared});
  }
}

void Net::run(Micros span) {
  const auto end = now_ + span;
  while (true) {
    auto next = end;
    std::size_t who = size();
    for (std::size_t i = 0; i < size(); ++i)
      if (const auto due = std::max(begins_[i], extensions_[i]->next_due()); !dead_[i] && due < next)
        next = due, who = i;
    while (!posts_.empty() && posts_.top().at <= std::min(next, end)) {
      const auto post = posts_.top();
      posts_.pop();
      now_ = std::max(now_, post.at);
      if (dead_[post.to] || part_[post.from] != part_[post.to])
        continue;
      bytes_in_[post.to] += post.bytes->size();
      Out out{*this, post.to};
      extensions_[post.to]->receive(now_, name(post.from), *post.bytes, out);
    }
    if (who == size())
      break;
    now_ = std::max(now_, next);
    Out out{*this, who};
    extensions_[who]->run_due(now_, out);
  }
  now_ = end;
}

void Net::cut(std::vector<int> parts) {
  part_ = std::move(parts);
  tell_views();
}
void Net::kill(std::size_t i) {
  dead_[i] = true;
  tell_views();
}
void Net::restart(std::size_t i) {
  dead_[i] = false;
  start_[i] += 1'000'000;
  extensions_[i] = make(i);
  tell_views();
}
void Net::restart_device(std::size_t j, const std::function<bool(std::size_t)>& listed_at) {
  devices_[j].listed_start = now_;
  for (std::size_t i = 0; i < size(); ++i) {
    if (!listed_at(i))
      continue;
    lists_[i][j] = devices_[j];
    if (!dead_[i])
      extensions_[i]->on_endpoints(lists_[i], now_);
  }
}

}  // namespace lemonroute::tiers
