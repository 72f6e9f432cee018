// Carries out the store reads and writes that the share manager asks for.

#pragma once

#include "allowance/store_records.h"
#include "membership/members.h"
#include "store/records.h"
#include "store/store_client.h"

#include <boost/asio/awaitable.hpp>

#include <memory>
#include <string>

namespace quetzalspan::node
{

// Runs on the control strand. Reads throw store_unavailable, store_rejected, or core::findings_error for a
// record that cannot be read; writes report their failure as an unknown result.
class store_executor
{
public:
    explicit store_executor(std::shared_ptr<store::store_client> client);

    boost::asio::awaitable<allowance::round_observation> read_round();
    boost::asio::awaitable<allowance::report_observation> read_reports();
    boost::asio::awaitable<membership::member_list> read_members();

    // The list holds the member records as last read, for writes that change one of them.
    boost::asio::awaitable<allowance::write_result> write(allowance::store_write change,
                                                          const membership::members& list);

private:
    boost::asio::awaitable<store::write_result> dispatch(const allowance::store_write& change,
                                                         const membership::members& list);
    store::write_mark next_mark();

    std::shared_ptr<store::store_client> m_client;
    std::string m_nonce;
    std::uint64_t m_sequence = 0;
};

} // namespace quetzalspan::node
