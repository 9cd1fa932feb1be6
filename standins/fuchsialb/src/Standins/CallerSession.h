#pragma once

#include "Caller.h"
#include "CallerReport.h"
#include "EventStream.h"
#include "Loop.h"

#include <future>
#include <memory>

namespace fuchsialb::standins {

/// \brief One run of the load generator: sends, retries and checks; all on one loop.
class CallerSession {
public:
    CallerSession(const Caller::Options& options, std::unique_ptr<HttpClient> client);
    ~CallerSession();

    CallerSession(const CallerSession&) = delete;
    CallerSession& operator=(const CallerSession&) = delete;

    /// Blocks until every request has ended.
    Json run();

private:
    /// \brief One request of a caller, over all its attempts.
    struct Exchange {
        const Caller::Workload* workload = nullptr;
        std::size_t index = 0;
        std::string prompt;
        std::string key;
        std::string body;
        TimePoint due;
        std::size_t attempts = 0;
        /// Of the current attempt.
        std::string text;
        std::string outcome;
        TimePoint lastToken;
        std::size_t tokens = 0;
        bool wrong = false;
    };
    using ExchangeHandle = std::shared_ptr<Exchange>;

    void startWorkload(const Caller::Workload& workload);
    void begin(const Caller::Workload& workload, std::size_t index, TimePoint due);
    void attempt(const ExchangeHandle& exchange);
    HttpRequest request(const Exchange& exchange) const;
    HttpRequest directRequest(const Exchange& exchange) const;
    void onEvent(const ExchangeHandle& exchange, const Json& event, TimePoint time);
    void onResponse(const ExchangeHandle& exchange, const HttpResponse& response);
    void onEnd(const ExchangeHandle& exchange);
    void check(Exchange& exchange, const HttpResponse& response) const;

    const Caller::Options m_options;
    std::shared_ptr<Loop> m_loop;
    Random m_random;
    CallerReport m_report;
    std::size_t m_left = 0;
    std::promise<void> m_finished;
    std::unique_ptr<HttpClient> m_client;
};

} // namespace fuchsialb::standins
