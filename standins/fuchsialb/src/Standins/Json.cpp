#include "Json.h"

#include <charconv>

namespace fuchsialb::standins {

Json parseObject(std::string_view text)
{
    Json parsed = Json::parse(text, nullptr, false);
    return parsed.is_object() ? parsed : Json::object();
}

HttpResponse jsonResponse(std::uint32_t status, const Json& body)
{
    return { status, { { "content-type", "application/json" } }, body.dump() };
}

HttpResponse errorResponse(std::uint32_t status, std::string_view code)
{
    return jsonResponse(status, { { "error", code } });
}

HttpRequest jsonPost(const std::string& address, std::string_view path, const Json& body)
{
    HttpRequest request;
    request.method = "POST";
    request.url = "http://" + address + std::string(path);
    request.headers = { { "content-type", "application/json" } };
    request.body = body.dump();
    return request;
}

std::uint64_t numberOr(const std::string& text, std::uint64_t fallback)
{
    std::uint64_t number = 0;
    const auto [end, failure] = std::from_chars(text.data(), text.data() + text.size(), number);
    return failure == std::errc() && end == text.data() + text.size() && !text.empty() ? number : fallback;
}

} // namespace fuchsialb::standins
