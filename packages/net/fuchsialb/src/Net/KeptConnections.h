#pragma once

#include <curl/curl.h>

#include <map>
#include <string>

namespace fuchsialb::internal {

/// \brief The sockets of the connections that a client of curl keeps, by their addresses.
///
/// curl uses a kept connection again although bytes wait on it that nobody asked for, such as a second copy of an
/// earlier response. They would be taken for a part of the next response. Used on the client's thread only.
class KeptConnections {
public:
    /// \brief Addresses and ports of both ends, as curl tells them before a request.
    struct Ends {
        std::string remoteAddress;
        std::string localAddress;
        int remotePort = 0;
        int localPort = 0;

        auto operator<=>(const Ends&) const = default;
    };

    void add(Ends ends, curl_socket_t socket);
    /// To be called when a socket is closed.
    void remove(curl_socket_t socket);
    /// \return Whether bytes wait on a connection, or its peer has closed it; false for an unknown one.
    bool hasInput(const Ends& ends) const;

private:
    std::map<Ends, curl_socket_t> m_sockets;
    std::map<curl_socket_t, Ends> m_ends;
};

} // namespace fuchsialb::internal
