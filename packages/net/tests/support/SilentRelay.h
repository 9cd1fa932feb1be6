#pragma once

#include <atomic>
#include <cstdint>
#include <string>
#include <thread>
#include <vector>

namespace fuchsialb {

/// \brief Forwards TCP connections to a port on loopback, and can make the open ones go silent without closing them.
class SilentRelay {
public:
    explicit SilentRelay(std::uint16_t targetPort);
    ~SilentRelay();

    SilentRelay(const SilentRelay&) = delete;
    SilentRelay& operator=(const SilentRelay&) = delete;

    std::string address() const { return "127.0.0.1:" + std::to_string(m_port); }
    std::size_t connections() const { return m_accepted; }
    /// Stops to forward on all connections that are open now; later ones work.
    void silenceOpen() { m_silentBelow = m_accepted.load(); }

private:
    /// Two sockets; what comes from one goes to the other.
    struct Pair {
        int ends[2];
    };

    void run();
    void accept();
    void forward(const Pair& pair, int from) const;

    std::uint16_t m_targetPort;
    std::uint16_t m_port = 0;
    int m_listener = -1;
    std::vector<Pair> m_pairs;
    std::atomic<std::size_t> m_accepted = 0;
    std::atomic<std::size_t> m_silentBelow = 0;
    std::atomic<bool> m_stop = false;
    std::thread m_thread;
};

} // namespace fuchsialb
