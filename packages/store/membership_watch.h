// Keeps a typed view of the members in the store and of which of them are alive.

#pragma once

#include "membership/member.h"
#include "store/prefix_mirror.h"

#include <memory>
#include <vector>

namespace quetzalspan::store
{

struct member_view {
    // With joined_revision set from the store's metadata.
    membership::member record;
    // The store's revision of the record, for a CAS on it.
    std::uint64_t record_revision = 0;
    // False if the liveness key has vanished. A member creates that key before its record, so a record whose
    // key is not there has lost it.
    bool is_alive = true;
};

struct membership_view {
    // All changes of member records up to this revision are in the view.
    std::uint64_t revision = 0;
    // In rising order of member id.
    std::vector<member_view> members;
};

struct membership_hooks {
    std::function<void(const membership_view&)> on_view;
    // Called with the offered and the known revision when the store was restored to an older state.
    std::function<void(std::uint64_t, std::uint64_t)> on_regression;
};

// A record that cannot be read is logged, counted and left out of the view. All functions run on the
// executor given, which must be a strand if several threads run it.
class membership_watch : public std::enable_shared_from_this<membership_watch>
{
public:
    // The prefix in the options is ignored.
    static std::shared_ptr<membership_watch> create(boost::asio::any_io_executor executor,
                                                    std::shared_ptr<key_value_store> client,
                                                    const mirror_options& options, membership_hooks hooks);

    void start();
    void stop();

    // Lists both prefixes, the members first.
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
