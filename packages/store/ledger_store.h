// Reads and writes the allowance ledger in the store: its current round and the members' share reports.

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
    // The store's revision of the record, for the next compare-and-swap write.
    std::uint64_t revision = 0;
};

struct stored_report {
    allowance::share_report record;
    // The store's revision of the record.
    std::uint64_t revision = 0;
};

struct round_write_result {
    // Unknown only if the read after a lost response returned the previous round; the write may then still
    // take effect.
    write_outcome outcome = write_outcome::unknown;
    // The store's revision of the round that was written, if it was applied.
    std::uint64_t revision = 0;
    // The round that the store holds in case of a conflict; empty if it holds none.
    std::optional<stored_round> current;
};

// Safe for concurrent use. Every call throws store_unavailable, store_rejected, or core::findings_error if a
// record cannot be parsed.
class ledger_store
{
public:
    explicit ledger_store(std::shared_ptr<store_client> client);

    // Returns nothing if the store holds no round.
    boost::asio::awaitable<std::optional<stored_round>> read_round();
    // Writes the round if the one in the store has the expected revision; 0 means that there must be none.
    // After a lost response it reads the round back and recognises its own write by the write mark.
    boost::asio::awaitable<round_write_result> write_round(allowance::ledger_round record,
                                                           std::uint64_t expected_revision);

    boost::asio::awaitable<std::vector<stored_report>> read_reports();
    // Writes the member's report. Returns conflict if the store holds its report for a later round or the
    // report was changed concurrently.
    boost::asio::awaitable<write_outcome> write_report(allowance::share_report record);
    // Deletes the report of a member that has left or was fenced. Returns applied if there is no report.
    boost::asio::awaitable<write_outcome> erase_report(std::string member);

private:
    write_id next_write_id();

    std::shared_ptr<store_client> m_client;
    std::string m_nonce;
    std::atomic<std::uint64_t> m_sequence{0};
};

} // namespace quetzalspan::store
