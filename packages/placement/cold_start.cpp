// Implements the limit for cold endpoints.

#include "placement/cold_start.h"

#include "core/stable_hash.h"

#include <algorithm>

namespace quetzalspan::placement
{

namespace
{

// Longer than the second that the limit counts, for requests that take different times to arrive.
constexpr core::duration cold_window = std::chrono::milliseconds(1150);

} // namespace

std::uint32_t duty_rank(std::uint64_t duty, const fleet_position& fleet)
{
    const std::uint64_t own = core::mix_hash(fleet.own_hash ^ duty);
    std::uint32_t rank = 0;
    for (const std::uint64_t other : fleet.hashes) {
        rank += other != fleet.own_hash && core::mix_hash(other ^ duty) < own ? 1 : 0;
    }
    return rank;
}

std::uint32_t cold_share(const endpoint& target, const cold_limit& limit, const fleet_position& fleet)
{
    const std::uint32_t total = static_cast<std::uint32_t>(std::max(limit.fleet_rate, 1.0));
    const std::uint32_t size = std::max<std::uint32_t>(fleet.size, 1);
    const std::uint32_t even = total / size;
    // What an even division leaves over goes to the instances that the hash ranks first.
    const std::uint32_t rest = total % size;
    return even + (duty_rank(target.hash, fleet) < rest ? 1 : 0);
}

bool allows_cold_send(endpoint& target, const cold_limit& limit, const fleet_position& fleet,
                      core::instant now)
{
    if (now >= target.cold_until || limit.fleet_rate <= 0) {
        target.cold_sends.clear();
        return true;
    }
    while (!target.cold_sends.empty() && now - target.cold_sends.front() >= cold_window) {
        target.cold_sends.pop_front();
    }
    return target.cold_sends.size() < cold_share(target, limit, fleet);
}

void record_cold_send(endpoint& target, core::instant now)
{
    if (now < target.cold_until) {
        target.cold_sends.push_back(now);
    }
}

} // namespace quetzalspan::placement
