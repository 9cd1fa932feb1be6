#pragma once

#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>

namespace fuchsialb::internal {

/// \brief Appends little-endian numbers to a string.
class ByteWriter {
public:
    explicit ByteWriter(std::size_t reserve = 0) { m_bytes.reserve(reserve); }

    template <typename Number> void put(Number value)
    {
        const auto bits = static_cast<std::uint64_t>(value);
        for (std::size_t i = 0; i < sizeof(Number); ++i)
            m_bytes.push_back(static_cast<char>((bits >> (8 * i)) & 0xff));
    }

    const std::string& bytes() const { return m_bytes; }
    std::string take() { return std::move(m_bytes); }

private:
    std::string m_bytes;
};

/// \brief Reads little-endian numbers; reading past the end gives 0 and is remembered.
class ByteReader {
public:
    explicit ByteReader(std::string_view bytes)
        : m_bytes(bytes)
    {
    }

    template <typename Number> Number read()
    {
        if (m_bytes.size() < sizeof(Number)) {
            m_ok = false;
            return {};
        }
        std::uint64_t bits = 0;
        for (std::size_t i = 0; i < sizeof(Number); ++i)
            bits |= static_cast<std::uint64_t>(static_cast<unsigned char>(m_bytes[i])) << (8 * i);
        m_bytes.remove_prefix(sizeof(Number));
        return static_cast<Number>(bits);
    }

    bool ok() const { return m_ok; }
    std::size_t left() const { return m_bytes.size(); }

private:
    std::string_view m_bytes;
    bool m_ok = true;
};

} // namespace fuchsialb::internal
