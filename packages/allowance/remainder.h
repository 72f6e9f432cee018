// Computes the remainder of each limit: the part that no report of a ledger round claims.

#pragma once

#include "allowance/limit_definition.h"
#include "allowance/store_records.h"

#include <map>
#include <string>
#include <vector>

namespace quetzalspan::allowance
{

// Returns the limit minus the sum of the reported holdings, for each limit where a part of it is unclaimed.
// The remainder of a rate has no tokens: the former holder may have spent them just before, so granting them
// again could admit the burst twice. All permits of a remainder are free, since even the longest request has
// ended within the grace period.
std::vector<limit_amount> compute_remainder(const std::vector<limit_definition>& limits,
                                            const std::vector<share_report>& reports);

} // namespace quetzalspan::allowance
