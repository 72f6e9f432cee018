// Read-side sections and grace periods with the "bulletproof" flavour of liburcu, which registers threads
// automatically.

#include "core/rcu_cell.h"

#include <urcu-bp.h>

#if defined(__SANITIZE_THREAD__)
extern "C" void __tsan_acquire(void* address);
extern "C" void __tsan_release(void* address);
#endif

namespace quetzalspan::core
{

namespace
{

#if defined(__SANITIZE_THREAD__)
// ThreadSanitizer does not see the synchronization inside liburcu. These annotations tell it that the end of
// a grace period happens after the end of the read-side sections that it waited for.
int sanitizer_sync_object = 0;

void annotate_section_end()
{
    __tsan_release(&sanitizer_sync_object);
}

void annotate_grace_period()
{
    __tsan_acquire(&sanitizer_sync_object);
}
#else
void annotate_section_end() {}

void annotate_grace_period() {}
#endif

} // namespace

rcu_read_section::rcu_read_section()
{
    urcu_bp_read_lock();
}

rcu_read_section::~rcu_read_section()
{
    annotate_section_end();
    urcu_bp_read_unlock();
}

void wait_for_rcu_readers()
{
    urcu_bp_synchronize_rcu();
    annotate_grace_period();
}

} // namespace quetzalspan::core
