#include "StoreProtocol.h"

#include "fuchsialb/Json.h"

#include <absl/strings/numbers.h>
#include <fmt/format.h>

#include <utility>

namespace fuchsialb::internal {

namespace {

    using nlohmann::json;
    using Kind = StoreAnswer::Kind;

    namespace status {
        constexpr std::uint32_t ok = 200;
        constexpr std::uint32_t badRequest = 400;
        constexpr std::uint32_t notFound = 404;
        constexpr std::uint32_t methodNotAllowed = 405;
        constexpr std::uint32_t conflict = 409;
        constexpr std::uint32_t contentTooLarge = 413;
        constexpr std::uint32_t uriTooLong = 414;
    } // namespace status

    /// Refusals that depend on the request alone: an earlier copy of it has been refused as well.
    bool refusedOutright(std::uint32_t code)
    {
        return code == status::badRequest || code == status::notFound || code == status::methodNotAllowed
            || code == status::contentTooLarge || code == status::uriTooLong;
    }

    absl::Status unexpected(const HttpResponse& response, std::string_view what)
    {
        return error(
            Reason::StoreUnavailable, fmt::format("the platform answered {} with status {}", what, response.status));
    }

    absl::Status malformed(std::string_view what)
    {
        return error(Reason::MalformedMessage, fmt::format("the platform's answer is not {}", what));
    }

    std::optional<std::uint64_t> number(const json& object, const char* name)
    {
        if (!object.is_object() || !object.contains(name) || !object[name].is_number_unsigned())
            return std::nullopt;
        return object[name].get<std::uint64_t>();
    }

    std::optional<std::string> text(const json& object, const char* name)
    {
        if (!object.is_object() || !object.contains(name) || !object[name].is_string())
            return std::nullopt;
        return object[name].get<std::string>();
    }

    /// \return The array member, or null.
    const json* list(const json& object, const char* name)
    {
        return object.is_object() && object.contains(name) && object[name].is_array() ? &object[name] : nullptr;
    }

    std::optional<ListedHost> parseHost(const json& entry)
    {
        const auto host = text(entry, "host");
        const auto dataCentre = text(entry, "data_centre");
        const auto address = text(entry, "address");
        if (!host || !dataCentre || !address)
            return std::nullopt;
        const bool leaving = entry.contains("leaving") && entry["leaving"] == true;
        return ListedHost { HostId(*host), DataCentreId(*dataCentre), *address, leaving };
    }

    StoreAnswer changeAnswer(StoreOperationId operation, Kind okKind, const HttpResponse& response)
    {
        const auto version = versionHeader(response);
        if (response.status == status::ok)
            return { operation, okKind, version.value_or(KeyVersion()), {} };
        if (response.status == status::conflict && version)
            return { operation, Kind::Conflict, *version, {} };
        return { operation, refusedOutright(response.status) ? Kind::Failed : Kind::Lost, {}, {} };
    }

} // namespace

std::string percentEncode(std::string_view text)
{
    constexpr std::string_view unreserved = "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789-._~/";
    std::string result;
    for (char c : text) {
        if (unreserved.find(c) != std::string_view::npos)
            result += c;
        else
            result += fmt::format("%{:02X}", static_cast<unsigned char>(c));
    }
    return result;
}

std::optional<KeyVersion> versionHeader(const HttpResponse& response)
{
    for (const auto& [name, value] : response.headers) {
        std::uint64_t version = 0;
        if (name == "version" && absl::SimpleAtoi(value, &version))
            return KeyVersion(version);
    }
    return std::nullopt;
}

StoreAnswer writeAnswer(StoreOperationId operation, const HttpResponse& response)
{
    // Without the version the write took effect, but its caller can't go on from it.
    const bool complete = versionHeader(response).has_value();
    return changeAnswer(operation, complete ? Kind::Ok : Kind::Lost, response);
}

StoreAnswer removeAnswer(StoreOperationId operation, const HttpResponse& response)
{
    return changeAnswer(operation, Kind::Ok, response);
}

StoreAnswer readAnswer(StoreOperationId operation, HttpResponse response)
{
    const auto version = versionHeader(response);
    if (response.status == status::ok && version)
        return { operation, Kind::Ok, *version, std::move(response.body) };
    return { operation, response.status == status::notFound ? Kind::Missing : Kind::Failed, {}, {} };
}

std::optional<WatchState> parseWatch(const HttpResponse& response, std::string_view key)
{
    const json body = parseJson(response.body);
    const auto revision = number(body, "revision");
    const json* changes = list(body, "changes");
    if (response.status != status::ok || !revision || !changes)
        return std::nullopt;
    WatchState state { *revision, std::nullopt };
    for (const json& change : *changes) {
        const auto version = number(change, "version");
        if (text(change, "key") == key && version)
            state.version = KeyVersion(*version);
    }
    return state;
}

absl::StatusOr<std::vector<ListedKey>> parseList(const HttpResponse& response)
{
    if (response.status != status::ok)
        return unexpected(response, "the list");
    const json body = parseJson(response.body);
    const json* entries = list(body, "keys");
    if (!entries)
        return malformed("a list of keys");
    std::vector<ListedKey> keys;
    for (const json& entry : *entries) {
        const auto key = text(entry, "key");
        const auto version = number(entry, "version");
        if (!key || !version)
            return malformed("a list of keys");
        keys.push_back({ *key, KeyVersion(*version) });
    }
    return keys;
}

absl::StatusOr<LeaseId> parseLease(const HttpResponse& response)
{
    if (response.status != status::ok)
        return unexpected(response, "the lease");
    const auto lease = number(parseJson(response.body), "lease");
    if (!lease || *lease == 0)
        return malformed("a lease");
    return LeaseId(*lease);
}

absl::StatusOr<std::vector<ListedHost>> parseHosts(const HttpResponse& response)
{
    if (response.status != status::ok)
        return unexpected(response, "the host list");
    const json body = parseJson(response.body);
    if (!body.is_array())
        return malformed("a list of hosts");
    std::vector<ListedHost> hosts;
    for (const json& entry : body) {
        std::optional<ListedHost> host = parseHost(entry);
        if (!host)
            return malformed("a list of hosts");
        hosts.push_back(std::move(*host));
    }
    return hosts;
}

} // namespace fuchsialb::internal
