// Sums the holdings reported for each limit and subtracts them from the limit.

#include "allowance/remainder.h"

#include <algorithm>

namespace quetzalspan::allowance
{

std::vector<limit_amount> compute_remainder(const std::vector<limit_definition>& limits,
                                            const std::vector<share_report>& reports)
{
    std::map<std::string, amount> reported;
    for (const share_report& report : reports) {
        for (const limit_amount& part : report.holdings) {
            amount& sum = reported[part.limit_name];
            sum.rate_micro += part.value.rate_micro;
            sum.burst_micro += part.value.burst_micro;
        }
    }
    std::vector<limit_amount> remainder;
    for (const limit_definition& limit : limits) {
        const amount& held = reported[limit.name];
        amount left;
        left.rate_micro = std::max<std::int64_t>(0, limit.rate_micro - held.rate_micro);
        left.burst_micro = std::max<std::int64_t>(0, limit.burst_micro - held.burst_micro);
        left.tokens_micro = limit.kind == limit_kind::permits ? left.burst_micro : 0;
        if (left.rate_micro > 0 || left.burst_micro > 0) {
            remainder.push_back({limit.name, left});
        }
    }
    return remainder;
}

} // namespace quetzalspan::allowance
