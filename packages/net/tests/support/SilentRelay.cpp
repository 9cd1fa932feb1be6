#include "SilentRelay.h"

#include <arpa/inet.h>
#include <netinet/in.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

#include <array>
#include <stdexcept>

namespace fuchsialb {

namespace {

    constexpr int pollMs = 10;

    sockaddr_in loopback(std::uint16_t port)
    {
        sockaddr_in address {};
        address.sin_family = AF_INET;
        address.sin_port = htons(port);
        address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
        return address;
    }

} // namespace

SilentRelay::SilentRelay(std::uint16_t targetPort)
    : m_targetPort(targetPort)
    , m_listener(::socket(AF_INET, SOCK_STREAM, 0))
{
    sockaddr_in address = loopback(0);
    socklen_t length = sizeof(address);
    auto* const generic = reinterpret_cast<sockaddr*>(&address);
    if (::bind(m_listener, generic, length) != 0 || ::listen(m_listener, 8) != 0
        || ::getsockname(m_listener, generic, &length) != 0)
        throw std::runtime_error("the relay can't listen");
    m_port = ntohs(address.sin_port);
    m_thread = std::thread([this] { run(); });
}

SilentRelay::~SilentRelay()
{
    m_stop = true;
    m_thread.join();
    ::close(m_listener);
    for (const Pair& pair : m_pairs) {
        ::close(pair.ends[0]);
        ::close(pair.ends[1]);
    }
}

void SilentRelay::run()
{
    while (!m_stop) {
        std::vector<pollfd> polled { { m_listener, POLLIN, 0 } };
        const std::size_t first = m_silentBelow;
        for (std::size_t i = first; i < m_pairs.size(); ++i) {
            for (const int end : m_pairs[i].ends)
                polled.push_back({ end, POLLIN, 0 });
        }
        ::poll(polled.data(), polled.size(), pollMs);
        for (std::size_t i = 1; i < polled.size(); ++i) {
            const std::size_t pair = first + (i - 1) / 2;
            if ((polled[i].revents & POLLIN) != 0 && pair >= m_silentBelow)
                forward(m_pairs[pair], static_cast<int>((i - 1) % 2));
        }
        if ((polled[0].revents & POLLIN) != 0)
            accept();
    }
}

void SilentRelay::accept()
{
    const int outer = ::accept(m_listener, nullptr, nullptr);
    const int inner = ::socket(AF_INET, SOCK_STREAM, 0);
    const sockaddr_in target = loopback(m_targetPort);
    static_cast<void>(::connect(inner, reinterpret_cast<const sockaddr*>(&target), sizeof(target)));
    m_pairs.push_back({ { outer, inner } });
    ++m_accepted;
}

void SilentRelay::forward(const Pair& pair, int from) const
{
    std::array<char, 65536> bytes {};
    const ssize_t count = ::read(pair.ends[from], bytes.data(), bytes.size());
    ssize_t sent = 0;
    while (sent < count) {
        const ssize_t step
            = ::send(pair.ends[1 - from], bytes.data() + sent, static_cast<std::size_t>(count - sent), MSG_NOSIGNAL);
        if (step <= 0)
            return;
        sent += step;
    }
    if (count <= 0)
        ::shutdown(pair.ends[1 - from], SHUT_RDWR);
}

} // namespace fuchsialb
