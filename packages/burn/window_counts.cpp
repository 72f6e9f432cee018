// Adds to and sums over the ring of buckets.

#include "burn/window_counts.h"

#include <algorithm>

namespace quetzalspan::burn
{

namespace
{

// Adds the amount, and stops at the largest value of the target.
void add_saturating(std::uint32_t& target, std::uint64_t amount)
{
    target = static_cast<std::uint32_t>(std::min<std::uint64_t>(UINT32_MAX, target + amount));
}

// Returns the position of the numbered bucket in a ring of the given size; the number may be negative.
std::size_t bucket_index(std::int64_t number, std::size_t size)
{
    const std::int64_t signed_size = static_cast<std::int64_t>(size);
    return static_cast<std::size_t>(((number % signed_size) + signed_size) % signed_size);
}

} // namespace

std::int64_t window_counts::bucket_number(core::instant now)
{
    return now.time_since_epoch() / std::chrono::duration_cast<core::duration>(bucket_length);
}

void window_counts::advance(std::int64_t number)
{
    if (number <= m_newest) {
        return;
    }
    const std::int64_t passed = number - m_newest;
    if (passed >= static_cast<std::int64_t>(bucket_count)) {
        m_buckets.fill({});
    } else {
        for (std::int64_t next = m_newest + 1; next <= number; ++next) {
            m_buckets[bucket_index(next, bucket_count)] = {};
        }
    }
    m_newest = number;
}

void window_counts::add(core::instant now, const request_counts& counts)
{
    advance(bucket_number(now));
    bucket& newest = m_buckets[bucket_index(m_newest, bucket_count)];
    add_saturating(newest.good, counts.good);
    add_saturating(newest.slow, counts.slow);
    add_saturating(newest.failed, counts.failed);
    add_saturating(newest.rejected_wrongfully, counts.rejected_wrongfully);
}

request_counts window_counts::sum(core::instant now, core::duration window) const
{
    const std::int64_t last = std::max(bucket_number(now), m_newest);
    const std::int64_t span = window / std::chrono::duration_cast<core::duration>(bucket_length);
    const std::int64_t kept = static_cast<std::int64_t>(bucket_count) - 1;
    const std::int64_t first = std::max(last - span, m_newest - kept);
    request_counts total;
    for (std::int64_t number = first; number <= m_newest; ++number) {
        const bucket& entry = m_buckets[bucket_index(number, bucket_count)];
        total += {entry.good, entry.slow, entry.failed, entry.rejected_wrongfully};
    }
    return total;
}

} // namespace quetzalspan::burn
