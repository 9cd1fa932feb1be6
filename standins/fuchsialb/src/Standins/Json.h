#pragma once

#include "fuchsialb/Net.h"

#include <nlohmann/json.hpp>

#include <string>
#include <string_view>

namespace fuchsialb::standins {

using Json = nlohmann::json;

/// \return The parsed object; an empty object when `text` is not a JSON object.
Json parseObject(std::string_view text);

/// \return The field, or `fallback` when it is missing or of another type.
template <typename T> T field(const Json& object, const char* name, T fallback)
{
    const auto found = object.find(name);
    if (found == object.end())
        return fallback;
    try {
        return found->template get<T>();
    } catch (const Json::exception&) {
        return fallback;
    }
}

/// \return An answer with a JSON body.
HttpResponse jsonResponse(std::uint32_t status, const Json& body);

/// \return An answer with the body {"error": `code`}.
HttpResponse errorResponse(std::uint32_t status, std::string_view code);

/// \return A POST of JSON to "http://" + `address` + `path`.
HttpRequest jsonPost(const std::string& address, std::string_view path, const Json& body);

/// \return A whole decimal number, or `fallback` when `text` is not one.
std::uint64_t numberOr(const std::string& text, std::uint64_t fallback);

} // namespace fuchsialb::standins
