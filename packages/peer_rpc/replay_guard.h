// Remembers the nonces of accepted requests for a retention time, so that a replayed request is detected.

#pragma once

#include "core/time.h"

#include <cstddef>
#include <mutex>
#include <string>
#include <unordered_set>

namespace quetzalspan::peer_rpc
{

// Result of checking a nonce. With limit_reached the nonce is new but was not stored.
enum class nonce_verdict { fresh, reused, limit_reached };

// Thread-safe. A nonce is remembered for at least the retention time.
class replay_guard
{
public:
    // At most this many nonces are accepted within one retention time, which bounds the memory. Further
    // nonces are rejected rather than old ones evicted, since a request could be replayed once its nonce is
    // evicted.
    replay_guard(core::duration retention, std::size_t limit);

    // Stores the nonce if it is not stored yet and the limit allows it.
    nonce_verdict check_and_insert(const std::string& nonce, core::wall_time now);

    // Returns the number of stored nonces, at most twice the limit.
    std::size_t size() const;

private:
    core::duration m_retention;
    std::size_t m_limit;
    mutable std::mutex m_mutex;
    // The fields below are guarded by m_mutex. Nonces are kept in two generations: once the current one is as
    // old as the retention time, it replaces the previous one, and an empty one becomes the current one.
    std::unordered_set<std::string> m_current;
    std::unordered_set<std::string> m_previous;
    core::wall_time m_current_start;
};

} // namespace quetzalspan::peer_rpc
