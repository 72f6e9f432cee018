// Holds a client for each other member, by member id.

#pragma once

#include "membership/member.h"
#include "peer_rpc/peer_client.h"

#include <map>
#include <memory>
#include <mutex>
#include <string>
#include <vector>

namespace quetzalspan::peer_rpc
{

// Thread-safe. Callers share ownership of a client, so that one that was removed from the directory lives
// until they release it.
class peer_directory
{
public:
    peer_directory(boost::asio::any_io_executor executor,
                   std::shared_ptr<message_authenticator> authenticator, peer_client_options options);

    // Creates clients for new members and for members whose address has changed, and removes those of members
    // that are not in the list. Other clients are kept. This instance is skipped. A member whose host is not
    // a numeric address is logged and skipped.
    void update(const std::vector<membership::member>& members);

    // Sets the id of a new incarnation of this instance and removes all clients; the next update() creates
    // them again with the new id.
    void set_own_id(const std::string& own_id);

    // Returns null if there is no such member.
    std::shared_ptr<peer_client> find(const std::string& member_id) const;
    // Returns all clients in ascending order of member id.
    std::vector<std::shared_ptr<peer_client>> clients() const;

private:
    boost::asio::any_io_executor m_executor;
    std::shared_ptr<message_authenticator> m_authenticator;
    mutable std::mutex m_mutex;
    // Guarded by m_mutex.
    peer_client_options m_options;
    std::map<std::string, std::shared_ptr<peer_client>> m_clients;
};

} // namespace quetzalspan::peer_rpc
