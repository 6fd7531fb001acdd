#include "peers/membership/view/present.h"

namespace lemonroute::peers::membership {
namespace {

Member member_of(const Entry& entry) {
  const Fact& fact = entry.fact;
  return {fact.name,     fact.site,   fact.address, fact.start,  fact.incarnation,
          fact.standing, entry.since, fact.by,      entry.heard, entry.unreachable};
}

}  // namespace

Present::Present(std::string me, Micros period) {
  view_.me = std::move(me);
  view_.period = period;
}

void Present::note(const Table& table, Micros now) {
  const bool minority = table.there() * 2 < table.there() + table.gone();
  if (!minority)
    minority_since_.reset();
  else if (!minority_since_)
    minority_since_ = now;
}

const View& Present::view(const Table& table, Micros now) {
  view_.at = now;
  view_.minority_since = minority_since_;
  if (made_of_ != table.version()) {
    made_of_ = view_.version = table.version();
    view_.known = static_cast<std::uint32_t>(table.there() + table.gone());
    view_.members.clear();
    view_.members.reserve(table.entries().size());
    for (const auto& [name, entry] : table.entries())
      view_.members.push_back(member_of(entry));
    return view_;
  }
  std::size_t at = 0;  // only ages have moved
  for (const auto& [name, entry] : table.entries())
    view_.members[at++].heard = entry.heard;
  return view_;
}

}  // namespace lemonroute::peers::membership
