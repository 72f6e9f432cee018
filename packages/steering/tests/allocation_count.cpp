// Counts allocations in the malloc hook of CppUTest. CppUTest replaces the global operator new by one that
// calls this hook.

#include "steering/tests/allocation_count.h"

#include <CppUTest/PlatformSpecificFunctions.h>

#include <cstdlib>

namespace quetzalspan::steering::tests
{

namespace
{

thread_local std::size_t allocations = 0;

void* counting_malloc(std::size_t size)
{
    ++allocations;
    return std::malloc(size); // NOLINT(cppcoreguidelines-no-malloc)
}

} // namespace

std::size_t allocation_count()
{
    PlatformSpecificMalloc = counting_malloc;
    return allocations;
}

} // namespace quetzalspan::steering::tests
