#include "RequestParser.h"

#include <algorithm>
#include <cctype>
#include <iterator>
#include <limits>
#include <utility>

namespace fuchsialb::internal {

namespace {

    constexpr std::uint32_t statusBadRequest = 400;
    constexpr std::uint32_t statusBodyTooLarge = 413;
    constexpr std::uint32_t statusHeadTooLarge = 431;
    constexpr std::uint32_t statusNotImplemented = 501;
    // Parser, target and method.
    constexpr std::size_t baseFootprint = 512;
    // What the allocator adds to a block.
    constexpr std::size_t blockOverhead = 16;

    std::size_t heapBytes(const std::string& text)
    {
        static const std::size_t inlineCapacity = std::string().capacity();
        return text.capacity() > inlineCapacity ? text.capacity() + blockOverhead : 0;
    }

} // namespace

RequestParser::RequestParser() { reset(); }

void RequestParser::reset()
{
    http_parser_init(&m_parser, HTTP_REQUEST);
    m_parser.data = this;
    m_state = State::Head;
    m_hasBegun = false;
    m_keepsAlive = false;
    m_lastWasValue = false;
    m_failure = 0;
    m_headBytes = 0;
    m_length = 0;
    dropRequest();
}

std::size_t RequestParser::feed(std::string_view bytes, const RequestLimits& limits)
{
    if (m_state == State::Complete || m_state == State::Failed || bytes.empty())
        return 0;
    m_limits = &limits;
    const std::size_t count = http_parser_execute(&m_parser, &callbacks(), bytes.data(), bytes.size());
    m_limits = nullptr;
    const auto outcome = HTTP_PARSER_ERRNO(&m_parser);
    if (m_state != State::Complete && outcome != HPE_OK && m_state != State::Failed)
        static_cast<void>(fail(outcome == HPE_HEADER_OVERFLOW ? statusHeadTooLarge : statusBadRequest));
    return count;
}

std::size_t RequestParser::footprint() const
{
    using Field = HttpHeaders::value_type;
    return baseFootprint + m_request.headers.capacity() * sizeof(Field) + m_fieldBytes + heapBytes(m_request.target)
        + heapBytes(m_request.path) + heapBytes(m_request.query) + heapBytes(m_request.body);
}

const http_parser_settings& RequestParser::callbacks()
{
    static const http_parser_settings settings = [] {
        // The limit of the operator applies instead; http_parser's own one is one for the whole process.
        http_parser_set_max_header_size(std::numeric_limits<std::int32_t>::max());
        http_parser_settings made;
        http_parser_settings_init(&made);
        made.on_message_begin = [](http_parser* parser) {
            self(parser).m_hasBegun = true;
            return 0;
        };
        made.on_url = [](http_parser* parser, const char* at, std::size_t size) {
            self(parser).m_request.target.append(at, size);
            return self(parser).addHeadBytes(size);
        };
        made.on_header_field = [](http_parser* parser, const char* at, std::size_t size) {
            return self(parser).addFieldName({ at, size });
        };
        made.on_header_value = [](http_parser* parser, const char* at, std::size_t size) {
            return self(parser).addFieldValue({ at, size });
        };
        made.on_headers_complete = [](http_parser* parser) { return self(parser).endHead(); };
        made.on_body = [](http_parser* parser, const char* at, std::size_t size) {
            return self(parser).addBody({ at, size });
        };
        made.on_message_complete = [](http_parser* parser) {
            RequestParser& owner = self(parser);
            owner.m_state = State::Complete;
            owner.m_keepsAlive = http_should_keep_alive(parser) != 0;
            http_parser_pause(parser, 1);
            return 0;
        };
        return made;
    }();
    return settings;
}

int RequestParser::fail(std::uint32_t status)
{
    m_state = State::Failed;
    m_failure = status;
    dropRequest();
    return -1;
}

void RequestParser::dropRequest()
{
    // An assignment would keep the memory of the body.
    ServerRequest empty;
    std::swap(m_request, empty);
    m_fieldBytes = 0;
}

int RequestParser::addHeadBytes(std::size_t count)
{
    m_headBytes += count;
    return m_headBytes > static_cast<std::size_t>(m_limits->maxHead.value()) ? fail(statusHeadTooLarge) : 0;
}

int RequestParser::addFieldName(std::string_view text)
{
    // Trailers after the chunks of a body aren't used.
    if (m_state != State::Head)
        return addHeadBytes(text.size());
    if (m_lastWasValue || m_request.headers.empty())
        m_request.headers.emplace_back();
    m_lastWasValue = false;
    std::string& name = m_request.headers.back().first;
    m_fieldBytes -= heapBytes(name);
    std::transform(text.begin(), text.end(), std::back_inserter(name),
        [](unsigned char c) { return static_cast<char>(std::tolower(c)); });
    m_fieldBytes += heapBytes(name);
    return addHeadBytes(text.size());
}

int RequestParser::addFieldValue(std::string_view text)
{
    if (m_state != State::Head)
        return addHeadBytes(text.size());
    m_lastWasValue = true;
    std::string& value = m_request.headers.back().second;
    m_fieldBytes -= heapBytes(value);
    value.append(text);
    m_fieldBytes += heapBytes(value);
    return addHeadBytes(text.size());
}

int RequestParser::endHead()
{
    m_request.method = http_method_str(static_cast<http_method>(m_parser.method));
    splitTarget();
    if (m_parser.upgrade)
        return fail(statusNotImplemented);
    m_state = State::Body;
    const bool hasLength = (m_parser.flags & F_CONTENTLENGTH) != 0;
    if (!hasLength)
        return 0;
    if (m_parser.content_length > static_cast<std::uint64_t>(m_limits->maxBody.value()))
        return fail(statusBodyTooLarge);
    m_length = m_parser.content_length;
    return 0;
}

int RequestParser::addBody(std::string_view piece)
{
    std::string& body = m_request.body;
    if (body.size() + piece.size() > static_cast<std::size_t>(m_limits->maxBody.value()))
        return fail(statusBodyTooLarge);
    // Grows by doubling, but not beyond the declared length.
    const std::size_t size = body.size() + piece.size();
    if (m_length > 0 && size > body.capacity())
        body.reserve(std::min<std::uint64_t>(m_length, std::max(size, 2 * body.capacity())));
    body.append(piece);
    return 0;
}

void RequestParser::splitTarget()
{
    const std::string_view target = std::string_view(m_request.target).substr(0, m_request.target.find('#'));
    const std::size_t query = target.find('?');
    m_request.path = target.substr(0, query);
    if (query != std::string_view::npos)
        m_request.query = target.substr(query + 1);
}

} // namespace fuchsialb::internal
