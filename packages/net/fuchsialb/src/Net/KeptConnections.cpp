#include "KeptConnections.h"

#include <sys/socket.h>

#include <utility>

namespace fuchsialb::internal {

void KeptConnections::add(Ends ends, curl_socket_t socket)
{
    remove(socket);
    m_sockets[ends] = socket;
    m_ends[socket] = std::move(ends);
}

void KeptConnections::remove(curl_socket_t socket)
{
    const auto node = m_ends.extract(socket);
    if (node.empty())
        return;
    if (const auto found = m_sockets.find(node.mapped()); found != m_sockets.end() && found->second == socket)
        m_sockets.erase(found);
}

bool KeptConnections::hasInput(const Ends& ends) const
{
    const auto found = m_sockets.find(ends);
    char byte = 0;
    return found != m_sockets.end() && ::recv(found->second, &byte, 1, MSG_PEEK | MSG_DONTWAIT) >= 0;
}

} // namespace fuchsialb::internal
