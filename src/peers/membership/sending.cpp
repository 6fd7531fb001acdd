// How packets are put together, within the bound of a datagram.
#include <algorithm>

#include "peers/membership/membership.h"

namespace lemonroute::peers::membership {

namespace {

Fact told(const Entry& entry) {
  Fact fact = entry.fact;
  if (fact.standing == Standing::suspected && !entry.confirmed_by.empty())
    fact.by = entry.confirmed_by;
  return fact;
}

}  // namespace

void Membership::send(const std::string& address, wire::Body body, const Entry* about, bool with_news) {
  Packet packet{own_.own(), std::move(body), {}};
  if (std::holds_alternative<wire::Payload>(packet.body))
    packet.sender.site.clear(), packet.sender.address.clear();
  const std::size_t first = about && about->fact.standing != Standing::alive ? 1 : 0;
  if (first)
    packet.facts.push_back(told(*about));  // what is said against the one it goes to
  if (with_news && !news_.empty()) {
    for (const Entry* entry : news_.next(table_.there()))
      packet.facts.push_back(told(*entry));
  }
  std::size_t count = 0;
  std::string bytes = wire::encode(packet, &count);
  if (with_news && !news_.empty())
    news_.told(count - std::min(count, first));
  ++counters_.sent;
  counters_.sent_bytes += bytes.size();
  out_.push_back({address, std::move(bytes)});
}

void Membership::sync_with(const std::string& address, bool answer) {
  if (!answer) {
    synced_ = true;
    ++counters_.syncs;
  }
  const auto buckets = table_.buckets();
  send(address, wire::Sync{{buckets.begin(), buckets.end()}, answer}, nullptr, false);
}

// What is in the buckets that differ, the gone too: the other may hold them alive. From a bucket drawn anew
// each time, so that what finds no room now is told another time.
void Membership::send_bucket_facts(const std::string& address, const std::vector<std::size_t>& buckets) {
  Packet packet{own_.own(), wire::Facts{}, {}};
  const std::size_t from = random_.below(buckets.size());
  int left = limits::slices;
  std::size_t used = 0;
  const std::size_t room = limits::plain_bytes - wire::size(packet.sender) - 8;
  const auto flush = [&] {
    if (packet.facts.empty() || left == 0)
      return;
    --left;
    std::string bytes = wire::encode(packet);
    ++counters_.sent;
    counters_.sent_bytes += bytes.size();
    out_.push_back({address, std::move(bytes)});
    packet.facts.clear();
    used = 0;
  };
  for (std::size_t step = 0; step < buckets.size() && left > 0; ++step)
    table_.each_in(buckets[(from + step) % buckets.size()], [&](const Entry& entry) {
      const auto size = wire::size(entry.fact);
      if (used + size > room || packet.facts.size() == limits::facts)
        flush();
      if (left == 0)
        return;
      packet.facts.push_back(told(entry));
      used += size;
    });
  flush();
}

void Membership::gossip() {
  if (news_.empty())
    return;
  for (Entry* to : order_.helpers(random_, nullptr, limits::gossip_to)) {
    if (news_.empty())
      return;
    send(to->fact.address, wire::Facts{});
  }
}

void Membership::payload(Topic topic, std::string_view to, std::string bytes) {
  const Entry* entry = table_.find(to);
  if (left_ || !entry || entry->fact.name == own_.own().name || bytes.size() > Outbox::most ||
      payloads_ >= limits::payloads) {
    ++counters_.payloads_dropped;
    return;
  }
  ++payloads_;
  ++counters_.payloads;
  send(entry->fact.address, wire::Payload{static_cast<std::uint32_t>(topic), std::move(bytes)}, nullptr,
       false);
}

void Membership::notice(std::string line) {
  if (notices_.size() < limits::notices)
    notices_.push_back(std::move(line));
}

}  // namespace lemonroute::peers::membership
