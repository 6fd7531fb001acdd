#include "module/tenant_quota.h"

#include <algorithm>
#include <map>

#include "estimation/token_bucket.h"

namespace lemonroute::decisions {
namespace {

// Capacity of a bucket in seconds of the quota, so that a tenant whose mean rate is within the quota does not
// exceed it when its requests arrive unevenly.
constexpr double burst_seconds = 2;
constexpr double min_burst = 2;  // requests

}  // namespace

void TenantQuota::update_tenants() {
  std::map<std::string, estimation::TokenBucket> kept;
  for (const Bucket& bucket : buckets_)
    kept[bucket.tenant] = bucket.tokens;
  buckets_.clear();
  for (const auto& tenant : context_.settings().tenants)
    buckets_.push_back({tenant.name, kept[tenant.name]});
}

bool TenantQuota::exceeds_quota(std::uint16_t tenant_index) {
  const Settings& settings = context_.settings();
  if (tenant_index >= settings.tenants.size() || settings.tenants[tenant_index].quota_rps <= 0)
    return false;
  const double requests_per_second = settings.tenants[tenant_index].quota_rps / settings.router_count;
  const double burst = std::max(min_burst, burst_seconds * requests_per_second);
  return !buckets_[tenant_index].tokens.take(requests_per_second, burst, context_.now());
}

}  // namespace lemonroute::decisions
