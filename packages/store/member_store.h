// Writes of this instance to the member records of others, while it fences them.

#pragma once

#include "store/membership_watch.h"
#include "store/records.h"
#include "store/store_client.h"

#include <boost/asio/awaitable.hpp>

#include <memory>

namespace quetzalspan::store
{

// Threads may share it. Every call throws store_unavailable or store_rejected.
class member_store
{
public:
    explicit member_store(std::shared_ptr<store_client> client);

    // Sets the record to suspect if it is still the one in the view. A lost response is resolved by reading
    // back: applied if the record is suspect, conflict if it was renewed or is gone, unknown otherwise.
    boost::asio::awaitable<write_result> mark_suspect(member_view target);

    // Deletes the record of a fenced member if it is still the one in the view. A record that is already gone
    // counts as applied.
    boost::asio::awaitable<write_result> remove(member_view target);

private:
    std::shared_ptr<store_client> m_client;
    std::string m_nonce;
};

} // namespace quetzalspan::store
