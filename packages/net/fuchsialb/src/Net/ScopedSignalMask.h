#pragma once

#include <csignal>
#include <initializer_list>

namespace fuchsialb {

/// \brief Changes the signal mask of the current thread until the object goes; belongs to that thread.
///
/// A signal to the process is delivered to any thread that doesn't block it. Threads inherit the mask of the one that
/// starts them, so a thread that is started under `blockAll` interrupts no system call for a signal that another thread
/// handles.
class ScopedSignalMask {
public:
    /// Blocks all signals except those that a thread raises by its own faults.
    static ScopedSignalMask blockAll();
    static ScopedSignalMask block(std::initializer_list<int> signals);
    static ScopedSignalMask unblock(std::initializer_list<int> signals);

    ~ScopedSignalMask();
    ScopedSignalMask(const ScopedSignalMask&) = delete;
    ScopedSignalMask& operator=(const ScopedSignalMask&) = delete;

private:
    ScopedSignalMask(int how, const sigset_t& signals);

    sigset_t m_previous {};
};

} // namespace fuchsialb
