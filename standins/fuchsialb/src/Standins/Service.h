#pragma once

#include "Json.h"
#include "Loop.h"

#include <memory>
#include <set>

namespace fuchsialb::standins {

/// \brief Stand-in of a plain HTTP service; records each call that it runs.
class Service {
public:
    struct Options {
        std::string address = "127.0.0.1";
        std::uint16_t port = 0;
        std::string id = "registry-1";
        /// Rejects a repeated idempotency key with 409.
        bool deduplicates = false;
        /// Time that a call takes.
        Duration work { std::chrono::milliseconds(1) };
        Duration reportLag { std::chrono::milliseconds(100) };
    };

    static absl::StatusOr<std::unique_ptr<Service>> create(Options options);
    ~Service();

    Service(const Service&) = delete;
    Service& operator=(const Service&) = delete;

    std::uint16_t port() const { return m_server->port(); }

private:
    using Reply = std::shared_ptr<HttpReply>;

    explicit Service(Options options);
    absl::Status start();
    void handle(const ServerRequest& request, const Reply& reply);
    void run(const ServerRequest& request, const Reply& reply);
    void onFaults(const Json& faults);
    void reportLoad();

    Options m_options;
    std::shared_ptr<Loop> m_loop;
    Json m_calls = Json::array();
    std::set<std::string> m_keys;
    std::uint64_t m_running = 0;
    std::uint64_t m_reportedRunning = 0;
    Random m_random { 1 };
    double m_failBefore = 0;
    double m_dropAnswer = 0;
    Duration m_delay { 0 };
    bool m_hung = false;
    std::vector<Reply> m_held;
    std::unique_ptr<HttpServer> m_server;
};

} // namespace fuchsialb::standins
