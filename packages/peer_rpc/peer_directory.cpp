// Updates the clients from the list of members; a client is kept as long as its member has the same address.

#include "peer_rpc/peer_directory.h"

#include "core/log_event.h"

#include <boost/system/system_error.hpp>

namespace quetzalspan::peer_rpc
{

peer_directory::peer_directory(boost::asio::any_io_executor executor,
                               std::shared_ptr<message_authenticator> authenticator,
                               peer_client_options options)
    : m_executor(std::move(executor)),
      m_authenticator(std::move(authenticator)),
      m_options(std::move(options))
{
}

void peer_directory::update(const std::vector<membership::member>& members)
{
    const std::lock_guard<std::mutex> guard(m_mutex);
    std::map<std::string, std::shared_ptr<peer_client>> updated;
    for (const membership::member& member : members) {
        if (member.id == m_options.own_id) {
            continue;
        }
        const peer_address address{member.id, member.host, member.peer_port};
        const auto existing = m_clients.find(member.id);
        if (existing != m_clients.end() && existing->second->peer() == address) {
            updated.emplace(member.id, existing->second);
            continue;
        }
        try {
            updated.emplace(member.id,
                            std::make_shared<peer_client>(m_executor, address, m_authenticator, m_options));
        } catch (const boost::system::system_error& error) {
            core::error_event("peer_address_invalid")
                .with("member", member.id)
                .with("host", member.host)
                .with("error", error.what());
        }
    }
    m_clients = std::move(updated);
}

void peer_directory::set_own_id(const std::string& own_id)
{
    const std::lock_guard<std::mutex> guard(m_mutex);
    m_options.own_id = own_id;
    m_clients.clear();
}

std::shared_ptr<peer_client> peer_directory::find(const std::string& member_id) const
{
    const std::lock_guard<std::mutex> guard(m_mutex);
    const auto found = m_clients.find(member_id);
    return found == m_clients.end() ? nullptr : found->second;
}

std::vector<std::shared_ptr<peer_client>> peer_directory::clients() const
{
    const std::lock_guard<std::mutex> guard(m_mutex);
    std::vector<std::shared_ptr<peer_client>> result;
    for (const auto& [id, client] : m_clients) {
        result.push_back(client);
    }
    return result;
}

} // namespace quetzalspan::peer_rpc
