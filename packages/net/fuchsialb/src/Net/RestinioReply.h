#pragma once

#include "HttpServer.h"

#include <restinio/all.hpp>

#include <atomic>
#include <memory>
#include <optional>

namespace fuchsialb::internal {

// Included by HttpServer.cpp only: RESTinio takes about 20 s to compile.

/// \brief State of one answer; used on the server's thread only.
///
/// It holds the connection, so it is released when the answer is complete, when the peer is gone or when the server
/// stops, and never by the thread that drops the last reference to the reply.
class RestinioReply {
public:
    using ByteCount = std::shared_ptr<std::atomic<std::size_t>>;

    /// \param allUnsent Unsent bytes of all replies of the server.
    RestinioReply(restinio::request_handle_t request, ByteCount allUnsent)
        : m_request(std::move(request))
        , m_connection(restinio::impl::access_req_connection(*m_request))
        , m_allUnsent(std::move(allUnsent))
    {
    }

    std::size_t unsentBytes() const { return *m_unsent; }

    bool isDone() const { return !m_connection; }

    void closeConnection() { m_closesConnection = true; }

    void send(HttpResponse response)
    {
        if (isDone() || m_stream)
            return;
        auto builder = m_request->create_response(statusLine(response.status));
        if (m_closesConnection)
            builder.connection_close();
        appendHeaders(builder, response.headers);
        const std::size_t size = response.body.size();
        builder.set_body(std::move(response.body));
        builder.done(countUntilSent(size));
        release();
    }

    void begin(std::uint32_t status, const HttpHeaders& headers)
    {
        if (isDone() || m_stream)
            return;
        m_stream.emplace(m_request->create_response<restinio::chunked_output_t>(statusLine(status)));
        if (m_closesConnection)
            m_stream->connection_close();
        appendHeaders(*m_stream, headers);
        m_stream->flush();
    }

    void write(std::string piece)
    {
        // An empty chunk would end the body.
        if (!m_stream || piece.empty())
            return;
        const std::size_t size = piece.size();
        m_stream->append_chunk(std::move(piece));
        m_stream->flush(countUntilSent(size));
    }

    void finish()
    {
        if (!m_stream)
            return;
        m_stream->done(countUntilSent(1));
        release();
    }

    void abort()
    {
        if (isDone())
            return;
        // An empty last part without the closing chunk makes RESTinio close the connection.
        const restinio::response_output_flags_t flags(
            restinio::response_parts_attr_t::final_parts, restinio::response_connection_attr_t::connection_close);
        m_connection->write_response_parts(
            m_request->request_id(), flags, restinio::write_group_t(restinio::writable_items_container_t()));
        release();
    }

    void onClosed(std::function<void()> hook)
    {
        if (m_lost)
            hook();
        else if (!isDone())
            m_hook = std::move(hook);
    }

    /// Called when the connection is gone.
    void connectionClosed()
    {
        if (isDone())
            return;
        m_lost = true;
        const auto hook = std::exchange(m_hook, {});
        release();
        if (hook)
            hook();
    }

    /// Gives up the connection; the answer is over.
    void release()
    {
        m_stream.reset();
        m_request.reset();
        m_connection.reset();
        m_hook = {};
    }

private:
    /// Counts bytes as unsent.
    /// \return The callback that ends this, when they are written or their connection is gone.
    restinio::write_status_cb_t countUntilSent(std::size_t size)
    {
        *m_unsent += size;
        *m_allUnsent += size;
        return [unsent = m_unsent, allUnsent = m_allUnsent, size](const auto&) {
            *unsent -= size;
            *allUnsent -= size;
        };
    }

    static restinio::http_status_line_t statusLine(std::uint32_t status)
    {
        return { restinio::http_status_code_t(static_cast<std::uint16_t>(status)),
            http_status_str(static_cast<http_status>(status)) };
    }

    template <typename Builder> static void appendHeaders(Builder& builder, const HttpHeaders& headers)
    {
        for (const auto& [name, value] : headers) {
            // The framing of the answer is RESTinio's.
            if (name == "content-length" || name == "transfer-encoding" || name == "connection")
                continue;
            std::string clean = value;
            std::erase_if(clean, [](unsigned char c) { return c < ' ' || c == 0x7f; });
            builder.append_header(name, std::move(clean));
        }
    }

    restinio::request_handle_t m_request;
    restinio::impl::connection_handle_t m_connection;
    std::optional<restinio::response_builder_t<restinio::chunked_output_t>> m_stream;
    std::function<void()> m_hook;
    ByteCount m_unsent = std::make_shared<std::atomic<std::size_t>>(0);
    ByteCount m_allUnsent;
    bool m_lost = false;
    bool m_closesConnection = false;
};

} // namespace fuchsialb::internal
