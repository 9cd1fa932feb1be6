#pragma once

#include "Waiting.h"
#include "fuchsialb/Net.h"

#include <optional>

namespace fuchsialb::test {

/// \brief How one exchange ended.
struct Ending {
    std::optional<HttpResponse> response;
    std::optional<HttpFailure> failure;

    Reason reason() const { return failure ? reasonOf(failure->status) : Reason::Ok; }
};

/// \brief An exchange that is under way.
struct Call {
    HttpExchangeId id;
    std::future<Ending> ending;
};

inline Call startCall(HttpClient& client, HttpRequest request, std::function<void(std::string_view)> onPiece = {})
{
    auto promise = std::make_shared<std::promise<Ending>>();
    Call call;
    call.ending = promise->get_future();
    const auto id = client.start(std::move(request),
        { std::move(onPiece),
            [promise](HttpResponse response) {
                promise->set_value({ std::move(response), {} });
            },
            [promise](HttpFailure failure) {
                promise->set_value({ {}, std::move(failure) });
            } });
    REQUIRE(id.ok());
    call.id = *id;
    return call;
}

inline Ending callAndWait(HttpClient& client, HttpRequest request)
{
    Call call = startCall(client, std::move(request));
    return await(call.ending);
}

inline HttpRequest request(std::string method, std::uint16_t port, std::string path, std::string body = {})
{
    HttpRequest made;
    made.method = std::move(method);
    made.url = "http://127.0.0.1:" + std::to_string(port) + path;
    made.body = std::move(body);
    return made;
}

} // namespace fuchsialb::test
