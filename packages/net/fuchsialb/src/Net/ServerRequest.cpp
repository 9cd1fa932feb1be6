#include "HttpServer.h"

#include <algorithm>

namespace fuchsialb {

namespace {

    int hexDigit(char c)
    {
        if (c >= '0' && c <= '9')
            return c - '0';
        if (c >= 'a' && c <= 'f')
            return c - 'a' + 10;
        if (c >= 'A' && c <= 'F')
            return c - 'A' + 10;
        return -1;
    }

    std::string decoded(std::string_view text)
    {
        std::string result;
        for (std::size_t i = 0; i < text.size(); ++i) {
            const bool escaped
                = text[i] == '%' && i + 2 < text.size() && hexDigit(text[i + 1]) >= 0 && hexDigit(text[i + 2]) >= 0;
            if (escaped) {
                result += static_cast<char>(hexDigit(text[i + 1]) * 16 + hexDigit(text[i + 2]));
                i += 2;
            } else
                result += text[i] == '+' ? ' ' : text[i];
        }
        return result;
    }

} // namespace

const std::string* ServerRequest::header(std::string_view name) const
{
    const auto found
        = std::find_if(headers.begin(), headers.end(), [&](const auto& header) { return header.first == name; });
    return found == headers.end() ? nullptr : &found->second;
}

std::string ServerRequest::parameter(std::string_view name) const
{
    std::string_view rest = query;
    while (!rest.empty()) {
        const std::string_view pair = rest.substr(0, rest.find('&'));
        rest.remove_prefix(std::min(rest.size(), pair.size() + 1));
        const std::size_t equals = pair.find('=');
        if (decoded(pair.substr(0, equals)) == name)
            return equals == std::string_view::npos ? std::string() : decoded(pair.substr(equals + 1));
    }
    return {};
}

} // namespace fuchsialb
