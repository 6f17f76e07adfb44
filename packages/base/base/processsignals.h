#pragma once

#include <csignal>

namespace Galenabarrow
{

/// Blocks SIGTERM, SIGINT and SIGHUP in the calling thread and in all threads that it starts later, sets their default actions,
/// and ignores SIGPIPE. The first call in main(), because each of the three ends a process that neither blocks nor handles it;
/// a blocked one is kept until it is received. Returns the three.
sigset_t blockSignals();

/// Calls \p handler for SIGTERM, SIGINT and SIGHUP from now on, also for those that arrived while they were blocked.
void handleSignals(void (*handler)(int));

}
