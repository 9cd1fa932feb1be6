#pragma once

#include "fuchsialb/src/Net/HttpClient.h"

#include <functional>
#include <variant>

namespace fuchsialb::internal {

/// What becomes of an exchange with the store: its answer, or how far the request got.
using StoreExchangeResult = std::variant<HttpResponse, HttpFailure>;
using OnStoreExchange = std::function<void(StoreExchangeResult)>;

/// Starts one exchange; `onResult` runs exactly once.
void exchangeWithStore(HttpClient& client, HttpRequest request, const OnStoreExchange& onResult);

/// \return The answer, or `StoreUnavailable` with the cause.
absl::StatusOr<HttpResponse> storeResponse(StoreExchangeResult result);

} // namespace fuchsialb::internal
