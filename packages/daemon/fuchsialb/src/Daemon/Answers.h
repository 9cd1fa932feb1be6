#pragma once

#include "fuchsialb/Net.h"
#include "fuchsialb/Router.h"

#include <string>
#include <string_view>

namespace fuchsialb {

/// \return HTTP status of a result that did not complete.
std::uint32_t statusOf(const Result& result);

/// \return RFC 9457 problem details of a result that did not complete.
std::string problemDetails(const Result& result, RequestId request);

/// \return The whole answer to a request that did not complete, with Retry-After and the outcome header.
HttpResponse problemResponse(const Result& result, RequestId request);

/// \return The whole answer of a plain service that completed.
HttpResponse serviceResponse(const Result& result, RequestId request);

/// \return The whole answer of a completion that was not streamed.
HttpResponse completionResponse(const Result& result, RequestId request, std::string_view model, std::string_view text);

/// \return One event of a streamed completion.
std::string tokenEvent(RequestId request, std::string_view model, std::string_view text);

/// \return The last events of a stream: completed with "[DONE]", or an error object without it.
std::string finalEvents(const Result& result, RequestId request, std::string_view model);

/// \return Headers of a streamed completion.
HttpHeaders streamHeaders(RequestId request);

} // namespace fuchsialb
