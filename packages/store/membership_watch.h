// Watches the member records and liveness keys in the store, and publishes a view of the members.

#pragma once

#include "membership/member.h"
#include "store/prefix_mirror.h"

#include <memory>
#include <vector>

namespace quetzalspan::store
{

struct member_view {
    // The record, with joined_revision set from the store's metadata.
    membership::member record;
    // The store's revision of the record, for compare-and-swap writes.
    std::uint64_t record_revision = 0;
    // False if the member's liveness key no longer exists. A member creates the key before its record, so a
    // record without a key means that the key has expired or was deleted.
    bool is_alive = true;
};

struct membership_view {
    // The store's revision up to which the view contains all changes to member records.
    std::uint64_t revision = 0;
    // In ascending order of member id.
    std::vector<member_view> members;
};

struct membership_hooks {
    std::function<void(const membership_view&)> on_view;
    // Called with the store's present revision and the highest one known when the store was restored to an
    // older state.
    std::function<void(std::uint64_t, std::uint64_t)> on_regression;
};

// Records that cannot be parsed are logged, counted and omitted from the view. All functions must run on the
// given executor, which must be a strand if several threads run it.
class membership_watch : public std::enable_shared_from_this<membership_watch>
{
public:
    // The prefix in the options is ignored.
    static std::shared_ptr<membership_watch> create(boost::asio::any_io_executor executor,
                                                    std::shared_ptr<key_value_store> client,
                                                    const mirror_options& options, membership_hooks hooks);

    void start();
    void stop();

    // Lists the member records, then the liveness keys. Throws store_unavailable or store_rejected.
    boost::asio::awaitable<void> list_once();

    prefix_mirror& members() { return *m_members; }
    prefix_mirror& liveness_keys() { return *m_liveness_keys; }
    std::uint64_t invalid_records() const { return m_invalid_records; }

private:
    explicit membership_watch(membership_hooks hooks) : m_hooks(std::move(hooks)) {}

    void publish_view();

    membership_hooks m_hooks;
    std::shared_ptr<prefix_mirror> m_members;
    std::shared_ptr<prefix_mirror> m_liveness_keys;
    std::uint64_t m_invalid_records = 0;
};

} // namespace quetzalspan::store
