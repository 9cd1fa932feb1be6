#pragma once

#include <cstdint>
#include <string>
#include <string_view>

namespace fuchsialb::test {

/// \brief A blocking TCP socket on loopback; reads are bounded by a timeout.
class RawSocket {
public:
    /// A bound socket; connections to it are refused until `listen`.
    static RawSocket bound();
    static RawSocket connectedTo(std::uint16_t port);

    RawSocket(RawSocket&& other) noexcept;
    RawSocket& operator=(RawSocket&& other) noexcept;
    ~RawSocket();

    void listen();
    RawSocket accept();
    std::uint16_t port() const;
    bool send(std::string_view bytes);
    /// \return What arrived, empty when the peer closed or nothing came in time.
    std::string receive();
    /// Reads one HTTP request with a body of known length.
    std::string receiveRequest();
    /// \return Whether the peer closes the connection in time; what arrives before is dropped.
    bool seesClose();
    void close();
    /// Closes the connection by a reset.
    void reset();

private:
    explicit RawSocket(int descriptor);

    int m_descriptor = -1;
};

} // namespace fuchsialb::test
