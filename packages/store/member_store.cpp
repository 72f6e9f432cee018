// Compare-and-swap writes to other members' records, with a read after a lost response.

#include "store/member_store.h"

#include "core/digest.h"

namespace quetzalspan::store
{

namespace asio = boost::asio;

namespace
{

constexpr std::size_t nonce_bytes = 16;

} // namespace

member_store::member_store(std::shared_ptr<store_client> client)
    : m_client(std::move(client)), m_nonce(core::random_hex(nonce_bytes))
{
}

asio::awaitable<write_result> member_store::mark_suspect(member_view target)
{
    const std::string key = std::string(member_prefix) + target.record.id;
    target.record.state = membership::member_state::suspect;
    const std::string text = to_record(target.record, {m_nonce, target.record_revision});
    write_result result = co_await m_client->write(key, text, target.record_revision);
    if (result.outcome != write_outcome::unknown) {
        co_return result;
    }
    const read_result found = co_await m_client->read(key);
    if (found.entry && found.entry->value == text) {
        result.outcome = write_outcome::applied;
        result.revision = found.entry->revision;
    } else if (!found.entry || found.entry->revision != target.record_revision) {
        result.outcome = write_outcome::conflict;
        result.current = found.entry;
    }
    co_return result;
}

asio::awaitable<write_result> member_store::remove(member_view target)
{
    const std::string key = std::string(member_prefix) + target.record.id;
    write_result result = co_await m_client->erase(key, target.record_revision);
    if (result.outcome == write_outcome::unknown) {
        const read_result found = co_await m_client->read(key);
        if (!found.entry || found.entry->revision != target.record_revision) {
            result.outcome = write_outcome::conflict;
            result.current = found.entry;
        }
    }
    if (result.outcome == write_outcome::conflict && !result.current) {
        result.outcome = write_outcome::applied;
    }
    co_return result;
}

} // namespace quetzalspan::store
