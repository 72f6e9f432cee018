// The HTTP interface of the store stand-in, with faults that tests and the demo switch on.

#pragma once

#include "http/message.h"
#include "standins/store/store_state.h"

#include <boost/asio/awaitable.hpp>
#include <boost/asio/steady_timer.hpp>

#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <set>

namespace quetzalspan::standin_store
{

enum class availability {
    up,
    // New connections are refused and open ones are closed.
    refusing,
    // Requests are received and get no response. Their connections are closed when this state ends.
    unanswered,
};

struct service_options {
    state_options state;
    // A write of a larger value is rejected with 413.
    std::size_t value_limit_bytes = 1024 * 1024;
    // Calls accepted in each second; further ones are rejected with 429. 0 means no limit.
    std::uint64_t writes_per_second = 0;
    std::uint64_t reads_per_second = 0;
};

// Number of calls since the start, by kind of call. A watch counts once, however long it waits. "over_limit"
// counts the rejected calls, which are also counted under their kind.
using call_counters = std::map<std::string, std::uint64_t>;

// Thread-safe. The mutex is never held while a coroutine is suspended.
class store_service
{
public:
    using clock = std::function<core::instant()>;

    store_service(service_options options, clock now);

    // Handles a request of the store protocol. Throws std::invalid_argument if it is malformed.
    boost::asio::awaitable<http::response> handle(http::request message);

    // Handles a request under /standin/. Throws std::invalid_argument if it is malformed.
    http::response handle_control(const http::request& message);

    // Ends expired leases, deletes their keys and wakes the waiting watches. To be called periodically:
    // without a call, leases end only with the next accepted request.
    void expire_leases();

    // Faults and counters. Tests that run the service in their own process call these directly.
    void set_availability(availability value);
    availability current_availability() const;
    // Delays the handling of each request of the store protocol; zero ends that.
    void set_delay(core::duration delay);
    // Executes the next writes, lease calls included, but closes their connections without a response.
    void lose_next_write_responses(std::uint64_t count);
    // Closes the connections of the next writes to keys at once, and executes these writes only when they are
    // released, as if they had been delayed on the way.
    void hold_next_writes(std::uint64_t count);
    // Executes the held writes in order and holds no further ones.
    void release_held_writes();
    // While set, watches get no response, not even at their timeout.
    void set_watches_stalled(bool are_stalled);
    // Ends the lease of a key at once. Returns false if the key does not exist or has no lease.
    bool expire_lease_of(const std::string& key);
    // Snapshots and history are as in store_state.
    void take_snapshot(const std::string& name);
    bool restore_snapshot(const std::string& name);
    void discard_history();
    void set_limits(std::uint64_t writes_per_second, std::uint64_t reads_per_second);
    call_counters counters() const;
    // Sum of the counters of all kinds of call.
    std::uint64_t total_calls() const;

private:
    enum class call_class { read, write };
    // The second for which calls are counted against a limit.
    struct rate_window {
        core::instant begin;
        std::uint64_t calls = 0;
    };
    // The timer that a waiting coroutine sleeps on. Cancelling it wakes the coroutine.
    using waiter = std::shared_ptr<boost::asio::steady_timer>;

    boost::asio::awaitable<void> wait_for_change(waiter timer,
                                                 std::chrono::steady_clock::time_point deadline);
    boost::asio::awaitable<void> wait_until_responsive();
    waiter add_waiter(const boost::asio::any_io_executor& executor);
    void wake_waiters();

    boost::asio::awaitable<http::response> watch(const http::target& target);
    http::response handle_keys(const http::request& message, const http::target& target);
    http::response handle_leases(const http::request& message, const std::string& path);
    http::response read_entry(const std::string& key);
    http::response list_entries(const std::string& prefix);
    http::response write_entry(const std::string& key, const std::string& body);
    http::response delete_entry(const std::string& key, const http::target& target);
    http::response list_instances();
    // Counts the call and returns whether it is within the limit of its class. If it is, ends expired leases
    // first.
    bool admit(const std::string& kind, call_class limit_class);
    // Executes the write, or stores it for release_held_writes() if writes are to be held.
    http::response execute_or_hold(std::function<write_result()> write);
    // Wakes the waiting watches. Marks the response as lost if responses of writes are to be lost.
    http::response finish_write(http::response response);

    service_options m_options;
    clock m_clock;
    mutable std::mutex m_mutex;
    store_state m_state;
    availability m_availability = availability::up;
    core::duration m_delay{};
    std::uint64_t m_responses_to_lose = 0;
    std::uint64_t m_writes_to_hold = 0;
    std::vector<std::function<write_result()>> m_held_writes;
    bool m_are_watches_stalled = false;
    call_counters m_counters;
    rate_window m_write_window;
    rate_window m_read_window;
    std::set<waiter> m_waiters;
};

} // namespace quetzalspan::standin_store
