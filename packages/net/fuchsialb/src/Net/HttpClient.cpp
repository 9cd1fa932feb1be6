#include "HttpClient.h"

#include "AsioCurlClient.h"
#include "CurlExchange.h"
#include "ScopedSignalMask.h"
#include "SystemClock.h"

#include <unistd.h>

#include <atomic>
#include <map>
#include <mutex>
#include <thread>
#include <variant>

namespace fuchsialb {

namespace {

    // Idle connections kept for reuse, over all peers.
    constexpr long maxIdleConnections = 1024;
    constexpr int idlePollMilliseconds = 1000;
    // Bounds how late the end of a silence timeout is noticed.
    constexpr int silencePollMilliseconds = 20;

    void initialiseCurl()
    {
        static std::once_flag once;
        std::call_once(once, [] { curl_global_init(CURL_GLOBAL_DEFAULT); });
    }

    class CurlClient final : public HttpClient {
    public:
        explicit CurlClient(Options options)
            : m_options(std::move(options))
            , m_multi(curl_multi_init())
            , m_memory(m_options.memory ? m_options.memory : std::make_shared<MemoryBudget>(defaultResponseMemory))
        {
        }

        CurlClient(const CurlClient&) = delete;
        CurlClient& operator=(const CurlClient&) = delete;

        ~CurlClient() override
        {
            m_stopping = true;
            if (m_thread.joinable()) {
                curl_multi_wakeup(m_multi);
                m_thread.join();
            }
            curl_multi_cleanup(m_multi);
        }

        bool run()
        {
            if (!m_multi || curl_multi_setopt(m_multi, CURLMOPT_MAXCONNECTS, maxIdleConnections) != CURLM_OK)
                return false;
            const auto signals = ScopedSignalMask::blockAll();
            m_thread = std::thread([this] { loop(); });
            return true;
        }

        absl::StatusOr<HttpExchangeId> start(HttpRequest request, HttpHandlers handlers) override
        {
            HttpExchangeId id;
            {
                const std::lock_guard lock(m_mutex);
                if (m_closed)
                    return error(Reason::ShuttingDown, "the HTTP client is stopped");
                if (m_pending >= m_options.capacity)
                    return error(Reason::QueueFull, "the HTTP client has no room for another exchange");
                ++m_pending;
                id = HttpExchangeId(++m_lastId);
                m_commands.emplace_back(std::make_unique<internal::CurlExchange>(
                    id, std::move(request), std::move(handlers), m_options.maxBody, m_memory, m_connections));
            }
            curl_multi_wakeup(m_multi);
            return id;
        }

        void cancel(HttpExchangeId exchange) override
        {
            {
                const std::lock_guard lock(m_mutex);
                if (m_closed)
                    return;
                m_commands.emplace_back(exchange);
            }
            curl_multi_wakeup(m_multi);
        }

        void setPaused(HttpExchangeId exchange, bool isPaused) override
        {
            {
                const std::lock_guard lock(m_mutex);
                if (m_closed)
                    return;
                m_commands.emplace_back(Pause { exchange, isPaused });
            }
            curl_multi_wakeup(m_multi);
        }

    private:
        using Exchange = std::unique_ptr<internal::CurlExchange>;
        struct Pause {
            HttpExchangeId exchange;
            bool isPaused = false;
        };
        /// An exchange to start, the id of one to cancel, or one to pause or resume.
        using Command = std::variant<Exchange, HttpExchangeId, Pause>;

        void loop()
        {
            while (!m_stopping) {
                obeyCommands();
                int running = 0;
                curl_multi_perform(m_multi, &running);
                collectFinished();
                failSilent();
                const int wait = m_silenceLimited > 0 ? silencePollMilliseconds : idlePollMilliseconds;
                curl_multi_poll(m_multi, nullptr, 0, wait, nullptr);
            }
            failAll();
        }

        std::vector<Command> takeCommands()
        {
            const std::lock_guard lock(m_mutex);
            return std::exchange(m_commands, {});
        }

        void obeyCommands()
        {
            for (Command& command : takeCommands()) {
                if (auto* exchange = std::get_if<Exchange>(&command))
                    startExchange(std::move(*exchange));
                else if (const auto* pause = std::get_if<Pause>(&command))
                    pauseExchange(*pause);
                else
                    failExchange(std::get<HttpExchangeId>(command), Reason::Cancelled, "the exchange was cancelled");
            }
        }

        void pauseExchange(const Pause& pause)
        {
            if (const auto found = m_exchanges.find(pause.exchange); found != m_exchanges.end())
                curl_easy_pause(found->second->handle(), pause.isPaused ? CURLPAUSE_RECV : CURLPAUSE_CONT);
        }

