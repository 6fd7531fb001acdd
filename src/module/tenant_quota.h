/// \file
/// The tenants' quotas. It owns a token bucket for each tenant, which holds this router's part of the
/// tenant's quota. Used on the serving thread only.
#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "estimation/token_bucket.h"
#include "module/context.h"

namespace lemonroute::decisions {

/// Tells which requests exceed their tenant's quota. Such requests are served with a lower priority, not
/// rejected.
class TenantQuota {
 public:
  /// Keeps the reference, which must outlive it.
  explicit TenantQuota(const Context& context) : context_(context) {}

  /// Follows a change of the settings. Tenants that stay, by their names, keep the fill of their buckets.
  void update_tenants();

  /// Counts a request and returns whether it exceeds its tenant's quota. An unknown tenant has no quota.
  [[nodiscard]] bool exceeds_quota(std::uint16_t tenant_index);

 private:
  struct Bucket {
    std::string tenant;
    estimation::TokenBucket tokens;  // one per request
  };

  const Context& context_;
  std::vector<Bucket> buckets_;  // in the order of Settings::tenants
};

}  // namespace lemonroute::decisions
