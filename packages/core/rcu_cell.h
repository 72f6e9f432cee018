// Publishes immutable values by read-copy-update (RCU): readers take no lock and never wait; a writer
// replaces the value and waits for a grace period before it destroys the old one.

#pragma once

#include <atomic>
#include <memory>
#include <mutex>

namespace quetzalspan::core
{

// A read-side critical section of the calling thread, from construction to destruction. It must not span a
// suspension point of a coroutine, since the coroutine could resume on another thread.
class rcu_read_section
{
public:
    rcu_read_section();
    ~rcu_read_section();

    rcu_read_section(const rcu_read_section&) = delete;
    rcu_read_section& operator=(const rcu_read_section&) = delete;
};

// Waits for a grace period: until every read-side section that began before the call has ended. The calling
// thread must not be in a read-side section.
void wait_for_rcu_readers();

// Holds the current value. read() and publish() are thread-safe; no reader may use the value when the cell is
// destroyed.
template <typename Value>
class rcu_cell
{
public:
    // The initial value must not be null.
    explicit rcu_cell(std::unique_ptr<const Value> initial) : m_current(initial.release()) {}
    ~rcu_cell() { delete m_current.load(std::memory_order_acquire); }

    rcu_cell(const rcu_cell&) = delete;
    rcu_cell& operator=(const rcu_cell&) = delete;

    // Returns the current value. The reference is valid until the section ends.
    const Value& read(const rcu_read_section&) const { return *m_current.load(std::memory_order_acquire); }

    // Replaces the value, waits for a grace period and destroys the old value. Blocks, so it must not be
    // called on the request path. The next value must not be null.
    void publish(std::unique_ptr<const Value> next)
    {
        std::unique_ptr<const Value> previous;
        {
            const std::lock_guard<std::mutex> guard(m_writer);
            previous.reset(m_current.exchange(next.release(), std::memory_order_acq_rel));
        }
        wait_for_rcu_readers();
    }

private:
    // Serializes writers.
    std::mutex m_writer;
    // Never null.
    std::atomic<const Value*> m_current;
};

} // namespace quetzalspan::core
