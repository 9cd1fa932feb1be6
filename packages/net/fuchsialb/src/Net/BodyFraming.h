#pragma once

#include <cstdint>
#include <optional>
#include <string_view>

namespace fuchsialb::internal {

/// \brief What the fields of a response's head say of the length of its body.
///
/// Fields that contradict each other are an error (RFC 9112, section 6.3): one reader would take the end of such a body
/// for the next response, another one would wait for bytes that don't come.
class BodyFraming {
public:
    /// \param name In lower case; fields other than `content-length` and `transfer-encoding` are passed over.
    /// \return Whether the field can be read and agrees with the earlier ones.
    bool addField(std::string_view name, std::string_view value);
    /// \return Bytes of the body; none if the body is chunked, or ends with its connection.
    std::optional<std::uint64_t> contentLength() const { return m_contentLength; }

private:
    std::optional<std::uint64_t> m_contentLength;
    bool m_isChunked = false;
};

} // namespace fuchsialb::internal
