// Watches the allowance ledger in the store, and publishes a view of its round and reports.

#pragma once

#include "store/ledger_store.h"
#include "store/prefix_mirror.h"

#include <memory>
#include <optional>
#include <vector>

namespace quetzalspan::store
{

struct ledger_view {
    // The store's revision up to which the view contains all changes to the ledger.
    std::uint64_t revision = 0;
    // Empty if the store holds no round.
    std::optional<stored_round> round;
    // In ascending order of member id.
    std::vector<stored_report> reports;
};

struct ledger_hooks {
    std::function<void(const ledger_view&)> on_view;
    // Called with the store's present revision and the highest one known when the store was restored to an
    // older state.
    std::function<void(std::uint64_t, std::uint64_t)> on_regression;
};

// All functions must run on the given executor, which must be a strand if several threads run it. While any
// record cannot be parsed, no view is published, since a view without it would look as if the member had not
// reported.
class ledger_watch : public std::enable_shared_from_this<ledger_watch>
{
public:
    // The prefix in the options is ignored.
    static std::shared_ptr<ledger_watch> create(boost::asio::any_io_executor executor,
                                                std::shared_ptr<key_value_store> client,
                                                mirror_options options, ledger_hooks hooks);

    void start() { m_mirror->start(); }
    void stop() { m_mirror->stop(); }

    prefix_mirror& mirror() { return *m_mirror; }
    std::uint64_t invalid_records() const { return m_invalid_records; }

private:
    explicit ledger_watch(ledger_hooks hooks) : m_hooks(std::move(hooks)) {}

    void publish_view();

    ledger_hooks m_hooks;
    std::shared_ptr<prefix_mirror> m_mirror;
    std::uint64_t m_invalid_records = 0;
};

} // namespace quetzalspan::store
