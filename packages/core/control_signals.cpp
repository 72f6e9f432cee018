// Changes the signal mask of the calling thread.

#include "core/control_signals.h"

#include <csignal>
#include <system_error>

namespace quetzalspan::core
{

namespace
{

// The argument is SIG_BLOCK or SIG_UNBLOCK.
void change_signal_mask(int how)
{
    sigset_t signals;
    sigemptyset(&signals);
    for (const int signal : {SIGTERM, SIGINT, SIGHUP}) {
        sigaddset(&signals, signal);
    }
    const int error = pthread_sigmask(how, &signals, nullptr);
    if (error != 0) {
        throw std::system_error(error, std::generic_category(), "cannot change the signal mask");
    }
}

} // namespace

void block_control_signals()
{
    change_signal_mask(SIG_BLOCK);
}

void unblock_control_signals()
{
    change_signal_mask(SIG_UNBLOCK);
}

} // namespace quetzalspan::core
