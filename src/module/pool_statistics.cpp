#include "module/pool_statistics.h"

namespace lemonroute::decisions {

void PoolStatistics::refresh() {
  if (is_current_)
    return;
  is_current_ = true;
  estimators_.outliers.refresh_pool_averages();
  estimators_.decode_loads.refresh_pool_averages();
  estimators_.prefill_times.refresh_pool_averages();
  estimators_.slow_start.refresh_pool_averages();
}

}  // namespace lemonroute::decisions
