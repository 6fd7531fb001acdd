#include "peers/membership/view/view_builder.h"

namespace lemonroute::peers::membership {
namespace {

Member member_of(const Entry& entry) {
  const Fact& fact = entry.fact;
  return {fact.name,        fact.site,        fact.address,         fact.start,
          fact.incarnation, fact.standing,    entry.standing_since, fact.reported_by,
          entry.last_heard, entry.unreachable};
}

}  // namespace

ViewBuilder::ViewBuilder(std::string me, Micros period) {
  view_.own_name = std::move(me);
  view_.period = period;
}

void ViewBuilder::update_minority(const Table& table, Micros now) {
  const bool minority = table.live_count() * 2 < table.live_count() + table.gone_count();
  if (!minority)
    minority_since_.reset();
  else if (!minority_since_)
    minority_since_ = now;
}

const View& ViewBuilder::view(const Table& table, Micros now) {
  view_.made_at = now;
  view_.minority_since = minority_since_;
  if (table_version_ != table.version()) {
    table_version_ = view_.version = table.version();
    view_.known_count = static_cast<std::uint32_t>(table.live_count() + table.gone_count());
    view_.members.clear();
    view_.members.reserve(table.entries().size());
    for (const auto& [name, entry] : table.entries())
      view_.members.push_back(member_of(entry));
    return view_;
  }
  std::size_t at = 0;  // the table's version is the same, so only these times can differ
  for (const auto& [name, entry] : table.entries())
    view_.members[at++].last_heard = entry.last_heard;
  return view_;
}

}  // namespace lemonroute::peers::membership
