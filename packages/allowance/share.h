// This instance's share of one fleet-wide limit. Request threads take and return tokens without locks; all
// other operations belong to the control thread. All amounts are in millionths of a token (micro-tokens).

#pragma once

#include "allowance/limit_definition.h"
#include "allowance/messages.h"
#include "core/time.h"

#include <atomic>
#include <cstdint>

namespace quetzalspan::allowance
{

class share
{
public:
    explicit share(limit_kind kind) : m_kind(kind) {}

    share(const share&) = delete;
    share& operator=(const share&) = delete;

    // Takes the given number of micro-tokens. Returns false, and takes none, if fewer are available. May be
    // called from any thread; takes no lock and allocates nothing.
    bool try_acquire(std::int64_t tokens_micro) noexcept;

    // Gives a permit back at the end of its request. Has no effect for a rate: a token given back after the
    // bucket was full would let a later burst exceed the limit. May be called from any thread; takes no lock
    // and allocates nothing.
    void release(std::int64_t tokens_micro) noexcept;

    // Counts offered load; called once for each request, whether it is admitted or not. May be called from
    // any thread.
    void record_offered_load(std::int64_t tokens_micro) noexcept
    {
        m_offered_micro.fetch_add(tokens_micro, std::memory_order_relaxed);
    }

    // The functions below that modify the share may be called by the control thread only.

    // Adds the tokens accrued since the last call.
    void accrue(core::instant now);

    // Removes at most the wanted amount and returns what was removed. Afterwards the tokens exceed the burst
    // neither in this share nor in the returned amount.
    amount debit(const amount& wanted, core::instant now);

    // Adds an amount that a transfer or a ledger round gave to this share.
    void credit(const amount& part, core::instant now);

    // Scales the share in proportion to a change of the limit. If more permits are in use than remain, the
    // number of free permits is negative until enough permits have been given back.
    void rescale(const amount& old_limit, const amount& new_limit, core::instant now);

    // Empties the share, so that it admits nothing more. Permits in use may still be given back.
    void close();

    // Reopens a closed share of permits. Its burst is then the number of permits still in use, and none is
    // free.
    void reopen();

    // Updates the smoothed demand with the load offered since the last call.
    void update_demand(core::instant now);

    limit_kind kind() const { return m_kind; }
    std::int64_t tokens_micro() const { return m_tokens_micro.load(std::memory_order_acquire); }
    std::int64_t rate_micro() const { return m_rate_micro; }
    std::int64_t burst_micro() const { return m_burst_micro; }

    // Returns the number of permits in use, in millionths; 0 for a rate.
    std::int64_t in_use() const;

    // Returns rate, burst and tokens; negative tokens count as 0.
    amount holding() const;

    // Returns the smoothed offered load in micro-tokens per second; for permits the smoothed number in use,
    // in millionths.
    std::int64_t demand_micro() const { return m_demand_micro; }

private:
    limit_kind m_kind;
    // Free tokens. For permits, the free permits and those in use always sum to the burst.
    std::atomic<std::int64_t> m_tokens_micro{0};
    std::atomic<std::int64_t> m_offered_micro{0};
    std::int64_t m_rate_micro = 0;
    std::int64_t m_burst_micro = 0;
    // The maximum number of tokens since the last accrual. Tokens are added after the interval in which they
    // accrued, and a caller may take all tokens just before they are added. The peak
    // plus the newly accrued tokens must therefore not exceed the burst. If only the tokens still left were
    // counted, a window shorter than the tick could admit more than the burst.
    std::int64_t m_peak_tokens_micro = 0;
    core::instant m_accrued_at = core::instant::min();
    // The fraction of a micro-token left over from the last accrual, in billionths of a micro-token.
    std::int64_t m_accrual_carry = 0;
    core::instant m_measured_at = core::instant::min();
    std::int64_t m_demand_micro = 0;
};

} // namespace quetzalspan::allowance
