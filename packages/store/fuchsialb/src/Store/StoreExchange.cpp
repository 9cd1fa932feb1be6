#include "StoreExchange.h"

#include <string>
#include <utility>

namespace fuchsialb::internal {

void exchangeWithStore(HttpClient& client, HttpRequest request, const OnStoreExchange& onResult)
{
    HttpHandlers handlers;
    handlers.onResponse = [onResult](HttpResponse response) { onResult(std::move(response)); };
    handlers.onFailure = [onResult](HttpFailure failure) { onResult(std::move(failure)); };
    const auto started = client.start(std::move(request), std::move(handlers));
    if (!started.ok())
        onResult(HttpFailure { started.status(), true });
}

absl::StatusOr<HttpResponse> storeResponse(StoreExchangeResult result)
{
    if (auto* response = std::get_if<HttpResponse>(&result))
        return std::move(*response);
    const absl::Status& status = std::get<HttpFailure>(result).status;
    return error(Reason::StoreUnavailable, std::string(status.message().data(), status.message().size()));
}

} // namespace fuchsialb::internal
