// Computes the fraction of requests that planned shifts move to another region, and picks the target region
// of a request.

#include "steering/shift_schedule.h"

#include "core/stable_hash.h"

#include <algorithm>
#include <tuple>

namespace quetzalspan::steering
{

namespace
{

double compute_fraction(const scheduled_shift& shift, core::wall_time now)
{
    if (now < shift.begin) {
        return 0;
    }
    const double length = static_cast<double>((shift.end - shift.begin).count());
    const double elapsed = static_cast<double>((now - shift.begin).count());
    // A shift without duration takes effect in full at once.
    const double progress = length <= 0 ? 1 : std::min(1.0, elapsed / length);
    return std::clamp(shift.begin_fraction + (shift.end_fraction - shift.begin_fraction) * progress, 0.0,
                      1.0);
}

} // namespace

shift_schedule::shift_schedule(std::vector<scheduled_shift> shifts) : m_shifts(std::move(shifts))
{
    std::stable_sort(m_shifts.begin(), m_shifts.end(),
                     [](const scheduled_shift& left, const scheduled_shift& right) {
                         return std::tie(left.to_region, left.begin) < std::tie(right.to_region, right.begin);
                     });
}

double shift_schedule::fraction(region_index to_region, core::wall_time now) const
{
    double result = 0;
    for (const scheduled_shift& shift : m_shifts) {
        if (shift.to_region == to_region && shift.begin <= now) {
            result = compute_fraction(shift, now);
        }
    }
    return result;
}

std::optional<region_index> shift_schedule::find_target_region(double request_hash, core::wall_time now) const
{
    double sum = 0;
    for (std::size_t index = 0; index < m_shifts.size(); ++index) {
        const bool is_last_of_target =
            index + 1 == m_shifts.size() || m_shifts[index + 1].to_region != m_shifts[index].to_region;
        if (!is_last_of_target) {
            continue;
        }
        sum += fraction(m_shifts[index].to_region, now);
        if (request_hash < sum) {
            return m_shifts[index].to_region;
        }
    }
    return std::nullopt;
}

double hash_to_unit_interval(std::string_view request_id, std::uint64_t salt)
{
    // 53 bits are the precision of a double.
    constexpr double scale = 1.0 / static_cast<double>(std::uint64_t{1} << 53U);
    return static_cast<double>(core::stable_hash(request_id, salt) >> 11U) * scale;
}

} // namespace quetzalspan::steering
