// Writes to the member records of other instances, by which this instance fences them.

#pragma once

#include "store/membership_watch.h"
#include "store/records.h"
#include "store/store_client.h"

#include <boost/asio/awaitable.hpp>

#include <memory>

namespace quetzalspan::store
{

// Safe for concurrent use. Every call throws store_unavailable or store_rejected.
class member_store
{
public:
    explicit member_store(std::shared_ptr<store_client> client);

    // Sets the record's state to suspect if the record has not changed since the view was taken. After a lost
    // response it reads the record back: the outcome is applied if the record is the one written, conflict if
    // it was changed otherwise or deleted, and unknown if it has not changed.
    boost::asio::awaitable<write_result> mark_suspect(member_view target);

    // Deletes the record of a fenced member if it has not changed since the view was taken. The outcome is
    // applied if there is no record.
    boost::asio::awaitable<write_result> remove(member_view target);

private:
    std::shared_ptr<store_client> m_client;
    std::string m_nonce;
};

} // namespace quetzalspan::store
