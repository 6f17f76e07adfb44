#include "base/processsignals.h"

#include <array>

namespace Galenabarrow
{

namespace
{

constexpr std::array<int, 3> Signals { SIGTERM, SIGINT, SIGHUP };

sigset_t signalSet()
{
    sigset_t signals;
    sigemptyset(&signals);
    for (const int it : Signals) {
        sigaddset(&signals, it);
    }
    return signals;
}

void setAction(void (*handler)(int))
{
    struct sigaction action {
    };
    action.sa_handler = handler;
    action.sa_flags = SA_RESTART;
    for (const int it : Signals) {
        sigaction(it, &action, nullptr);
    }
}

}

sigset_t blockSignals()
{
    const sigset_t signals = signalSet();
    pthread_sigmask(SIG_BLOCK, &signals, nullptr);
    // POSIX allows a system to discard a blocked signal whose action is to ignore it, which nohup and shells pass on.
    setAction(SIG_DFL);
    std::signal(SIGPIPE, SIG_IGN);
    return signals;
}

void handleSignals(void (*handler)(int))
{
    setAction(handler);
    const sigset_t signals = signalSet();
    pthread_sigmask(SIG_UNBLOCK, &signals, nullptr);
}

}
