// Performs the store reads and writes that the share manager asks for.

#pragma once

#include "allowance/store_records.h"
#include "membership/member_tracker.h"
#include "store/records.h"
#include "store/store_client.h"

#include <boost/asio/awaitable.hpp>

#include <memory>
#include <string>

namespace quetzalspan::node
{

// Used on the control strand. Reads throw store_unavailable, store_rejected, or core::findings_error for a
// record that cannot be parsed. Writes throw none of the store's errors; they return the status unknown
// instead.
class store_executor
{
public:
    explicit store_executor(std::shared_ptr<store::store_client> client);

    boost::asio::awaitable<allowance::round_observation> read_round();
    boost::asio::awaitable<allowance::report_observation> read_reports();
    boost::asio::awaitable<membership::member_list> read_members();

    // known_members are the member records as last read; a write that changes a member record starts from
    // them. It returns a conflict if the record is missing there or has another revision than the write
    // expects.
    boost::asio::awaitable<allowance::write_result> write(allowance::store_write change,
                                                          const membership::member_tracker& known_members);

private:
    boost::asio::awaitable<store::write_result>
    execute_change(const allowance::store_write& change, const membership::member_tracker& known_members);
    store::write_id next_write_id();

    std::shared_ptr<store::store_client> m_client;
    std::string m_write_nonce;
    std::uint64_t m_sequence = 0;
};

} // namespace quetzalspan::node
