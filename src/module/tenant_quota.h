/// \file
/// The quotas of tenants. Owns a token bucket for each tenant, which holds this router's part of the quota.
/// Used on the serving thread only.
#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "estimation/token_bucket.h"
#include "module/context.h"

namespace lemonroute::decisions {

/// Determines which requests exceed the quota of their tenant. Such requests get a lower priority; they are
/// not rejected for it.
class TenantQuota {
 public:
  /// Keeps the reference, which must outlive it.
  explicit TenantQuota(const Context& context) : context_(context) {}

  /// Applies a settings update. Tenants whose names remain keep the fill level of their buckets.
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
