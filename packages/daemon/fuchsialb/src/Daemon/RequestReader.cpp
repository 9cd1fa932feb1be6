#include "RequestReader.h"

#include "fuchsialb/Json.h"

#include <absl/strings/numbers.h>
#include <fmt/format.h>

#include <algorithm>
#include <cctype>

namespace fuchsialb {

namespace {

    using nlohmann::json;

    constexpr std::string_view completionsPath = "/v1/completions";
    constexpr std::string_view servicesPrefix = "/v1/services/";
    constexpr std::uint32_t maxTokensLimit = 131072;
    constexpr std::uint32_t defaultMaxTokens = 256;
    constexpr std::int64_t maxDeadlineMs = 24LL * 3600 * 1000;
    constexpr std::size_t maxNameBytes = 128;
    constexpr std::size_t maxKeyBytes = 255;
    // Callers' tokenizers are unknown here; four bytes a token is the usual estimate and only weights the cost.
    constexpr std::size_t bytesPerToken = 4;

    absl::Status invalid(std::string_view field, std::string_view read, std::string_view accepted)
    {
        constexpr std::size_t maxShown = 64;
        return error(Reason::InvalidInput,
            fmt::format("{}: read \"{}\", accepted: {}", field, read.substr(0, maxShown), accepted));
    }

    bool isName(std::string_view text)
    {
        const auto allowed
            = [](unsigned char c) { return std::isalnum(c) || c == '-' || c == '_' || c == '.' || c == ':'; };
        return !text.empty() && text.size() <= maxNameBytes && std::all_of(text.begin(), text.end(), allowed);
    }

    absl::Status readHeaders(const ServerRequest& from, Rank defaultRank, Request& to)
    {
        const std::string* organisation = from.header("fuchsialb-organisation");
        if (!organisation)
            return error(Reason::OrganisationRequired, "the header fuchsialb-organisation is missing");
        if (!isName(*organisation))
            return invalid("fuchsialb-organisation", *organisation, "1 to 128 letters, digits or '-_.:'");
        to.organisation = OrganisationId(*organisation);
        to.rank = defaultRank;
        if (const std::string* rank = from.header("fuchsialb-rank")) {
            const auto known = rankFromName(*rank);
            if (!known)
                return invalid("fuchsialb-rank", *rank, "urgent, recording or summary");
            to.rank = *known;
        }
        if (const std::string* deadline = from.header("fuchsialb-deadline-ms")) {
            std::int64_t milliseconds = 0;
            if (!absl::SimpleAtoi(*deadline, &milliseconds) || milliseconds < 1 || milliseconds > maxDeadlineMs)
                return invalid("fuchsialb-deadline-ms", *deadline, "a number of 1 to 86400000");
            to.timeLeft = std::chrono::milliseconds(milliseconds);
        }
        if (const std::string* key = from.header("idempotency-key")) {
            const auto visible = [](unsigned char c) { return c >= 0x20 && c < 0x7f; };
            if (key->empty() || key->size() > maxKeyBytes || !std::all_of(key->begin(), key->end(), visible))
                return invalid("Idempotency-Key", *key, "1 to 255 visible ASCII characters");
            to.idempotencyKey = *key;
        }
        return absl::OkStatus();
    }

    absl::StatusOr<std::uint32_t> readMaxTokens(const json& body)
    {
        const auto it = body.find("max_tokens");
        if (it == body.end())
            return defaultMaxTokens;
        if (!it->is_number_integer() || *it < 1 || *it > maxTokensLimit)
            return invalid("max_tokens", it->dump(), "a number of 1 to 131072");
        return it->get<std::uint32_t>();
    }

    absl::Status readCompletion(const ServerRequest& from, CallerRequest& to)
    {
        if (from.method != "POST")
            return invalid("method", from.method, "POST");
        const json body = parseJson(from.body);
        if (!body.is_object())
            return invalid("body", from.body, "a JSON object");
        const auto model = body.find("model");
        if (model == body.end() || !model->is_string() || !isName(model->get_ref<const std::string&>()))
            return invalid("model", model == body.end() ? "nothing" : model->dump(), "the name of a model");
        const auto prompt = body.find("prompt");
        if (prompt == body.end() || !prompt->is_string() || prompt->get_ref<const std::string&>().empty())
            return invalid("prompt", prompt == body.end() ? "nothing" : prompt->dump(), "a text that is not empty");
        const auto maxTokens = readMaxTokens(body);
        if (!maxTokens.ok())
            return maxTokens.status();
        if (const auto stream = body.find("stream"); stream != body.end()) {
            if (!stream->is_boolean())
                return invalid("stream", stream->dump(), "true or false");
            to.stream = stream->get<bool>();
        }
        to.request.kind = TargetKind::Model;
        to.request.target = TargetId(model->get<std::string>());
        to.request.prompt = prompt->get<std::string>();
        to.request.promptTokens
            = static_cast<std::uint32_t>((to.request.prompt.size() + bytesPerToken - 1) / bytesPerToken);
        to.request.maxTokens = *maxTokens;
        return absl::OkStatus();
    }

    absl::Status readServiceCall(const ServerRequest& from, CallerRequest& to)
    {
        const std::string rest = from.path.substr(servicesPrefix.size());
        const std::size_t slash = rest.find('/');
        const std::string service = rest.substr(0, slash);
        if (!isName(service))
            return invalid("path", from.path, "/v1/services/<service>/<path>");
        to.request.kind = TargetKind::Service;
        to.request.target = TargetId(service);
        to.request.method = from.method;
        to.request.path = slash == std::string::npos ? "/" : rest.substr(slash);
        if (!from.query.empty())
            to.request.path += "?" + from.query;
        if (const std::string* type = from.header("content-type"))
            to.request.contentType = *type;
        to.request.body = from.body;
        return absl::OkStatus();
    }

} // namespace

absl::StatusOr<CallerRequest> RequestReader::read(const ServerRequest& request, Rank defaultRank)
{
    CallerRequest caller;
    absl::Status status;
    if (request.path == completionsPath)
        status = readCompletion(request, caller);
    else if (request.path.starts_with(servicesPrefix))
        status = readServiceCall(request, caller);
    else
        status = error(Reason::TargetUnknown,
            fmt::format("{}: accepted: /v1/completions and /v1/services/<service>/<path>", request.path));
    if (status.ok())
        status = readHeaders(request, defaultRank, caller.request);
    if (!status.ok())
        return status;
    caller.request.bodyDigest = hash64(request.body, hash64(fmt::format("{} {}", request.method, request.path)));
    return caller;
}

} // namespace fuchsialb
