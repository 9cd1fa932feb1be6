#include "StoreClient.h"

#include "StoreExchange.h"
#include "StoreProtocol.h"
#include "StoreWatcher.h"
#include "fuchsialb/Config.h"

#include <fmt/format.h>

#include <utility>

namespace fuchsialb {

namespace {

    using Kind = StoreAnswer::Kind;

    using Result = internal::StoreExchangeResult;
    using OnResult = internal::OnStoreExchange;
    using internal::storeResponse;

    constexpr std::string_view scheme = "http://";

    StoreAnswer failedWrite(StoreOperationId operation, const HttpFailure& failure)
    {
        return { operation, failure.notSent ? Kind::Failed : Kind::Lost, {}, {} };
    }

    class HttpStoreClient final : public StoreClient {
    public:
        HttpStoreClient(Options options, HttpClient& client, const Clock& clock)
            : m_options(std::move(options))
            , m_client(client)
            , m_watcher(std::make_shared<internal::StoreWatcher>(
                  [url = m_options.url, timeout = m_options.timeout, &client](
                      const std::string& path, Duration wait, const internal::StoreWatcher::OnResponse& onResponse) {
                      internal::exchangeWithStore(client, { "GET", url + path, {}, {}, timeout + wait },
                          [onResponse](Result result) { onResponse(storeResponse(std::move(result))); });
                  },
                  clock))
        {
        }

        void read(StoreRead operation, OnAnswer onAnswer) override
        {
            const StoreOperationId id = operation.operation;
            start("GET", keyPath(operation.key), {}, [id, onAnswer = std::move(onAnswer)](Result result) {
                auto* response = std::get_if<HttpResponse>(&result);
                onAnswer(response ? internal::readAnswer(id, std::move(*response))
                                  : StoreAnswer { id, Kind::Failed, {}, {} });
            });
        }

        void compareAndSwap(StoreCompareAndSwap operation, LeaseId lease, OnAnswer onAnswer) override
        {
            const StoreOperationId id = operation.operation;
            std::string path = fmt::format("{}?expect={}", keyPath(operation.key), operation.expected.value());
            if (lease != LeaseId())
                path += fmt::format("&lease={}", lease.value());
            start("PUT", path, std::move(operation.value), [id, onAnswer = std::move(onAnswer)](const Result& result) {
                const auto* response = std::get_if<HttpResponse>(&result);
                onAnswer(
                    response ? internal::writeAnswer(id, *response) : failedWrite(id, std::get<HttpFailure>(result)));
            });
        }

        void watch(StoreWatch operation, OnAnswer onAnswer) override
        {
            m_watcher->watch(std::move(operation), std::move(onAnswer));
        }

        void remove(StoreOperationId operation, std::string key, KeyVersion expected, OnAnswer onAnswer) override
        {
            const std::string path = fmt::format("{}?expect={}", keyPath(key), expected.value());
            start("DELETE", path, {}, [operation, onAnswer = std::move(onAnswer)](const Result& result) {
                const auto* response = std::get_if<HttpResponse>(&result);
                onAnswer(response ? internal::removeAnswer(operation, *response)
                                  : failedWrite(operation, std::get<HttpFailure>(result)));
            });
        }

        void list(std::string prefix, std::function<void(absl::StatusOr<std::vector<ListedKey>>)> onKeys) override
        {
            call("GET", "/v1/list?prefix=" + internal::percentEncode(prefix), internal::parseList, std::move(onKeys));
        }

        void createLease(Duration ttl, std::function<void(absl::StatusOr<LeaseId>)> onLease) override
        {
            const auto milliseconds = std::chrono::duration_cast<std::chrono::milliseconds>(ttl);
            call("POST", fmt::format("/v1/leases?ttl_ms={}", milliseconds.count()), internal::parseLease,
                std::move(onLease));
        }

        void renewLease(LeaseId lease, std::function<void(absl::Status)> onRenewed) override
        {
            const auto parse = [lease](const HttpResponse& response) -> absl::Status {
                constexpr std::uint32_t ok = 200;
                constexpr std::uint32_t notFound = 404;
                if (response.status == ok)
                    return absl::OkStatus();
                return error(response.status == notFound ? Reason::StoreConflict : Reason::StoreUnavailable,
                    fmt::format("lease {} was not renewed: status {}", lease.value(), response.status));
            };
            call("POST", fmt::format("/v1/leases/{}/renew", lease.value()), parse, std::move(onRenewed));
        }

        void hosts(std::function<void(absl::StatusOr<std::vector<ListedHost>>)> onHosts) override
        {
            call("GET", "/v1/hosts", internal::parseHosts, std::move(onHosts));
        }

    private:
        static std::string keyPath(const std::string& key) { return "/v1/kv/" + internal::percentEncode(key); }

        void start(const char* method, const std::string& path, std::string body, const OnResult& onResult)
        {
            internal::exchangeWithStore(
                m_client, { method, m_options.url + path, {}, std::move(body), m_options.timeout }, onResult);
        }

        /// Passes a response through `parse`, and a failure as it is.
        template <typename Parse, typename Done>
        void call(const char* method, const std::string& path, Parse parse, Done done)
        {
            start(method, path, {}, [parse, done = std::move(done)](Result result) {
                const auto response = storeResponse(std::move(result));
                if (response.ok())
                    done(parse(*response));
                else
                    done(response.status());
            });
        }

        Options m_options;
        HttpClient& m_client;
        std::shared_ptr<internal::StoreWatcher> m_watcher;
    };

} // namespace

absl::StatusOr<std::unique_ptr<StoreClient>> StoreClient::create(
    Options options, HttpClient& client, const Clock& clock)
{
    const std::string_view url = options.url;
    if (!url.starts_with(scheme) || !validAddress(url.substr(scheme.size())))
        return error(Reason::InvalidFlag, fmt::format("read is '{}', accepted is http://IP:port", options.url));
    return std::make_unique<HttpStoreClient>(std::move(options), client, clock);
}

} // namespace fuchsialb
