#include "RawSocket.h"

#include "Waiting.h"

#include <arpa/inet.h>
#include <sys/socket.h>
#include <sys/time.h>
#include <unistd.h>

#include <array>
#include <utility>

namespace fuchsialb::test {

namespace {

    sockaddr_in loopback(std::uint16_t port)
    {
        sockaddr_in address {};
        address.sin_family = AF_INET;
        address.sin_port = htons(port);
        address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
        return address;
    }

} // namespace

RawSocket::RawSocket(int descriptor)
    : m_descriptor(descriptor)
{
    const timeval limit { patience.count(), 0 };
    ::setsockopt(descriptor, SOL_SOCKET, SO_RCVTIMEO, &limit, sizeof limit);
}

RawSocket RawSocket::bound()
{
    RawSocket made(::socket(AF_INET, SOCK_STREAM, 0));
    const sockaddr_in address = loopback(0);
    REQUIRE(::bind(made.m_descriptor, reinterpret_cast<const sockaddr*>(&address), sizeof address) == 0);
    return made;
}

RawSocket RawSocket::connectedTo(std::uint16_t port)
{
    RawSocket made(::socket(AF_INET, SOCK_STREAM, 0));
    const sockaddr_in address = loopback(port);
    REQUIRE(::connect(made.m_descriptor, reinterpret_cast<const sockaddr*>(&address), sizeof address) == 0);
    return made;
}

RawSocket::RawSocket(RawSocket&& other) noexcept
    : m_descriptor(std::exchange(other.m_descriptor, -1))
{
}

RawSocket& RawSocket::operator=(RawSocket&& other) noexcept
{
    std::swap(m_descriptor, other.m_descriptor);
    return *this;
}

RawSocket::~RawSocket() { close(); }

void RawSocket::listen() { REQUIRE(::listen(m_descriptor, 16) == 0); }

RawSocket RawSocket::accept() { return RawSocket(::accept(m_descriptor, nullptr, nullptr)); }

std::uint16_t RawSocket::port() const
{
    sockaddr_in address {};
    socklen_t size = sizeof address;
    REQUIRE(::getsockname(m_descriptor, reinterpret_cast<sockaddr*>(&address), &size) == 0);
    return ntohs(address.sin_port);
}

bool RawSocket::send(std::string_view bytes)
{
    return ::send(m_descriptor, bytes.data(), bytes.size(), MSG_NOSIGNAL) == static_cast<ssize_t>(bytes.size());
}

std::string RawSocket::receive()
{
    std::array<char, 4096> buffer {};
    const ssize_t count = ::recv(m_descriptor, buffer.data(), buffer.size(), 0);
    return count > 0 ? std::string(buffer.data(), static_cast<std::size_t>(count)) : std::string();
}

std::string RawSocket::receiveRequest()
{
    constexpr std::string_view lengthName = "Content-Length: ";
    std::string text;
    for (std::string piece = receive(); !piece.empty(); piece = receive()) {
        text += piece;
        const std::size_t end = text.find("\r\n\r\n");
        if (end == std::string::npos)
            continue;
        const std::size_t length = text.find(lengthName);
        const std::size_t body = length < end ? std::stoul(text.substr(length + lengthName.size())) : 0;
        if (text.size() >= end + 4 + body)
            return text;
    }
    return text;
}

bool RawSocket::seesClose()
{
    std::array<char, 4096> buffer {};
    const auto end = std::chrono::steady_clock::now() + patience;
    while (std::chrono::steady_clock::now() < end) {
        const ssize_t count = ::recv(m_descriptor, buffer.data(), buffer.size(), 0);
        if (count == 0 || (count < 0 && errno == ECONNRESET))
            return true;
        if (count < 0)
            return false;
    }
    return false;
}

void RawSocket::reset()
{
    const linger atOnce { 1, 0 };
    ::setsockopt(m_descriptor, SOL_SOCKET, SO_LINGER, &atOnce, sizeof atOnce);
    close();
}

void RawSocket::close()
{
    if (m_descriptor >= 0)
        ::close(std::exchange(m_descriptor, -1));
}

} // namespace fuchsialb::test
