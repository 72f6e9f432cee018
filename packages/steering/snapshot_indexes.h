// Types of the indexes by which the elements of a snapshot refer to each other. An index is valid only with
// the snapshot that it was obtained from.

#pragma once

#include <cstdint>
#include <limits>

namespace quetzalspan::steering
{

using service_index = std::uint32_t;
using region_index = std::uint32_t;
using endpoint_index = std::uint32_t;
using workspace_index = std::uint32_t;
using site_index = std::uint16_t;

// Marks an absent site in large tables, where std::optional would need more space for each entry.
inline constexpr site_index no_site = std::numeric_limits<site_index>::max();

} // namespace quetzalspan::steering
