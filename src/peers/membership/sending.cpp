// Assembly of packets within the maximum size of a datagram.
#include <algorithm>

#include "peers/membership/membership.h"

namespace lemonroute::peers::membership {

namespace {

// The entry's fact as it is sent: a confirmed suspicion goes in the name of the last router that confirmed
// it.
Fact fact_to_send(const Entry& entry) {
  Fact fact = entry.fact;
  if (fact.standing == Standing::suspected && !entry.confirmed_by.empty())
    fact.reported_by = entry.confirmed_by;
  return fact;
}

}  // namespace

void Membership::send(const std::string& address, wire::Body body, const Entry* about, bool with_broadcasts) {
  Packet packet{self_.fact(), std::move(body), {}};
  if (std::holds_alternative<wire::Payload>(packet.body))
    packet.sender.site.clear(), packet.sender.address.clear();
  const std::size_t about_facts = about && about->fact.standing != Standing::alive ? 1 : 0;
  if (about_facts)
    packet.facts.push_back(fact_to_send(*about));  // the claim against the recipient
  if (with_broadcasts && !broadcasts_.empty()) {
    for (const Entry* entry : broadcasts_.offer(table_.live_count()))
      packet.facts.push_back(fact_to_send(*entry));
  }
  std::size_t count = 0;
  std::string bytes = wire::encode(packet, &count);
  if (with_broadcasts && !broadcasts_.empty())
    broadcasts_.mark_transmitted(count - std::min(count, about_facts));
  ++counters_.sent;
  counters_.sent_bytes += bytes.size();
  out_.push_back({address, std::move(bytes)});
}

void Membership::send_sync(const std::string& address, bool answer) {
  if (!answer) {
    sync_sent_ = true;
    ++counters_.syncs;
  }
  const auto buckets = table_.buckets();
  send(address, wire::Sync{{buckets.begin(), buckets.end()}, answer}, nullptr, false);
}

// Sends the members of the buckets that differ, gone ones too, since the other router may hold them alive. It
// begins at a random bucket, so that members that do not fit are sent in another exchange.
void Membership::send_bucket_facts(const std::string& address, const std::vector<std::size_t>& buckets) {
  Packet packet{self_.fact(), wire::Facts{}, {}};
  const std::size_t from = random_.below(buckets.size());
  int datagrams_left = limits::max_exchange_datagrams;
  std::size_t used = 0;
  const std::size_t room = limits::max_plain_bytes - wire::max_encoded_bytes(packet.sender) - 8;
  const auto flush = [&] {
    if (packet.facts.empty() || datagrams_left == 0)
      return;
    --datagrams_left;
    std::string bytes = wire::encode(packet);
    ++counters_.sent;
    counters_.sent_bytes += bytes.size();
    out_.push_back({address, std::move(bytes)});
    packet.facts.clear();
    used = 0;
  };
  for (std::size_t step = 0; step < buckets.size() && datagrams_left > 0; ++step)
    table_.for_each_in_bucket(buckets[(from + step) % buckets.size()], [&](const Entry& entry) {
      const auto size = wire::max_encoded_bytes(entry.fact);
      if (used + size > room || packet.facts.size() == limits::max_facts)
        flush();
      if (datagrams_left == 0)
        return;
      packet.facts.push_back(fact_to_send(entry));
      used += size;
    });
  flush();
}

void Membership::gossip() {
  if (broadcasts_.empty())
    return;
  for (Entry* to : probe_order_.random_across_sites(random_, nullptr, limits::gossip_fanout)) {
    if (broadcasts_.empty())
      return;
    send(to->fact.address, wire::Facts{});
  }
}

void Membership::send_payload(Topic topic, std::string_view to, std::string bytes) {
  const Entry* entry = table_.find(to);
  if (left_ || !entry || entry->fact.name == self_.fact().name || bytes.size() > Outbox::max_payload_bytes ||
      payloads_sent_ >= limits::max_payloads) {
    ++counters_.payloads_dropped;
    return;
  }
  ++payloads_sent_;
  ++counters_.payloads;
  send(entry->fact.address, wire::Payload{static_cast<std::uint32_t>(topic), std::move(bytes)}, nullptr,
       false);
}

void Membership::add_notice(std::string line) {
  if (notices_.size() < limits::max_notices)
    notices_.push_back(std::move(line));
}

}  // namespace lemonroute::peers::membership
