// Counts the allocations of the calling thread, for tests of code that must not allocate.

#pragma once

#include <cstddef>

namespace quetzalspan::steering::tests
{

// Returns the number of operator new calls by this thread since the first call of this function in the
// process. The first call installs the hook that counts.
std::size_t allocation_count();

} // namespace quetzalspan::steering::tests
