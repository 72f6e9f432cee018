// Stores nonces in two generations, so that expired nonces are discarded a whole generation at a time.

#include "peer_rpc/replay_guard.h"

namespace quetzalspan::peer_rpc
{

replay_guard::replay_guard(core::duration retention, std::size_t limit)
    : m_retention(retention), m_limit(limit)
{
}

nonce_verdict replay_guard::check_and_insert(const std::string& nonce, core::wall_time now)
{
    const std::lock_guard<std::mutex> guard(m_mutex);
    if (now - m_current_start >= m_retention) {
        const bool is_current_expired = now - m_current_start >= 2 * m_retention;
        m_previous = is_current_expired ? std::unordered_set<std::string>() : std::move(m_current);
        m_current.clear();
        m_current_start = now;
    }
    if (m_current.contains(nonce) || m_previous.contains(nonce)) {
        return nonce_verdict::reused;
    }
    if (m_current.size() >= m_limit) {
        return nonce_verdict::limit_reached;
    }
    m_current.insert(nonce);
    return nonce_verdict::fresh;
}

std::size_t replay_guard::size() const
{
    const std::lock_guard<std::mutex> guard(m_mutex);
    return m_current.size() + m_previous.size();
}

} // namespace quetzalspan::peer_rpc
