#include "FakePlatform.h"

#include <utility>

namespace fuchsialb {

namespace {

    const std::string keyUrl = "http://127.0.0.1:9/v1/kv/";

    HttpFailure failure(Reason reason, bool notSent) { return { error(reason, "test"), notSent }; }

} // namespace

Environment FakePlatform::environment()
{
    Environment result;
    result.transport = [this](const HttpRequest& request) { return exchange(request); };
    result.readFile = [this](const std::string& path) -> absl::StatusOr<std::string> {
        const auto file = files.find(path);
        if (file == files.end())
            return error(Reason::InvalidInput, path + " can't be read");
        return file->second;
    };
    result.out = [this](std::string_view text) { out += text; };
    result.err = [this](std::string_view text) { err += text; };
    result.sleep = [this](Duration time) { clock.advance(time); };
    result.variable = [this](const std::string& name) {
        const auto found = variables.find(name);
        return found == variables.end() ? std::nullopt : std::optional(found->second);
    };
    result.clock = &clock;
    return result;
}

ExitCode FakePlatform::run(const std::vector<std::string>& arguments)
{
    out.clear();
    err.clear();
    return runCli(arguments, environment());
}

HttpOutcome FakePlatform::exchange(const HttpRequest& request)
{
    const auto daemon = daemons.find(request.method + " " + request.url);
    if (daemon != daemons.end())
        return daemon->second(clock.now().time_since_epoch());
    if (!request.url.starts_with(keyUrl) || down)
        return failure(Reason::ConnectFailed, true);
    const std::string path = request.url.substr(keyUrl.size());
    const std::size_t query = path.find("?expect=");
    const std::uint64_t expect = query == std::string::npos ? 0 : std::stoull(path.substr(query + 8));
    return onKey(request, path.substr(0, query), expect);
}

HttpOutcome FakePlatform::onKey(const HttpRequest& request, const std::string& key, std::uint64_t expect)
{
    if (request.method == "GET") {
        const auto entry = store.find(key);
        if (entry == store.end())
            return HttpResponse { 404, {}, {} };
        return HttpResponse { 200, { { "version", std::to_string(entry->second.version) } }, entry->second.value };
    }
    if (key != configurationHeadKey)
        return change(request, key, expect);
    if (beforeHead)
        std::exchange(beforeHead, {})();
    if (headFaults.empty())
        return change(request, key, expect);
    const Fault fault = headFaults.front();
    headFaults.pop_front();
    if (fault == Fault::LoseAnswer)
        change(request, key, expect);
    return failure(Reason::ConnectionLost, fault == Fault::Refuse);
}

HttpResponse FakePlatform::change(const HttpRequest& request, const std::string& key, std::uint64_t expect)
{
    const auto entry = store.find(key);
    const std::uint64_t version = entry == store.end() ? 0 : entry->second.version;
    if (version != expect)
        return { 409, { { "version", std::to_string(version) } }, {} };
    if (request.method == "DELETE") {
        store.erase(key);
        return { 200, {}, {} };
    }
    puts.push_back(key);
    store[key] = { version + 1, request.body };
    return { 200, { { "version", std::to_string(version + 1) } }, {} };
}

} // namespace fuchsialb
