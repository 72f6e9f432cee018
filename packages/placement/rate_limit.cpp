// The token buckets of granters, and those of instances that do not hear from a granter.

#include "placement/rate_limit.h"

#include <algorithm>
#include <cmath>

namespace quetzalspan::placement
{

namespace
{

// Tokens of this time, and one more, can be saved up while nobody asks for them.
constexpr core::duration max_saved_time = std::chrono::milliseconds(250);

core::duration to_duration(double seconds)
{
    return std::chrono::ceil<core::duration>(std::chrono::duration<double>(seconds));
}

} // namespace

bool is_rate_limited(const endpoint& target)
{
    return !std::isinf(target.rate_limit);
}

bool take_share_token(endpoint& target, const fleet_view& fleet, core::instant now)
{
    const double share = std::max(target.rate_limit, min_rate_limit) / std::max<std::uint32_t>(fleet.size, 1);
    if (!target.share_updated_at) {
        target.share_tokens = 0;
        target.share_updated_at = now;
    }
    const double earned = share * core::to_seconds(now - *target.share_updated_at);
    target.share_tokens = std::min(target.share_tokens + earned, 1.0);
    target.share_updated_at = now;
    if (target.share_tokens < 1) {
        target.token_expected_at = now + to_duration((1 - target.share_tokens) / share);
        return false;
    }
    target.share_tokens -= 1;
    return true;
}

void record_granter_answer(endpoint& target, core::duration wait, core::instant now)
{
    target.share_updated_at.reset();
    target.token_expected_at = now + wait;
}

core::duration rate_limit_granter::take(const std::string& endpoint_id, double rate, core::instant now)
{
    const double used_rate = std::max(rate, min_rate_limit);
    bucket& granted = m_buckets.try_emplace(endpoint_id, bucket{0, now + takeover_delay}).first->second;
    if (now < granted.updated_at) {
        return granted.updated_at - now + to_duration(1 / used_rate);
    }
    const double capacity = 1 + used_rate * core::to_seconds(max_saved_time);
    const double earned = used_rate * core::to_seconds(now - granted.updated_at);
    granted.tokens = std::min(granted.tokens + earned, capacity);
    granted.updated_at = now;
    if (granted.tokens < 1) {
        return to_duration((1 - granted.tokens) / used_rate);
    }
    granted.tokens -= 1;
    return core::duration(0);
}

void rate_limit_granter::remove_idle(core::instant now)
{
    std::erase_if(m_buckets, [now](const std::pair<const std::string, bucket>& entry) {
        return now - entry.second.updated_at >= idle_lifetime;
    });
}

} // namespace quetzalspan::placement
