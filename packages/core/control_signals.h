// Delays the signals that stop an instance or reload its settings until their handlers are installed. Without
// a handler, these signals would end the process as a failure.

#pragma once

namespace quetzalspan::core
{

// Blocks SIGTERM, SIGINT and SIGHUP in the calling thread and in the threads that it starts afterwards.
// Signals that arrive in the meantime stay pending.
void block_control_signals();

// Unblocks the signals in the calling thread, which handles those that are pending.
void unblock_control_signals();

} // namespace quetzalspan::core
