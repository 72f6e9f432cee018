// Creates, checks, counts and closes the pooled connections to endpoints.

#include "upstream/connection_pool.h"

#include "core/check.h"

#include <boost/asio/buffer.hpp>

#include <poll.h>

#include <algorithm>
#include <cerrno>

namespace quetzalspan::upstream
{

namespace asio = boost::asio;
using tcp = asio::ip::tcp;

connection::connection(const asio::any_io_executor& executor, std::uint64_t number,
                       std::uint32_t header_limit_bytes)
    : m_number(number),
      m_socket(executor),
      m_reader(header_limit_bytes, std::numeric_limits<std::uint64_t>::max())
{
}

void connection::initialize(core::instant now)
{
    m_opened_at = now;
    boost::system::error_code ignored;
    m_socket.set_option(asio::ip::tcp::no_delay(true), ignored);
    m_socket.non_blocking(true, ignored);
}

idle_state connection::check_idle()
{
    if (m_reader.has_unread_bytes()) {
        return idle_state::has_unread_bytes;
    }
    boost::system::error_code error;
    char byte = 0;
    m_socket.receive(asio::buffer(&byte, 1), asio::socket_base::message_peek, error);
    if (error == asio::error::would_block) {
        return idle_state::reusable;
    }
    return error ? idle_state::closed_by_peer : idle_state::has_unread_bytes;
}

bool connection::has_failed()
{
    if (!m_socket.is_open()) {
        return true;
    }
    // poll() reports POLLHUP when both directions have ended, and this side never ends its own.
    pollfd state{m_socket.native_handle(), 0, 0};
    int count = 0;
    do {
        count = ::poll(&state, 1, 0);
    } while (count < 0 && errno == EINTR);
    return count != 0;
}

connection_pool::connection_pool(const asio::any_io_executor& executor, connection_pool_options options)
    : m_executor(executor), m_options(options)
{
}

idle_result connection_pool::take_idle(const tcp::endpoint& address, core::instant now,
                                       const connection_filter& filter)
{
    // Declared before the lock, so that the connections are closed after it is released.
    std::vector<idle_connection> to_close;
    idle_result result;
    const std::lock_guard<std::mutex> guard(m_mutex);
    endpoint_connections& state = m_endpoints[address];
    // The most recently used connection is the least likely to be closed by the peer, and using it lets the
    // others expire.
    std::size_t next = state.idle.size();
    while (next > 0) {
        --next;
        const connection& entry = *state.idle[next].handle;
        const bool is_excluded = std::find(filter.excluded.begin(), filter.excluded.end(), entry.number()) !=
                                 filter.excluded.end();
        if (is_excluded || (filter.opened_until && entry.opened_at() > *filter.opened_until)) {
            continue;
        }
        idle_connection candidate = std::move(state.idle[next]);
        state.idle.erase(state.idle.begin() + static_cast<std::ptrdiff_t>(next));
        const core::duration idle_time = now - candidate.idle_since;
        if (idle_time < m_options.idle_lifetime) {
            const idle_state checked = candidate.handle->check_idle();
            if (checked == idle_state::reusable) {
                result.handle = std::move(candidate.handle);
                return result;
            }
            result.was_closed_early = result.was_closed_early || (checked == idle_state::closed_by_peer &&
                                                                  idle_time < m_options.min_keep_alive);
        }
        --state.open_count;
        to_close.push_back(std::move(candidate));
    }
    return result;
}

bool connection_pool::has_idle(const tcp::endpoint& address, core::instant opened_until) const
{
    const std::lock_guard<std::mutex> guard(m_mutex);
    const std::map<tcp::endpoint, endpoint_connections>::const_iterator found = m_endpoints.find(address);
    return found != m_endpoints.end() && std::any_of(found->second.idle.begin(), found->second.idle.end(),
                                                     [opened_until](const idle_connection& entry) {
                                                         return entry.handle->opened_at() <= opened_until;
                                                     });
}

bool connection_pool::has_working_idle(const tcp::endpoint& address) const
{
    const std::lock_guard<std::mutex> guard(m_mutex);
    const std::map<tcp::endpoint, endpoint_connections>::const_iterator found = m_endpoints.find(address);
    return found != m_endpoints.end() &&
           std::any_of(found->second.idle.begin(), found->second.idle.end(),
                       [](const idle_connection& entry) {
                           return entry.handle->check_idle() == idle_state::reusable;
                       });
}

std::unique_ptr<connection> connection_pool::create_connection(const tcp::endpoint& address)
{
    {
        const std::lock_guard<std::mutex> guard(m_mutex);
        endpoint_connections& state = m_endpoints[address];
        if (state.open_count >= m_options.max_connections) {
            return nullptr;
        }
        ++state.open_count;
    }
    const std::uint64_t number = m_created.fetch_add(1, std::memory_order_relaxed) + 1;
    return std::make_unique<connection>(m_executor, number, m_options.header_limit_bytes);
}

void connection_pool::put_idle(const tcp::endpoint& address, std::unique_ptr<connection> used,
                               core::instant now)
{
    const std::lock_guard<std::mutex> guard(m_mutex);
    endpoint_connections& state = m_endpoints[address];
    if (state.idle.size() >= m_options.max_idle_connections) {
        --state.open_count;
        return;
    }
    state.idle.push_back({std::move(used), now});
}

void connection_pool::discard(const tcp::endpoint& address, std::unique_ptr<connection> used)
{
    used.reset();
    const std::lock_guard<std::mutex> guard(m_mutex);
    endpoint_connections& state = m_endpoints[address];
    core::check(state.open_count > 0, "a discarded connection must be counted as open");
    --state.open_count;
}

void connection_pool::close_expired(core::instant now)
{
    // Declared before the lock, so that the connections are closed after it is released.
    std::vector<idle_connection> to_close;
    const std::lock_guard<std::mutex> guard(m_mutex);
    for (std::map<tcp::endpoint, endpoint_connections>::iterator entry = m_endpoints.begin();
         entry != m_endpoints.end();) {
        endpoint_connections& state = entry->second;
        while (!state.idle.empty() && now - state.idle.front().idle_since >= m_options.idle_lifetime) {
            to_close.push_back(std::move(state.idle.front()));
            state.idle.erase(state.idle.begin());
            --state.open_count;
        }
        // An endpoint that was removed from the registry must not keep its entry for ever.
        entry = state.open_count == 0 ? m_endpoints.erase(entry) : std::next(entry);
    }
}

std::uint32_t connection_pool::open_connections(const tcp::endpoint& address) const
{
    const std::lock_guard<std::mutex> guard(m_mutex);
    const std::map<tcp::endpoint, endpoint_connections>::const_iterator entry = m_endpoints.find(address);
    return entry == m_endpoints.end() ? 0 : entry->second.open_count;
}

} // namespace quetzalspan::upstream
