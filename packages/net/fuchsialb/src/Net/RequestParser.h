#pragma once

#include "HttpServer.h"

#include <http_parser.h>

#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>

namespace fuchsialb::internal {

/// \brief Reads one request after another from the bytes of a connection, over http_parser; performs no input or
/// output.
///
/// It stops at the end of each request, so that nothing of the next one is read before the answer.
class RequestParser {
public:
    enum class State : unsigned char { Head, Body, Complete, Failed };

    RequestParser();
    RequestParser(const RequestParser&) = delete;
    RequestParser& operator=(const RequestParser&) = delete;

    /// Reads bytes until the request is complete or refused.
    /// \return The number of bytes read.
    std::size_t feed(std::string_view bytes, const RequestLimits& limits);
    /// Begins the next request.
    void reset();

    State state() const { return m_state; }
    /// \return Whether any byte of the request has been read.
    bool hasBegun() const { return m_hasBegun; }
    /// \return The status that refuses the request, when the state is `Failed`.
    std::uint32_t failure() const { return m_failure; }
    /// \return Whether the connection may be used again after a complete request.
    bool keepsAlive() const { return m_keepsAlive; }
    /// \return The request as far as it has been read, whole when the state is `Complete`.
    ServerRequest& request() { return m_request; }
    /// \return Bytes of memory that the request takes.
    std::size_t footprint() const;

private:
    static RequestParser& self(http_parser* parser) { return *static_cast<RequestParser*>(parser->data); }
    static const http_parser_settings& callbacks();

    /// \return A value that stops http_parser.
    int fail(std::uint32_t status);
    void dropRequest();
    int addHeadBytes(std::size_t count);
    int addFieldName(std::string_view text);
    int addFieldValue(std::string_view text);
    int endHead();
    int addBody(std::string_view piece);
    void splitTarget();

    http_parser m_parser {};
    const RequestLimits* m_limits = nullptr;
    State m_state = State::Head;
    bool m_hasBegun = false;
    bool m_keepsAlive = false;
    bool m_lastWasValue = false;
    std::uint32_t m_failure = 0;
    std::size_t m_headBytes = 0;
    /// Declared length of the body; 0 for none.
    std::uint64_t m_length = 0;
    /// Memory of field names and values outside of the strings themselves.
    std::size_t m_fieldBytes = 0;
    ServerRequest m_request;
};

} // namespace fuchsialb::internal
