#include "SocketAddress.h"

#include <absl/strings/numbers.h>
#include <asio/ip/address.hpp>
#include <fmt/format.h>

namespace fuchsialb {

std::string SocketAddress::text() const
{
    return ip.find(':') == std::string::npos ? fmt::format("{}:{}", ip, port) : fmt::format("[{}]:{}", ip, port);
}

absl::StatusOr<SocketAddress> parseSocketAddress(const std::string& text)
{
    const std::size_t colon = text.rfind(':');
    const absl::Status failure
        = error(Reason::InvalidFlag, fmt::format("{}: accepted: IP:port with a port of 1 to 65535", text));
    if (colon == std::string::npos)
        return failure;
    std::string ip = text.substr(0, colon);
    const bool bracketed = ip.starts_with('[') && ip.ends_with(']');
    if (bracketed)
        ip = ip.substr(1, ip.size() - 2);
    std::uint32_t port = 0;
    if (!absl::SimpleAtoi(text.substr(colon + 1), &port) || port == 0 || port > UINT16_MAX)
        return failure;
    asio::error_code code;
    const auto address = asio::ip::make_address(ip, code);
    if (code || address.is_v6() != bracketed)
        return failure;
    return SocketAddress { ip, static_cast<std::uint16_t>(port) };
}

} // namespace fuchsialb
