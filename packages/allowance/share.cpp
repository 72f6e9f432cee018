// Token accounting of one share: lock-free taking and returning of tokens, accrual, transfers in and out,
// scaling and demand measurement.

#include "allowance/share.h"

#include "allowance/scaling.h"

#include <algorithm>
#include <cmath>

namespace quetzalspan::allowance
{

namespace
{

constexpr std::int64_t nanoseconds_per_second = 1'000'000'000;
// Time constant of the exponential moving average of demand. With a shorter one the average would follow the
// noise of low rates and shares would move back and forth between instances.
constexpr core::duration demand_time_constant = std::chrono::seconds(3);

} // namespace

bool share::try_acquire(std::int64_t tokens_micro) noexcept
{
    std::int64_t tokens = m_tokens_micro.load(std::memory_order_relaxed);
    while (tokens >= tokens_micro) {
        if (m_tokens_micro.compare_exchange_weak(tokens, tokens - tokens_micro, std::memory_order_acq_rel,
                                                 std::memory_order_relaxed)) {
            return true;
        }
    }
    return false;
}

void share::release(std::int64_t tokens_micro) noexcept
{
    if (m_kind == limit_kind::permits) {
        m_tokens_micro.fetch_add(tokens_micro, std::memory_order_acq_rel);
    }
}

void share::accrue(core::instant now)
{
    if (m_accrued_at == core::instant::min() || m_rate_micro == 0) {
        m_accrued_at = std::max(m_accrued_at, now);
        m_accrual_carry = 0;
        m_peak_tokens_micro = std::min(m_burst_micro, std::max<std::int64_t>(tokens_micro(), 0));
        return;
    }
    if (now <= m_accrued_at) {
        return;
    }
    const std::int64_t elapsed = (now - m_accrued_at).count();
    m_accrued_at = now;
    const int128 accrued_nano = static_cast<int128>(m_rate_micro) * elapsed + m_accrual_carry;
    const int128 accrued_micro = accrued_nano / nanoseconds_per_second;
    const std::int64_t room = std::max<std::int64_t>(0, m_burst_micro - m_peak_tokens_micro);
    std::int64_t added = room;
    m_accrual_carry = 0;
    if (accrued_micro <= room) {
        added = static_cast<std::int64_t>(accrued_micro);
        m_accrual_carry = static_cast<std::int64_t>(accrued_nano % nanoseconds_per_second);
    }
    m_peak_tokens_micro = m_tokens_micro.fetch_add(added, std::memory_order_acq_rel) + added;
}

amount share::debit(const amount& wanted, core::instant now)
{
    accrue(now);
    amount taken;
    std::int64_t tokens = m_tokens_micro.load(std::memory_order_acquire);
    do {
        taken.tokens_micro = std::clamp<std::int64_t>(std::min(wanted.tokens_micro, wanted.burst_micro), 0,
                                                      std::max<std::int64_t>(tokens, 0));
    } while (!m_tokens_micro.compare_exchange_weak(tokens, tokens - taken.tokens_micro,
                                                   std::memory_order_acq_rel));
    if (m_kind == limit_kind::permits) {
        taken.burst_micro = taken.tokens_micro;
        m_burst_micro -= taken.burst_micro;
        return taken;
    }
    taken.rate_micro = std::clamp<std::int64_t>(wanted.rate_micro, 0, m_rate_micro);
    const std::int64_t movable =
        std::max(taken.tokens_micro, m_burst_micro - m_peak_tokens_micro + taken.tokens_micro);
    taken.burst_micro = std::clamp<std::int64_t>(wanted.burst_micro, 0, movable);
    m_rate_micro -= taken.rate_micro;
    m_burst_micro -= taken.burst_micro;
    m_peak_tokens_micro -= taken.tokens_micro;
    return taken;
}

void share::credit(const amount& part, core::instant now)
{
    accrue(now);
    m_rate_micro += part.rate_micro;
    m_burst_micro += part.burst_micro;
    const std::int64_t tokens =
        m_kind == limit_kind::permits ? part.burst_micro : std::min(part.tokens_micro, part.burst_micro);
    m_peak_tokens_micro += tokens;
    m_tokens_micro.fetch_add(tokens, std::memory_order_acq_rel);
}

void share::rescale(const amount& old_limit, const amount& new_limit, core::instant now)
{
    accrue(now);
    const amount scaled = scale_amount({m_rate_micro, m_burst_micro, 0}, old_limit, new_limit);
    const std::int64_t change = scaled.burst_micro - m_burst_micro;
    m_rate_micro = scaled.rate_micro;
    m_burst_micro = scaled.burst_micro;
    if (m_kind == limit_kind::permits) {
        m_tokens_micro.fetch_add(change, std::memory_order_acq_rel);
        return;
    }
    std::int64_t tokens = m_tokens_micro.load(std::memory_order_acquire);
    while (tokens > m_burst_micro &&
           !m_tokens_micro.compare_exchange_weak(tokens, m_burst_micro, std::memory_order_acq_rel)) {
    }
    m_peak_tokens_micro = std::min(m_peak_tokens_micro, m_burst_micro);
}

void share::close()
{
    if (m_kind == limit_kind::permits) {
        m_tokens_micro.fetch_sub(m_burst_micro, std::memory_order_acq_rel);
    } else {
        m_tokens_micro.store(0, std::memory_order_release);
    }
    m_rate_micro = 0;
    m_burst_micro = 0;
    m_peak_tokens_micro = 0;
    m_demand_micro = 0;
}

void share::reopen()
{
    const std::int64_t still_in_use = in_use();
    m_burst_micro += still_in_use;
    m_tokens_micro.fetch_add(still_in_use, std::memory_order_acq_rel);
}

void share::update_demand(core::instant now)
{
    const std::int64_t offered = m_offered_micro.exchange(0, std::memory_order_relaxed);
    if (m_measured_at == core::instant::min()) {
        m_measured_at = now;
        return;
    }
    const double elapsed = core::to_seconds(now - m_measured_at);
    if (elapsed <= 0) {
        m_offered_micro.fetch_add(offered, std::memory_order_relaxed);
        return;
    }
    m_measured_at = now;
    const double sample = m_kind == limit_kind::permits ? static_cast<double>(in_use())
                                                        : static_cast<double>(offered) / elapsed;
    const double weight = 1 - std::exp(-elapsed / core::to_seconds(demand_time_constant));
    const double smoothed =
        static_cast<double>(m_demand_micro) + (sample - static_cast<double>(m_demand_micro)) * weight;
    m_demand_micro = static_cast<std::int64_t>(smoothed);
}

std::int64_t share::in_use() const
{
    return m_kind == limit_kind::permits ? std::max<std::int64_t>(0, m_burst_micro - tokens_micro()) : 0;
}

amount share::holding() const
{
    return {m_rate_micro, m_burst_micro, std::clamp<std::int64_t>(tokens_micro(), 0, m_burst_micro)};
}

} // namespace quetzalspan::allowance
