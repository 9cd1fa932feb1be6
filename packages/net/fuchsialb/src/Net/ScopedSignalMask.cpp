#include "ScopedSignalMask.h"

#include <pthread.h>

namespace fuchsialb {

namespace {

    sigset_t signalSet(std::initializer_list<int> signals)
    {
        sigset_t set;
        sigemptyset(&set);
        for (const int signal : signals)
            sigaddset(&set, signal);
        return set;
    }

} // namespace

ScopedSignalMask::ScopedSignalMask(int how, const sigset_t& signals) { pthread_sigmask(how, &signals, &m_previous); }

ScopedSignalMask::~ScopedSignalMask() { pthread_sigmask(SIG_SETMASK, &m_previous, nullptr); }

ScopedSignalMask ScopedSignalMask::blockAll()
{
    sigset_t set;
    sigfillset(&set);
    for (const int fault : { SIGSEGV, SIGBUS, SIGFPE, SIGILL, SIGABRT, SIGTRAP, SIGSYS })
        sigdelset(&set, fault);
    return { SIG_BLOCK, set };
}

ScopedSignalMask ScopedSignalMask::block(std::initializer_list<int> signals)
{
    return { SIG_BLOCK, signalSet(signals) };
}

ScopedSignalMask ScopedSignalMask::unblock(std::initializer_list<int> signals)
{
    return { SIG_UNBLOCK, signalSet(signals) };
}

} // namespace fuchsialb
