// Builds the view of the ledger from a mirror of its records.

#include "store/ledger_watch.h"

#include "core/findings.h"
#include "core/log_event.h"
#include "store/records.h"

namespace quetzalspan::store
{

std::shared_ptr<ledger_watch> ledger_watch::create(boost::asio::any_io_executor executor,
                                                   std::shared_ptr<key_value_store> client,
                                                   mirror_options options, ledger_hooks hooks)
{
    const std::shared_ptr<ledger_watch> result(new ledger_watch(std::move(hooks)));
    const std::weak_ptr<ledger_watch> weak = result;
    prefix_mirror::hooks callbacks;
    callbacks.on_update = [weak] {
        if (const std::shared_ptr<ledger_watch> self = weak.lock()) {
            self->publish_view();
        }
    };
    callbacks.on_regression = result->m_hooks.on_regression;
    options.prefix = std::string(ledger_prefix);
    result->m_mirror =
        prefix_mirror::create(std::move(executor), std::move(client), std::move(options), callbacks);
    return result;
}

void ledger_watch::publish_view()
{
    ledger_view view;
    view.revision = m_mirror->revision();
    try {
        for (const auto& [key, entry] : m_mirror->entries()) {
            if (key == round_key) {
                view.round = stored_round{round_from_record(entry.value, key), entry.revision};
            } else if (key.starts_with(report_prefix)) {
                view.reports.push_back({report_from_record(entry.value, key), entry.revision});
            }
        }
    } catch (const core::findings_error& error) {
        ++m_invalid_records;
        core::error_event("ledger_record_invalid").with("error", error.what());
        return;
    }
    m_hooks.on_view(view);
}

} // namespace quetzalspan::store
