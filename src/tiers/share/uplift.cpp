#include "tiers/share/uplift.h"

namespace lemonroute::tiers {

namespace {
constexpr std::size_t holders_said = 2;  // of a site, to the region
}

void Uplift::again(const std::vector<std::size_t>& of) {
  std::erase_if(said_, [&](const auto& one) {
    return std::find(of.begin(), of.end(), shard_of(one.first)) != of.end();
  });
}

void Uplift::run(Micros now, const Options& options, NameId me, const Level& site, Level& region,
                 Budget& budget, peers::Outbox& out) {
  Level::Mail mail;
  std::map<KeyId, Said> still;
  const auto tokens_least = static_cast<std::uint32_t>(options.limits.cross_least);
  for (std::size_t shard = 0; shard < shards; ++shard) {
    if (!site.homes().heads(options.name, shard))
      continue;
    for (const auto* line : site.announcements().heaviest(shard, region.vote_table().quota(), tokens_least)) {
      auto short_line = *line;
      // In the region this router answers for it. Guards against a liar of the site that speaks through
      // honest heads: two have seen it, or this one itself.
      std::erase_if(short_line.holders, [&](const Shown& one) { return one.votes < 2 && one.by != me; });
      if (short_line.holders.empty())
        continue;
      if (short_line.holders.size() > holders_said)
        short_line.holders.resize(holders_said);
      const auto before = said_.find(line->key);
      const bool news = before == said_.end() || differs(before->second.line.holders, short_line.holders);
      if ((!news && now - before->second.at < options.limits.repeat) || budget.left() <= 0) {
        if (before != said_.end())
          still[line->key] = before->second;
        continue;
      }
      region.vote(mail, short_line, now, budget, out);
      still[line->key] = {std::move(short_line), now};
    }
  }
  for (const auto& [key, said] : said_)
    if (!still.count(key) && site.homes().heads(options.name, shard_of(key)))
      region.vote(mail, Line{key, 0, {}}, now, budget, out);  // taken back
  said_ = std::move(still);
  region.flush(mail, budget, out);
}

}  // namespace lemonroute::tiers
