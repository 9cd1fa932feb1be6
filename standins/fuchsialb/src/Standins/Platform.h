#pragma once

#include "Json.h"
#include "KeyValueStore.h"
#include "Loop.h"

#include <list>
#include <memory>

namespace fuchsialb::standins {

/// \brief Stand-in of the platform: key-value service, host list and faults over HTTP.
class Platform {
public:
    struct Options {
        std::string address = "127.0.0.1";
        std::uint16_t port = 0;
        /// A changed host list is shown after this long.
        Duration hostLag { 0 };
        /// JSON array of hosts at the start.
        std::string hosts = "[]";
    };

    static absl::StatusOr<std::unique_ptr<Platform>> create(Options options);
    ~Platform();

    Platform(const Platform&) = delete;
    Platform& operator=(const Platform&) = delete;

    std::uint16_t port() const { return m_server->port(); }

private:
    using Reply = std::shared_ptr<HttpReply>;

    struct Watch {
        std::string prefix;
        std::uint64_t after = 0;
        Reply reply;
    };

    explicit Platform(Options options);
    absl::Status start();
    void handle(const ServerRequest& request, const Reply& reply);
    void act(const ServerRequest& request, const Reply& reply, bool loseAnswer);
    HttpResponse respond(const ServerRequest& request);
    HttpResponse onKey(const ServerRequest& request);
    HttpResponse onList(const ServerRequest& request) const;
    HttpResponse onLeases(const ServerRequest& request);
    HttpResponse onHosts(const ServerRequest& request);
    HttpResponse onFaults(const ServerRequest& request);
    void watch(const ServerRequest& request, const Reply& reply);
    HttpResponse changesResponse(const Watch& watch) const;
    void answerWatches();
    void expireLater();
    void count(const ServerRequest& request);

    Options m_options;
    std::shared_ptr<Loop> m_loop;
    KeyValueStore m_store;
    std::list<Watch> m_watches;
    std::string m_hosts;
    std::map<std::string, std::uint64_t> m_calls;
    bool m_outage = false;
    Duration m_delay { 0 };
    double m_loseAnswers = 0;
    Random m_random { 1 };
    std::unique_ptr<HttpServer> m_server;
};

} // namespace fuchsialb::standins
