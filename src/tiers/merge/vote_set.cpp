#include "tiers/merge/vote_set.h"

#include <algorithm>
#include <tuple>

namespace lemonroute::tiers {

namespace {
auto contents(const Holder& holder) {
  return std::tuple(holder.device, holder.epoch.start, holder.epoch.loss_counts, holder.tokens,
                    holder.confidence);
}
// A total order of votes without their times. It also orders two different votes with the same stamp, which
// only a lying contributor sends.
bool precedes(const Vote& a, const Vote& b) {
  if (a.stamp != b.stamp)
    return a.stamp < b.stamp;
  if (a.weight != b.weight)
    return a.weight < b.weight;
  return std::lexicographical_compare(a.holders.begin(), a.holders.end(), b.holders.begin(), b.holders.end(),
                                      [](const auto& x, const auto& y) { return contents(x) < contents(y); });
}
bool ranks_before(const VoteSet::Entry& a, const VoteSet::Entry& b) {
  return std::pair(a.rank, a.contributor) < std::pair(b.rank, b.contributor);
}
}  // namespace

VoteSet::PutResult VoteSet::put(Entry entry) {
  const auto at = std::lower_bound(entries_.begin(), entries_.end(), entry, ranks_before);
  if (at == entries_.end() || at->contributor != entry.contributor) {
    if (entries_.size() >= max_votes && at == entries_.end())
      return PutResult::outranked;
    entries_.insert(at, std::move(entry));
    if (entries_.size() > max_votes)
      entries_.pop_back();
    return PutResult::stored;
  }
  auto& vote = at->vote;
  if (precedes(entry.vote, vote))
    return PutResult::not_newer;
  if (precedes(vote, entry.vote)) {
    vote = std::move(entry.vote);
    return PutResult::stored;
  }
  // A repetition of the same vote. The earlier sighting time holds, so a vote never gets younger by a second
  // transfer.
  for (std::size_t i = 0; i < vote.holders.size(); ++i)
    vote.holders[i].seen_at = std::min(vote.holders[i].seen_at, entry.vote.holders[i].seen_at);
  vote.received_at = std::max(vote.received_at, entry.vote.received_at);
  return PutResult::not_newer;
}

void VoteSet::merge(const VoteSet& other) {
  for (const auto& entry : other.entries_)
    put(entry);
}

std::vector<NameId> VoteSet::expire(Micros before) {
  std::vector<NameId> contributors;
  std::erase_if(entries_, [&](const Entry& entry) {
    if (entry.vote.received_at >= before)
      return false;
    contributors.push_back(entry.contributor);
    return true;
  });
  return contributors;
}

const Vote* VoteSet::find(NameId contributor) const {
  for (const auto& entry : entries_)
    if (entry.contributor == contributor)
      return &entry.vote;
  return nullptr;
}
void VoteSet::erase(NameId contributor) {
  std::erase_if(entries_, [&](const auto& one) { return one.contributor == contributor; });
}

double VoteSet::weight() const {
  double first = 0, second = 0;
  for (const auto& entry : entries_) {
    const double weight = entry.vote.weight;
    if (weight > first)
      second = first, first = weight;
    else
      second = std::max(second, weight);
  }
  return std::max(second, first / 2);
}

bool same_votes(const VoteSet& a, const VoteSet& b) {
  return std::equal(a.entries().begin(), a.entries().end(), b.entries().begin(), b.entries().end(),
                    [](const VoteSet::Entry& x, const VoteSet::Entry& y) {
                      return x.contributor == y.contributor && x.vote.stamp == y.vote.stamp &&
                             x.vote.weight == y.vote.weight &&
                             std::equal(x.vote.holders.begin(), x.vote.holders.end(), y.vote.holders.begin(),
                                        y.vote.holders.end(), [](const auto& p, const auto& q) {
                                          return contents(p) == contents(q) && p.seen_at == q.seen_at;
                                        });
                    });
}

}  // namespace lemonroute::tiers
