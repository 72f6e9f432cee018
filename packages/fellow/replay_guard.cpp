// Stores nonces in two generations, so that expired nonces are discarded a whole generation at a time.

#include "fellow/replay_guard.h"

namespace quetzalspan::fellow
{

replay_guard::replay_guard(core::duration retention, std::size_t limit)
    : m_retention(retention), m_limit(limit)
{
}

nonce_verdict replay_guard::remember(const std::string& nonce, core::wall_time now)
{
    const std::lock_guard<std::mutex> guard(m_guard);
    if (now - m_present_began >= m_retention) {
        const bool is_former_outdated = now - m_present_began >= 2 * m_retention;
        m_former = is_former_outdated ? std::unordered_set<std::string>() : std::move(m_present);
        m_present.clear();
        m_present_began = now;
    }
    if (m_present.contains(nonce) || m_former.contains(nonce)) {
        return nonce_verdict::reused;
    }
    if (m_present.size() >= m_limit) {
        return nonce_verdict::memory_full;
    }
    m_present.insert(nonce);
    return nonce_verdict::fresh;
}

std::size_t replay_guard::size() const
{
    const std::lock_guard<std::mutex> guard(m_guard);
    return m_present.size() + m_former.size();
}

} // namespace quetzalspan::fellow
