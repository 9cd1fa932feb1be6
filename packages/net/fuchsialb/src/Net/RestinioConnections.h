#pragma once

#include "RestinioReply.h"

#include <map>
#include <memory>
#include <vector>

namespace fuchsialb::internal {

/// \brief The open connections with their unfinished answers; used on the server's thread only.
///
/// RESTinio calls it as its listener of connection states and as its filter of new connections. Its own limit of
/// connections is not used: that one keeps a pointer from each connection to the acceptor, which may be gone first.
class RestinioConnections {
public:
    using Id = restinio::connection_id_t;

    explicit RestinioConnections(std::size_t most)
        : m_most(most)
    {
    }

    void state_changed(const restinio::connection_state::notice_t& notice) noexcept // NOLINT: RESTinio's name
    {
        if (restinio::holds_alternative<restinio::connection_state::accepted_t>(notice.cause()))
            m_open.try_emplace(notice.connection_id());
        else
            close(notice.connection_id());
    }

    restinio::ip_blocker::inspection_result_t inspect(const restinio::ip_blocker::incoming_info_t&) noexcept
    {
        return m_open.size() < m_most ? restinio::ip_blocker::allow() : restinio::ip_blocker::deny();
    }

    void add(Id connection, const std::shared_ptr<RestinioReply>& reply)
    {
        auto& replies = m_open[connection];
        std::erase_if(replies, [](const auto& earlier) { return earlier->isDone(); });
        replies.push_back(reply);
    }

    void releaseAll()
    {
        for (const auto& [connection, replies] : m_open) {
            for (const auto& reply : replies)
                reply->release();
        }
        m_open.clear();
    }

private:
    void close(Id connection)
    {
        auto node = m_open.extract(connection);
        if (node.empty())
            return;
        for (const auto& reply : node.mapped())
            reply->connectionClosed();
    }

    std::size_t m_most;
    std::map<Id, std::vector<std::shared_ptr<RestinioReply>>> m_open;
};

} // namespace fuchsialb::internal
