// Counts of requests over sliding windows of up to one hour.

#pragma once

#include "burn/request_counts.h"
#include "core/time.h"

#include <array>
#include <cstdint>

namespace quetzalspan::burn
{

// A ring buffer of counts, with one bucket for each period of bucket_length. Not thread-safe.
class window_counts
{
public:
    static constexpr std::chrono::seconds bucket_length{15};
    static constexpr std::chrono::minutes max_window{60};

    // Adds the counts to the bucket of the time, or to the newest bucket if the time is before it.
    void add(core::instant now, const request_counts& counts);

    // Returns the counts of the window that ends now. The window is at most max_window. It consists of whole
    // buckets, so it covers up to one bucket_length more than asked for.
    request_counts sum(core::instant now, core::duration window) const;

private:
    static constexpr std::size_t bucket_count = max_window / bucket_length + 1;

    // A count stops at the largest 32-bit value, which only 280 million requests a second reach in one
    // bucket.
    struct bucket {
        std::uint32_t good = 0;
        std::uint32_t slow = 0;
        std::uint32_t failed = 0;
        std::uint32_t rejected_wrongfully = 0;
    };

    // Returns the number of the bucket of the time, counted from the epoch of the clock.
    static std::int64_t bucket_number(core::instant now);
    // Makes the numbered bucket the newest and empties those after the previously newest. Has no effect if a
    // newer one exists.
    void advance(std::int64_t number);

    std::array<bucket, bucket_count> m_buckets{};
    // Number of the newest bucket. The ring holds the buckets from m_newest - bucket_count + 1 to m_newest.
    std::int64_t m_newest = 0;
};

} // namespace quetzalspan::burn
