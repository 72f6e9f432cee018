// Counts of requests over sliding windows of up to one hour.

#pragma once

#include "burn/request_counts.h"
#include "core/time.h"

#include <array>
#include <cstdint>

namespace quetzalspan::burn
{

// A ring of buckets. Not thread-safe.
class window_counts
{
public:
    static constexpr std::chrono::seconds bucket_length{15};
    static constexpr std::chrono::minutes max_window{60};

    // Adds to the bucket of the time. Times before the newest one count as the newest.
    void add(core::instant now, const request_counts& counts);

    // Returns the counts of the window that ends now. It reaches back over whole buckets, so it covers up to
    // one bucket more than asked.
    request_counts sum(core::instant now, core::duration window) const;

private:
    static constexpr std::size_t bucket_count = max_window / bucket_length + 1;

    // 32 bits hold 280 million requests a second for one bucket; more are cut off.
    struct bucket {
        std::uint32_t good = 0;
        std::uint32_t slow = 0;
        std::uint32_t failed = 0;
        std::uint32_t rejected_wrongfully = 0;
    };

    static std::int64_t bucket_number(core::instant now);
    void advance(std::int64_t number);

    std::array<bucket, bucket_count> m_buckets{};
    // Number of the newest bucket; all buckets after it are empty.
    std::int64_t m_newest = 0;
};

} // namespace quetzalspan::burn
