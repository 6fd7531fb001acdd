#include "pools/demand/sum.h"

#include <algorithm>
#include <numeric>

namespace lemonroute::pools {

double bounded_sum(const std::vector<double>& reports, double influence) {
  const double all = std::accumulate(reports.begin(), reports.end(), 0.0);
  if (reports.size() < 2)
    return all;
  double sum = 0;
  for (const double one : reports)
    sum += std::min(one, influence * (all - one) / static_cast<double>(reports.size() - 1));
  return sum;
}

void Sum::heard(RegionId region, std::string_view sender, const Report& report, Micros now) {
  std::erase_if(said_, [now](const auto& one) { return one.second.at + ages_out <= now; });
  const auto at = said_.find(sender);
  if (at == said_.end()) {
    if (said_.size() < most)
      said_.emplace(sender, Said{region, report, now});
  } else if (report.sequence > at->second.report.sequence) {
    at->second = {region, report, now};
  }
}

std::optional<double> Sum::writers(RegionId region, std::size_t routers, Micros now) {
  std::vector<double> reports;
  for (const auto& [sender, said] : said_)
    if (said.region == region && said.at + ages_out > now)
      reports.push_back(said.report.writers);
  if (reports.empty() || 2 * reports.size() < routers)
    return std::nullopt;
  return bounded_sum(reports, influence_);
}

}  // namespace lemonroute::pools
