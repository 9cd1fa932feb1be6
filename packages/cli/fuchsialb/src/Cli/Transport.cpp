#include "Transport.h"

#include <future>
#include <memory>
#include <utility>

namespace fuchsialb {

Transport blockingTransport(HttpClient& client)
{
    return [&client](HttpRequest request) -> HttpOutcome {
        auto ended = std::make_shared<std::promise<HttpOutcome>>();
        std::future<HttpOutcome> outcome = ended->get_future();
        HttpHandlers handlers;
        handlers.onResponse = [ended](HttpResponse response) { ended->set_value(std::move(response)); };
        handlers.onFailure = [ended](HttpFailure failure) { ended->set_value(std::move(failure)); };
        const auto started = client.start(std::move(request), std::move(handlers));
        if (!started.ok())
            return HttpFailure { started.status(), true };
        return outcome.get();
    };
}

TransportClient::TransportClient(Transport transport)
    : m_transport(std::move(transport))
{
}

absl::StatusOr<HttpExchangeId> TransportClient::start(HttpRequest request, HttpHandlers handlers)
{
    HttpOutcome outcome = m_transport(std::move(request));
    if (auto* response = std::get_if<HttpResponse>(&outcome))
        handlers.onResponse(std::move(*response));
    else
        handlers.onFailure(std::get<HttpFailure>(std::move(outcome)));
    return HttpExchangeId(++m_lastId);
}

void TransportClient::cancel(HttpExchangeId) { }

void TransportClient::setPaused(HttpExchangeId, bool) { }

} // namespace fuchsialb
