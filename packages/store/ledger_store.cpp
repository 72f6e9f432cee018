// Compare-and-swap writes of ledger records, with detection of own writes after a lost response.

#include "store/ledger_store.h"

#include "core/digest.h"

namespace quetzalspan::store
{

namespace asio = boost::asio;

namespace
{

constexpr std::size_t nonce_bytes = 16;

std::optional<stored_round> to_stored_round(const std::optional<store_entry>& entry)
{
    if (!entry) {
        return std::nullopt;
    }
    return stored_round{round_from_record(entry->value, entry->key), entry->revision};
}

} // namespace

ledger_store::ledger_store(std::shared_ptr<store_client> client)
    : m_client(std::move(client)), m_nonce(core::random_hex(nonce_bytes))
{
}

asio::awaitable<std::optional<stored_round>> ledger_store::read_round()
{
    const read_result found = co_await m_client->read(std::string(round_key));
    co_return to_stored_round(found.entry);
}

asio::awaitable<round_write_result> ledger_store::write_round(allowance::ledger_round record,
                                                              std::uint64_t expected_revision)
{
    const std::string key(round_key);
    const std::string text = to_record(record, next_write_id());
    const write_result written = co_await m_client->write(key, text, expected_revision);
    round_write_result result;
    result.outcome = written.outcome;
    result.revision = written.revision;
    if (written.outcome == write_outcome::conflict) {
        result.current = to_stored_round(written.current);
    }
    if (written.outcome != write_outcome::unknown) {
        co_return result;
    }
    const read_result found = co_await m_client->read(key);
    const std::uint64_t present = found.entry ? found.entry->revision : 0;
    if (found.entry && found.entry->value == text) {
        result.outcome = write_outcome::applied;
        result.revision = present;
    } else if (present != expected_revision) {
        // The store holds a different round, so it does not matter whether this write was applied and then
        // replaced.
        result.outcome = write_outcome::conflict;
        result.current = to_stored_round(found.entry);
    }
    co_return result;
}

asio::awaitable<std::vector<stored_report>> ledger_store::read_reports()
{
    const list_result found = co_await m_client->list(std::string(report_prefix));
    std::vector<stored_report> result;
    for (const store_entry& item : found.entries) {
        result.push_back({report_from_record(item.value, item.key), item.revision});
    }
    co_return result;
}

asio::awaitable<write_outcome> ledger_store::write_report(allowance::share_report record)
{
    const std::string key = std::string(report_prefix) + record.member;
    const read_result present = co_await m_client->read(key);
    if (present.entry && report_from_record(present.entry->value, key).round > record.round) {
        co_return write_outcome::conflict;
    }
    const std::uint64_t expected = present.entry ? present.entry->revision : 0;
    const std::string text = to_record(record, next_write_id());
    const write_result written = co_await m_client->write(key, text, expected);
    if (written.outcome != write_outcome::unknown) {
        co_return written.outcome;
    }
    const read_result found = co_await m_client->read(key);
    if (found.entry && found.entry->value == text) {
        co_return write_outcome::applied;
    }
    co_return write_outcome::unknown;
}

asio::awaitable<write_outcome> ledger_store::erase_report(std::string member)
{
    const std::string key = std::string(report_prefix) + member;
    const read_result present = co_await m_client->read(key);
    if (!present.entry) {
        co_return write_outcome::applied;
    }
    const write_result erased = co_await m_client->erase(key, present.entry->revision);
    co_return erased.outcome;
}

write_id ledger_store::next_write_id()
{
    return {m_nonce, ++m_sequence};
}

} // namespace quetzalspan::store
