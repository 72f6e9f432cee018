// Computes each instance's share of the requests to a cold endpoint and counts the requests sent.

#include "placement/cold_start.h"

#include "core/stable_hash.h"

#include <algorithm>

namespace quetzalspan::placement
{

std::uint32_t rendezvous_rank(std::uint64_t key_hash, const fleet_view& fleet)
{
    const std::uint64_t own = core::mix_hash(fleet.own_hash ^ key_hash);
    std::uint32_t rank = 0;
    for (const std::uint64_t other : fleet.instance_hashes) {
        rank += other != fleet.own_hash && core::mix_hash(other ^ key_hash) < own ? 1 : 0;
    }
    return rank;
}

std::uint32_t compute_max_cold_requests(const endpoint& target, const cold_limit& limit,
                                        const fleet_view& fleet)
{
    const std::uint32_t total = static_cast<std::uint32_t>(std::max(limit.fleet_rate, 1.0));
    const std::uint32_t size = std::max<std::uint32_t>(fleet.size, 1);
    const std::uint32_t even_count = total / size;
    // The remainder of the even division goes to the instances that rendezvous hashing ranks first.
    const std::uint32_t remainder = total % size;
    return even_count + (rendezvous_rank(target.id_hash, fleet) < remainder ? 1 : 0);
}

bool may_send_within_cold_limit(endpoint& target, const cold_limit& limit, const fleet_view& fleet,
                                core::instant now)
{
    if (now >= target.cold_until || limit.fleet_rate <= 0) {
        target.cold_send_times.clear();
        return true;
    }
    while (!target.cold_send_times.empty() && now - target.cold_send_times.front() >= cold_window) {
        target.cold_send_times.pop_front();
    }
    return target.cold_send_times.size() < compute_max_cold_requests(target, limit, fleet);
}

void record_cold_request(endpoint& target, core::instant now)
{
    if (now < target.cold_until) {
        target.cold_send_times.push_back(now);
    }
}

void remove_old_sends(endpoint& target, core::instant now)
{
    while (!target.recent_send_times.empty() && now - target.recent_send_times.front() >= cold_window) {
        target.recent_send_times.pop_front();
    }
}

void record_send(endpoint& target, core::instant now)
{
    remove_old_sends(target, now);
    target.recent_send_times.push_back(now);
}

} // namespace quetzalspan::placement
