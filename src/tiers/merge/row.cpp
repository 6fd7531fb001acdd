#include "tiers/merge/row.h"

#include <algorithm>
#include <tuple>

namespace lemonroute::tiers {

namespace {
auto said(const Holder& holder) {
  return std::tuple(holder.device, holder.generation.start, holder.generation.lanes, holder.tokens,
                    holder.confidence);
}
// A total order of what was said, the times apart: two different votes under one stamp (a liar's) have a
// winner too.
bool earlier(const Vote& a, const Vote& b) {
  if (a.stamp != b.stamp)
    return a.stamp < b.stamp;
  if (a.weight != b.weight)
    return a.weight < b.weight;
  return std::lexicographical_compare(a.holders.begin(), a.holders.end(), b.holders.begin(), b.holders.end(),
                                      [](const auto& x, const auto& y) { return said(x) < said(y); });
}
bool before(const Row::Entry& a, const Row::Entry& b) {
  return std::pair(a.rank, a.contributor) < std::pair(b.rank, b.contributor);
}
}  // namespace

Row::Put Row::put(Entry entry) {
  const auto at = std::lower_bound(entries_.begin(), entries_.end(), entry, before);
  if (at == entries_.end() || at->contributor != entry.contributor) {
    if (entries_.size() >= most && at == entries_.end())
      return Put::outranked;
    entries_.insert(at, std::move(entry));
    if (entries_.size() > most)
      entries_.pop_back();
    return Put::taken;
  }
  auto& vote = at->vote;
  if (earlier(entry.vote, vote))
    return Put::known;
  if (earlier(vote, entry.vote)) {
    vote = std::move(entry.vote);
    return Put::taken;
  }
  // The same words once more: never younger for having been on the way twice.
  for (std::size_t i = 0; i < vote.holders.size(); ++i)
    vote.holders[i].seen = std::min(vote.holders[i].seen, entry.vote.holders[i].seen);
  vote.at = std::max(vote.at, entry.vote.at);
  return Put::known;
}

void Row::merge(const Row& other) {
  for (const auto& entry : other.entries_)
    put(entry);
}

std::vector<NameId> Row::expire(Micros before) {
  std::vector<NameId> whose;
  std::erase_if(entries_, [&](const Entry& entry) {
    if (entry.vote.at >= before)
      return false;
    whose.push_back(entry.contributor);
    return true;
  });
  return whose;
}

const Vote* Row::find(NameId contributor) const {
  for (const auto& entry : entries_)
    if (entry.contributor == contributor)
      return &entry.vote;
  return nullptr;
}
void Row::erase(NameId contributor) {
  std::erase_if(entries_, [&](const auto& one) { return one.contributor == contributor; });
}

double Row::weight() const {
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

bool same(const Row& a, const Row& b) {
  return std::equal(a.entries().begin(), a.entries().end(), b.entries().begin(), b.entries().end(),
                    [](const Row::Entry& x, const Row::Entry& y) {
                      return x.contributor == y.contributor && x.vote.stamp == y.vote.stamp &&
                             x.vote.weight == y.vote.weight &&
                             std::equal(x.vote.holders.begin(), x.vote.holders.end(), y.vote.holders.begin(),
                                        y.vote.holders.end(), [](const auto& p, const auto& q) {
                                          return said(p) == said(q) && p.seen == q.seen;
                                        });
                    });
}

}  // namespace lemonroute::tiers
