// Reads and writes of the ledger of allowances in the store.

#pragma once

#include "allowance/messages.h"
#include "store/records.h"
#include "store/store_client.h"

#include <boost/asio/awaitable.hpp>

#include <atomic>
#include <memory>
#include <optional>
#include <vector>

namespace quetzalspan::store
{

struct stored_round {
    allowance::ledger_round record;
    // The store's revision, for the next CAS.
    std::uint64_t revision = 0;
};

struct stored_report {
    allowance::share_report record;
    std::uint64_t revision = 0;
};

struct round_write_result {
    // Unknown only if reading back showed the former round: the write may still take effect.
    write_outcome outcome = write_outcome::unknown;
    std::uint64_t revision = 0;
    // The round in force after a conflict.
    std::optional<stored_round> current;
};

// Threads may share it. Every call throws store_unavailable, store_rejected, or core::findings_error for a
// record that cannot be read.
class ledger_store
{
public:
    explicit ledger_store(std::shared_ptr<store_client> client);

    boost::asio::awaitable<std::optional<stored_round>> read_round();
    // Writes the round if the one in force has the expected revision; 0 means that there must be none. A lost
    // response is resolved by reading back and recognising the mark of the write.
    boost::asio::awaitable<round_write_result> write_round(allowance::ledger_round record,
                                                           std::uint64_t expected_revision);

    boost::asio::awaitable<std::vector<stored_report>> read_reports();
    // Writes this member's report unless the store holds one of a later round (conflict).
    boost::asio::awaitable<write_outcome> write_report(allowance::share_report record);
    // Deletes the report of a member that has left or was fenced. One that is already gone counts as applied.
    boost::asio::awaitable<write_outcome> erase_report(std::string member);

private:
    write_mark next_mark();

    std::shared_ptr<store_client> m_client;
    std::string m_nonce;
    std::atomic<std::uint64_t> m_sequence{0};
};

} // namespace quetzalspan::store
