#pragma once

#include "fuchsialb/src/Net/HttpClient.h"

#include <functional>
#include <variant>

namespace fuchsialb {

/// \brief What becomes of a blocking HTTP exchange.
using HttpOutcome = std::variant<HttpResponse, HttpFailure>;

/// \brief Performs one HTTP exchange and waits for its end.
using Transport = std::function<HttpOutcome(HttpRequest)>;

/// \param client Must outlive the transport.
Transport blockingTransport(HttpClient& client);

/// \brief Presents a blocking transport as an `HttpClient`, so that the platform's client can be used without threads:
/// callbacks run before `start` returns.
class TransportClient final : public HttpClient {
public:
    explicit TransportClient(Transport transport);

    absl::StatusOr<HttpExchangeId> start(HttpRequest request, HttpHandlers handlers) override;
    /// Do nothing: an exchange has always ended.
    void cancel(HttpExchangeId exchange) override;
    void setPaused(HttpExchangeId exchange, bool isPaused) override;

private:
    Transport m_transport;
    std::uint64_t m_lastId = 0;
};

} // namespace fuchsialb
