#include "fuchsialb/Net.h"
#include "support/RawSocket.h"

#include <catch2/catch.hpp>

#include <asio/executor_work_guard.hpp>
#include <asio/ip/tcp.hpp>
#include <asio/steady_timer.hpp>

#include <fmt/format.h>

#include <algorithm>
#include <functional>
#include <list>

#include <optional>
#include <vector>

using namespace fuchsialb;
using namespace std::chrono_literals;

namespace {

/// A listener whose queue of connections is full, so that further connections are neither taken nor refused.
class FullListener {
public:
    explicit FullListener(asio::io_context& loop)
        : m_acceptor(loop)
    {
        m_acceptor.open(asio::ip::tcp::v4());
        m_acceptor.bind({ asio::ip::make_address("127.0.0.1"), 0 });
        m_acceptor.listen(0);
        constexpr int more = 4;
        for (int i = 0; i < more; ++i) {
            m_waiting.emplace_back(loop);
            m_waiting.back().async_connect(m_acceptor.local_endpoint(), [](const asio::error_code&) {});
        }
    }

    std::string url() const { return fmt::format("http://127.0.0.1:{}/", m_acceptor.local_endpoint().port()); }

private:
    asio::ip::tcp::acceptor m_acceptor;
    std::list<asio::ip::tcp::socket> m_waiting;
};

struct Ended {
    std::optional<std::uint32_t> status;
    std::optional<HttpFailure> failure;
};

std::shared_ptr<Ended> start(HttpClient& client, const std::string& url)
{
    auto outcome = std::make_shared<Ended>();
    HttpRequest request;
    request.url = url;
    request.connectTimeout = 60ms;
    HttpHandlers handlers;
    handlers.onResponse = [outcome](const HttpResponse& response) { outcome->status = response.status; };
    handlers.onFailure = [outcome](HttpFailure failure) { outcome->failure = std::move(failure); };
    REQUIRE(client.start(std::move(request), std::move(handlers)).ok());
    return outcome;
}

void runUntil(asio::io_context& loop, const std::function<bool()>& done, std::chrono::milliseconds atMost)
{
    const auto end = std::chrono::steady_clock::now() + atMost;
    while (!done() && std::chrono::steady_clock::now() < end)
        loop.run_for(1ms);
}

} // namespace

SCENARIO("the client on an event loop notices answers on sockets that reuse the number of a failed connection")
{
    GIVEN("a peer that never takes connections, and a server that answers after 15 ms")
    {
        auto loop = std::make_shared<asio::io_context>(1);
        const FullListener full(*loop);
        HttpServer::Options options;
        options.context = loop;
        const auto server
            = HttpServer::create(options, [&](const ServerRequest&, const std::shared_ptr<HttpReply>& reply) {
                  auto timer = std::make_shared<asio::steady_timer>(*loop, 15ms);
                  timer->async_wait([timer, reply](const asio::error_code&) { reply->send({ 200, {}, "late" }); });
              });
        REQUIRE(server.ok());
        const std::string url = fmt::format("http://127.0.0.1:{}/", (*server)->port());
        auto client = HttpClient::create({}, *loop);
        REQUIRE(client.ok());

        WHEN("several connections time out and requests to the server follow at once, again and again")
        {
            std::vector<std::chrono::steady_clock::duration> times;
            constexpr int rounds = 4;
            for (int round = 0; round < rounds; ++round) {
                std::vector<std::shared_ptr<Ended>> failing;
                for (int i = 0; i < 3; ++i)
                    failing.push_back(start(**client, full.url()));
                runUntil(
                    *loop,
                    [&] {
                        return std::all_of(
                            failing.begin(), failing.end(), [](const auto& outcome) { return outcome->failure; });
                    },
                    2000ms);
                for (const auto& outcome : failing) {
                    REQUIRE(outcome->failure);
                    CHECK(outcome->failure->notSent);
                }
                const auto begun = std::chrono::steady_clock::now();
                const auto answered = start(**client, url);
                runUntil(
                    *loop, [&] { return answered->status.has_value(); }, 2000ms);

                REQUIRE(answered->status);
                times.push_back(std::chrono::steady_clock::now() - begun);
            }

            THEN("no answer is held until a timer of curl fires")
            {
                // The earliest of curl's timers that would notice the answer fires after 200 ms.
                for (const auto& time : times)
                    CHECK(time < 150ms);
            }
        }
        client->reset();
    }
}
