// A metric whose value can increase and decrease.

#pragma once

#include <atomic>

namespace quetzalspan::burn
{

// All functions may be called from any thread and take no lock.
class gauge
{
public:
    void set(double value) { m_value.store(value, std::memory_order_relaxed); }
    void add(double amount) { m_value.fetch_add(amount, std::memory_order_relaxed); }
    double value() const { return m_value.load(std::memory_order_relaxed); }

private:
    std::atomic<double> m_value{0};
};

} // namespace quetzalspan::burn
