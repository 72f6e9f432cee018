// Translates the reads and writes of the share manager into store calls, and store records into its types.

#include "node/store_executor.h"

#include "core/digest.h"
#include "core/findings.h"
#include "core/log_event.h"

#include <set>

namespace quetzalspan::node
{

namespace asio = boost::asio;

namespace
{

constexpr std::size_t nonce_bytes = 8;

std::string member_key(const std::string& member)
{
    return std::string(store::member_prefix) + member;
}

std::string report_key(const std::string& member)
{
    return std::string(store::report_prefix) + member;
}

allowance::write_status to_write_status(store::write_outcome outcome)
{
    switch (outcome) {
    case store::write_outcome::applied:
        return allowance::write_status::applied;
    case store::write_outcome::conflict:
    case store::write_outcome::lease_lost:
        return allowance::write_status::conflict;
    case store::write_outcome::unknown:
        return allowance::write_status::unknown;
    }
    return allowance::write_status::unknown;
}

store::write_result make_conflict_result()
{
    store::write_result result;
    result.outcome = store::write_outcome::conflict;
    return result;
}

} // namespace

store_executor::store_executor(std::shared_ptr<store::store_client> client)
    : m_client(std::move(client)), m_write_nonce(core::random_hex(nonce_bytes))
{
}

store::write_id store_executor::next_write_id()
{
    return {m_write_nonce, ++m_sequence};
}

asio::awaitable<allowance::round_observation> store_executor::read_round()
{
    const store::read_result found = co_await m_client->read(std::string(store::round_key));
    allowance::round_observation result;
    result.store_revision = found.revision;
    if (found.entry) {
        result.record_revision = found.entry->revision;
        result.record = store::round_from_record(found.entry->value, found.entry->key);
    }
    co_return result;
}

asio::awaitable<allowance::report_observation> store_executor::read_reports()
{
    const store::list_result found = co_await m_client->list(std::string(store::report_prefix));
    allowance::report_observation result;
    result.store_revision = found.revision;
    for (const store::store_entry& entry : found.entries) {
        result.reports.push_back({store::report_from_record(entry.value, entry.key), entry.revision});
    }
    co_return result;
}

asio::awaitable<membership::member_list> store_executor::read_members()
{
    // A member creates its liveness key before its record. The records are therefore listed first, so that a
    // new member never seems dead.
    const store::list_result records = co_await m_client->list(std::string(store::member_prefix));
    const store::list_result alive = co_await m_client->list(std::string(store::liveness_prefix));
    std::set<std::string> alive_members;
    for (const store::store_entry& entry : alive.entries) {
        alive_members.insert(entry.key.substr(store::liveness_prefix.size()));
    }
    membership::member_list result;
    result.revision = records.revision;
    for (const store::store_entry& entry : records.entries) {
        membership::stored_member member;
        member.record = store::member_from_record(entry.value, entry.key);
        member.record.joined_revision = entry.created_revision;
        member.record_revision = entry.revision;
        member.is_alive = alive_members.contains(member.record.id);
        result.entries.push_back(std::move(member));
    }
    co_return result;
}

asio::awaitable<store::write_result>
store_executor::execute_change(const allowance::store_write& change,
                               const membership::member_tracker& known_members)
{
    if (const allowance::write_round* round = std::get_if<allowance::write_round>(&change.change)) {
        co_return co_await m_client->write(std::string(store::round_key),
                                           store::to_record(round->record, next_write_id()),
                                           change.expected_revision);
    }
    if (const allowance::write_report* report = std::get_if<allowance::write_report>(&change.change)) {
        co_return co_await m_client->write(report_key(report->record.member),
                                           store::to_record(report->record, next_write_id()),
                                           change.expected_revision);
    }
    if (const allowance::mark_suspect* mark = std::get_if<allowance::mark_suspect>(&change.change)) {
        const membership::stored_member* target = known_members.find_member(mark->member);
        if (target == nullptr || target->record_revision != change.expected_revision) {
            co_return make_conflict_result();
        }
        membership::member record = target->record;
        record.state = membership::member_state::suspect;
        co_return co_await m_client->write(
            member_key(mark->member), store::to_record(record, next_write_id()), change.expected_revision);
    }
    if (const allowance::delete_member* member = std::get_if<allowance::delete_member>(&change.change)) {
        co_return co_await m_client->erase(member_key(member->member), change.expected_revision);
    }
    const allowance::delete_report& report = std::get<allowance::delete_report>(change.change);
    co_return co_await m_client->erase(report_key(report.member), change.expected_revision);
}

asio::awaitable<allowance::write_result>
store_executor::write(allowance::store_write change, const membership::member_tracker& known_members)
{
    allowance::write_result result;
    result.operation = change.operation;
    try {
        const store::write_result written = co_await execute_change(change, known_members);
        result.status = to_write_status(written.outcome);
        result.record_revision = written.revision;
    } catch (const store::store_unavailable&) {
        // The write was certainly not executed, but an immediate retry would not help. The status unknown
        // makes the ledger read the record back.
        result.status = allowance::write_status::unknown;
    } catch (const store::store_rejected& error) {
        core::error_event("store_write_rejected").with("error", error.what());
        result.status = allowance::write_status::unknown;
    }
    co_return result;
}

} // namespace quetzalspan::node
