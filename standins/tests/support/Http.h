#pragma once

#include "fuchsialb/src/Standins/Json.h"

#include <catch2/catch.hpp>

#include <chrono>
#include <future>
#include <memory>
#include <optional>

namespace fuchsialb::standins::test {

// Bounds how long a broken test hangs; a passing test never waits this long.
inline constexpr std::chrono::seconds patience { 20 };

template <typename T> T await(std::future<T> future)
{
    REQUIRE(future.wait_for(patience) == std::future_status::ready);
    return future.get();
}

/// \return The response, or none when the connection broke.
inline std::future<std::optional<HttpResponse>> startHttp(
    HttpClient& client, HttpRequest request, std::function<void(std::string_view)> onPiece = {})
{
    auto ending = std::make_shared<std::promise<std::optional<HttpResponse>>>();
    auto future = ending->get_future();
    const auto id = client.start(std::move(request),
        { std::move(onPiece), [ending](HttpResponse response) { ending->set_value(std::move(response)); },
            [ending](const HttpFailure&) { ending->set_value(std::nullopt); } });
    REQUIRE(id.ok());
    return future;
}

inline std::string local(std::uint16_t port) { return "127.0.0.1:" + std::to_string(port); }

inline std::optional<HttpResponse> http(HttpClient& client, std::string method, std::uint16_t port,
    const std::string& path, std::string body = {}, HttpHeaders headers = {})
{
    HttpRequest request;
    request.method = std::move(method);
    request.url = "http://" + local(port) + path;
    request.body = std::move(body);
    request.headers = std::move(headers);
    return await(startHttp(client, std::move(request)));
}

/// \return The JSON answer with its status in the field "status"; only the status 0 when the connection broke.
inline Json post(HttpClient& client, std::uint16_t port, const std::string& path, const Json& body)
{
    const auto response = http(client, "POST", port, path, body.dump());
    Json answer = response ? parseObject(response->body) : Json::object();
    answer["status"] = response ? response->status : 0;
    return answer;
}

/// \return Whether the condition came true in time.
inline bool eventually(const std::function<bool()>& condition)
{
    const auto end = std::chrono::steady_clock::now() + patience;
    while (!condition()) {
        if (std::chrono::steady_clock::now() > end)
            return false;
    }
    return true;
}

inline Json read(HttpClient& client, std::uint16_t port, const std::string& path)
{
    const auto response = http(client, "GET", port, path);
    REQUIRE(response);
    return parseObject(response->body);
}

} // namespace fuchsialb::standins::test