        void startExchange(Exchange exchange)
        {
            internal::CurlExchange& started = *exchange;
            m_silenceLimited += started.limitsSilence() ? 1 : 0;
            m_exchanges.emplace(started.id(), std::move(exchange));
            const bool isPrepared = started.prepare();
            curl_easy_setopt(started.handle(), CURLOPT_CLOSESOCKETFUNCTION, &CurlClient::closeSocket);
            curl_easy_setopt(started.handle(), CURLOPT_CLOSESOCKETDATA, this);
            if (!isPrepared || curl_multi_add_handle(m_multi, started.handle()) != CURLM_OK)
                failExchange(started.id(), Reason::InvalidInput, "the request can't be expressed in HTTP");
        }

        void restartExchange(Exchange exchange, CURLcode code)
        {
            if (curl_multi_add_handle(m_multi, exchange->handle()) != CURLM_OK) {
                exchange->finish(code);
                return;
            }
            const std::lock_guard lock(m_mutex);
            ++m_pending;
            m_silenceLimited += exchange->limitsSilence() ? 1 : 0;
            m_exchanges.emplace(exchange->id(), std::move(exchange));
        }

        static int closeSocket(void* self, curl_socket_t socket)
        {
            static_cast<CurlClient*>(self)->m_connections.remove(socket);
            return ::close(socket);
        }

        void collectFinished()
        {
            int left = 0;
            while (const CURLMsg* message = curl_multi_info_read(m_multi, &left)) {
                if (message->msg != CURLMSG_DONE)
                    continue;
                const CURLcode code = message->data.result;
                char* pointer = nullptr;
                curl_easy_getinfo(message->easy_handle, CURLINFO_PRIVATE, &pointer);
                const auto id = reinterpret_cast<internal::CurlExchange*>(pointer)->id();
                Exchange exchange = remove(id);
                if (!exchange)
                    continue;
                if (exchange->restart())
                    restartExchange(std::move(exchange), code);
                else
                    exchange->finish(code);
            }
        }

        void failSilent()
        {
            if (m_silenceLimited == 0)
                return;
            const TimePoint now = SystemClock().now();
            std::vector<HttpExchangeId> silent;
            for (const auto& [id, exchange] : m_exchanges) {
                if (exchange->isSilent(now))
                    silent.push_back(id);
            }
            for (const HttpExchangeId& id : silent)
                failExchange(id, Reason::ConnectionSilent, "nothing arrived within the silence timeout");
        }

        void failAll()
        {
            {
                const std::lock_guard lock(m_mutex);
                m_closed = true;
            }
            obeyCommands();
            while (!m_exchanges.empty())
                failExchange(m_exchanges.begin()->first, Reason::Cancelled, "the HTTP client is stopped");
        }

        void failExchange(HttpExchangeId id, Reason reason, std::string_view detail)
        {
            if (const Exchange exchange = remove(id))
                exchange->fail(reason, detail);
        }

        Exchange remove(HttpExchangeId id)
        {
            auto node = m_exchanges.extract(id);
            if (node.empty())
                return nullptr;
            Exchange exchange = std::move(node.mapped());
            if (exchange->handle())
                curl_multi_remove_handle(m_multi, exchange->handle());
            m_silenceLimited -= exchange->limitsSilence() ? 1 : 0;
            const std::lock_guard lock(m_mutex);
            --m_pending;
            return exchange;
        }

        const Options m_options;
        CURLM* const m_multi;
        const std::shared_ptr<MemoryBudget> m_memory;
        internal::KeptConnections m_connections;
        std::atomic<bool> m_stopping = false;

        std::mutex m_mutex;
        std::vector<Command> m_commands;
        std::size_t m_pending = 0;
        std::uint64_t m_lastId = 0;
        bool m_closed = false;

        // The rest belongs to the thread.
        std::map<HttpExchangeId, Exchange> m_exchanges;
        std::size_t m_silenceLimited = 0;
        std::thread m_thread;
    };

} // namespace

absl::StatusOr<std::unique_ptr<HttpClient>> HttpClient::create(Options options)
{
    initialiseCurl();
    auto client = std::make_unique<CurlClient>(std::move(options));
    if (!client->run())
        return error(Reason::Internal, "curl could not be initialised");
    return client;
}

absl::StatusOr<std::unique_ptr<HttpClient>> HttpClient::create(Options options, asio::io_context& context)
{
    initialiseCurl();
    auto client = std::make_unique<internal::AsioCurlClient>(std::move(options), context);
    if (!client->prepare())
        return error(Reason::Internal, "curl can't be initialised");
    return client;
}

} // namespace fuchsialb
