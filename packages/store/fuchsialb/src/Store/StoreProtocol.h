#pragma once

#include "StoreClient.h"

#include <optional>
#include <string>
#include <string_view>

namespace fuchsialb::internal {

/// \return `text` with everything but unreserved characters and '/' percent-encoded.
std::string percentEncode(std::string_view text);

/// \return The key version in the header `Version`.
std::optional<KeyVersion> versionHeader(const HttpResponse& response);

/// \return The answer of a write that the service answered.
StoreAnswer writeAnswer(StoreOperationId operation, const HttpResponse& response);
StoreAnswer removeAnswer(StoreOperationId operation, const HttpResponse& response);
StoreAnswer readAnswer(StoreOperationId operation, HttpResponse response);

/// \brief Answer of a watch on a prefix: the revision of the store and the version of one key, if that changed.
struct WatchState {
    std::uint64_t revision = 0;
    /// 0 when the key was deleted.
    std::optional<KeyVersion> version;
};

std::optional<WatchState> parseWatch(const HttpResponse& response, std::string_view key);
absl::StatusOr<std::vector<ListedKey>> parseList(const HttpResponse& response);
absl::StatusOr<LeaseId> parseLease(const HttpResponse& response);
absl::StatusOr<std::vector<ListedHost>> parseHosts(const HttpResponse& response);

} // namespace fuchsialb::internal
