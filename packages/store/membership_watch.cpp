// Combines a mirror of the member records and one of the liveness keys into the view of the members.

#include "store/membership_watch.h"

#include "core/findings.h"
#include "core/log_event.h"
#include "store/records.h"

namespace quetzalspan::store
{

namespace asio = boost::asio;

std::shared_ptr<membership_watch> membership_watch::create(asio::any_io_executor executor,
                                                           std::shared_ptr<key_value_store> client,
                                                           const mirror_options& options,
                                                           membership_hooks hooks)
{
    const std::shared_ptr<membership_watch> result(new membership_watch(std::move(hooks)));
    const std::weak_ptr<membership_watch> weak = result;
    prefix_mirror::hooks callbacks;
    callbacks.on_update = [weak] {
        if (const std::shared_ptr<membership_watch> self = weak.lock()) {
            self->publish_view();
        }
    };
    mirror_options liveness_options = options;
    liveness_options.prefix = std::string(liveness_prefix);
    result->m_liveness_keys = prefix_mirror::create(executor, client, liveness_options, callbacks);

    callbacks.on_regression = result->m_hooks.on_regression;
    mirror_options member_options = options;
    member_options.prefix = std::string(member_prefix);
    result->m_members = prefix_mirror::create(executor, client, member_options, callbacks);
    return result;
}

void membership_watch::start()
{
    m_members->start();
    m_liveness_keys->start();
}

void membership_watch::stop()
{
    m_members->stop();
    m_liveness_keys->stop();
}

asio::awaitable<void> membership_watch::list_once()
{
    co_await m_members->list_once();
    co_await m_liveness_keys->list_once();
}

void membership_watch::publish_view()
{
    if (!m_members->has_listed() || !m_liveness_keys->has_listed()) {
        return;
    }
    membership_view view;
    view.revision = m_members->revision();
    for (const auto& [key, entry] : m_members->entries()) {
        member_view item;
        try {
            item.record = member_from_record(entry.value, key);
        } catch (const core::findings_error& error) {
            ++m_invalid_records;
            core::error_event("member_record_invalid").with("error", error.what());
            continue;
        }
        if (key != std::string(member_prefix) + item.record.id) {
            ++m_invalid_records;
            core::error_event("member_record_misplaced").with("key", key).with("member", item.record.id);
            continue;
        }
        item.record.joined_revision = entry.created_revision;
        item.record_revision = entry.revision;
        // If the copy of the liveness keys is older than the record, a missing key does not mean that the
        // member has lost it.
        item.is_alive = m_liveness_keys->entries().contains(std::string(liveness_prefix) + item.record.id) ||
                        m_liveness_keys->revision() < entry.created_revision;
        view.members.push_back(std::move(item));
    }
    m_hooks.on_view(view);
}

} // namespace quetzalspan::store
