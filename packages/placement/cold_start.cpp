// Computes each instance's share of the requests to a cold endpoint and counts the requests sent.

#include "placement/cold_start.h"

#include "core/stable_hash.h"
#include "placement/incarnation_check.h"

#include <algorithm>
#include <deque>

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

void remove_old_sends(endpoint& target, core::instant now)
{
    for (std::deque<core::instant>* times : {&target.recent_send_times, &target.unconfirmed_send_times}) {
        while (!times->empty() && now - times->front() >= cold_window) {
            times->pop_front();
        }
    }
}

namespace
{

// Returns the time before which a connection must have been opened so that, if it still works, it goes to an
// incarnation that this instance knows or to a warm one.
core::instant find_known_until(const endpoint& target, const cold_limit& limit, core::instant now)
{
    const core::instant known_until = std::max(target.confirmed_at, now - limit.cold_duration);
    return may_have_ended(target, limit.discovery.is_current, now)
               ? known_until
               : std::max(known_until, limit.discovery.complete_until);
}

// Returns whether a request is in flight over a connection that would have failed if the endpoint had ended.
bool has_known_connection(const endpoint& target, const cold_limit& limit, core::instant now)
{
    const core::instant known_until = find_known_until(target, limit, now);
    return std::any_of(target.used_connections.begin(), target.used_connections.end(),
                       [known_until](core::instant opened) { return opened <= known_until; });
}

// Returns whether a request over a new connection may reach a cold incarnation of the endpoint.
bool is_limited(const endpoint& target, const cold_limit& limit, core::instant now)
{
    return limit.fleet_rate > 0 &&
           (now < target.cold_until || may_have_ended(target, limit.discovery.is_current, now) ||
            (!limit.discovery.is_current && !has_known_connection(target, limit, now)));
}

// Returns the number of requests of the last second that may have reached the present incarnation.
std::size_t count_sends(endpoint& target, core::instant now)
{
    remove_old_sends(target, now);
    return now < target.cold_until ? target.recent_send_times.size() : target.unconfirmed_send_times.size();
}

} // namespace

send_permission find_send_permission(endpoint& target, const cold_limit& limit, const fleet_view& fleet,
                                     core::instant now)
{
    if (!is_limited(target, limit, now) ||
        count_sends(target, now) < compute_max_cold_requests(target, limit, fleet)) {
        return {};
    }
    if (now < target.cold_until) {
        return {false, std::nullopt};
    }
    return {true, find_known_until(target, limit, now)};
}

bool may_reconnect(endpoint& target, const cold_limit& limit, const fleet_view& fleet, core::instant now)
{
    return limit.fleet_rate <= 0 ||
           count_sends(target, now) <= compute_max_cold_requests(target, limit, fleet);
}

void record_send(endpoint& target, core::instant now)
{
    remove_old_sends(target, now);
    target.recent_send_times.push_back(now);
    target.unconfirmed_send_times.push_back(now);
}

void record_connection(endpoint& target, const cold_limit& limit, core::instant connection_opened,
                       core::instant counted_at, core::instant now)
{
    target.used_connections.push_back(connection_opened);
    const bool is_known = connection_opened <= std::max(target.confirmed_at, now - limit.cold_duration);
    for (std::deque<core::instant>* times : {&target.recent_send_times, &target.unconfirmed_send_times}) {
        const std::deque<core::instant>::iterator found = std::find(times->begin(), times->end(), counted_at);
        if (found == times->end()) {
            continue;
        }
        times->erase(found);
        if (!is_known || times == &target.recent_send_times) {
            times->push_back(now);
        }
    }
}

void remove_connection(endpoint& target, core::instant connection_opened)
{
    const std::vector<core::instant>::iterator found =
        std::find(target.used_connections.begin(), target.used_connections.end(), connection_opened);
    if (found != target.used_connections.end()) {
        target.used_connections.erase(found);
    }
}

} // namespace quetzalspan::placement
