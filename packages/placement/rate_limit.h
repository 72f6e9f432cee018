// Keeps the requests that all instances together send to an endpoint within the rate that it names in its
// responses. One instance of the fleet, the granter of the endpoint, grants each request a token. An instance
// that does not hear from the granter uses an equal share of the rate.

#pragma once

#include "placement/cold_start.h"
#include "placement/endpoint.h"

#include <map>
#include <string>

namespace quetzalspan::placement
{

// A lower rate counts as this one, in requests per second: an endpoint that names 0 has to receive a request
// now and then, because only its responses tell when the limit is lifted.
inline constexpr double min_rate_limit = 0.1;

// Returns whether a request to the endpoint needs a token.
bool is_rate_limited(const endpoint& target);

// Takes a token from this instance's share of the rate, which counts from the first call after the granter
// has stopped answering. Returns whether there was one.
bool take_share_token(endpoint& target, const fleet_view& fleet, core::instant now);

// Records that the granter has answered, with the time until it expects the next token; zero if it has
// granted one.
void record_granter_answer(endpoint& target, core::duration wait, core::instant now);

// Grants the tokens of the endpoints for which this instance is the granter. Used by one thread at a time.
class rate_limit_granter
{
public:
    // Returns zero if a token is granted, and the time until the next one otherwise. The rate is the one that
    // the endpoint has named to the instance that asks, in requests per second. Tokens of an endpoint that
    // was not asked for within idle_lifetime accumulate from takeover_delay later: until then a former
    // granter may go on, or instances that do not know of the limit yet.
    core::duration take(const std::string& endpoint_id, double rate, core::instant now);

    // Removes the endpoints that were not asked for within idle_lifetime. Called periodically.
    void remove_idle(core::instant now);

    std::size_t size() const { return m_buckets.size(); }

    static constexpr core::duration idle_lifetime = std::chrono::seconds(30);
    // The time within which instances learn of a change in the fleet.
    static constexpr core::duration takeover_delay = std::chrono::seconds(1);

private:
    struct bucket {
        double tokens = 0;
        // When the tokens were counted; in the future for a new granter.
        core::instant updated_at;
    };

    std::map<std::string, bucket> m_buckets;
};

} // namespace quetzalspan::placement
