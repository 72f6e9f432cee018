// Tests of the record of an instance and its lease after a restore of the store.

#include "edge/registration.h"
#include "scripted_store.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/io_context.hpp>

#include <CppUTest/TestHarness.h>

using namespace quetzalspan;
using namespace edge;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace
{

// Assigns the same lease again after each restore, and records the calls that use one.
class lease_store : public scripted_store
{
public:
    boost::asio::awaitable<std::uint64_t> create_lease(core::duration) override
    {
        ++created;
        co_return 7;
    }
    boost::asio::awaitable<store::lease_outcome> keep_alive(std::uint64_t) override
    {
        ++renewed;
        co_return store::lease_outcome::applied;
    }
    boost::asio::awaitable<store::lease_outcome> revoke_lease(std::uint64_t) override
    {
        ++revoked;
        co_return store::lease_outcome::applied;
    }
    boost::asio::awaitable<store::write_result> write(std::string, std::string, std::uint64_t,
                                                      std::uint64_t) override
    {
        ++written;
        store::write_result result;
        result.outcome = store::write_outcome::applied;
        result.revision = 10;
        co_return result;
    }

    int created = 0;
    int renewed = 0;
    int revoked = 0;
    int written = 0;
};

} // namespace

TEST_GROUP(registration)
{
    boost::asio::io_context context;
    std::shared_ptr<lease_store> test_store = std::make_shared<lease_store>();
    std::shared_ptr<registration> registered = registration::create(
        context.get_executor(), test_store, instance_record{}, {seconds(5), seconds(1000), milliseconds(1)});
    int lost_count = 0;

    void run_for_a_while()
    {
        context.restart();
        context.run_for(milliseconds(20));
    }

    void withdraw()
    {
        boost::asio::co_spawn(context, registered->withdraw(), boost::asio::detached);
        run_for_a_while();
    }
};

// Guards against an instance that renews, after a restore, a lease which the store has assigned to another
// instance: its own record was lost, and the others took it for gone.
TEST(registration, a_lease_from_before_a_restore_is_replaced)
{
    registered->set_lease_lost_handler([this] { ++lost_count; });
    registered->start();
    run_for_a_while();
    CHECK_EQUAL(1, test_store->created);
    CHECK_EQUAL(1, test_store->written);
    test_store->restore();
    registered->handle_restored_store();
    run_for_a_while();
    CHECK_EQUAL(0, test_store->renewed);
    CHECK_EQUAL(2, test_store->created);
    CHECK_EQUAL(2, test_store->written);
    // The others keep the instance as a member after a restore.
    CHECK_EQUAL(0, lost_count);
    withdraw();
    CHECK_EQUAL(1, test_store->revoked);
}

// Guards against an instance that stops right after a restore and ends the lease of another instance.
TEST(registration, a_lease_from_before_a_restore_is_not_revoked)
{
    registered->start();
    run_for_a_while();
    test_store->restore();
    withdraw();
    CHECK_EQUAL(0, test_store->revoked);
}
