#include "CsvReader.h"

#include <csv.h>

#include <fmt/format.h>

#include <new>
#include <utility>

namespace fuchsialb::internal {

namespace {

    constexpr std::string_view byteOrderMark = "\xef\xbb\xbf";
    constexpr std::size_t bufferGrowth = 4096;

    /// Owns the parser of libcsv. Fed a byte at a time, because libcsv itself reports no positions.
    class Reader {
    public:
        explicit Reader(std::size_t maxCell)
            : m_maxCell(maxCell)
        {
            if (csv_init(&m_parser, CSV_STRICT | CSV_STRICT_FINI) != 0)
                throw std::bad_alloc();
            csv_set_blk_size(&m_parser, bufferGrowth);
        }
        ~Reader() { csv_free(&m_parser); }
        Reader(const Reader&) = delete;
        Reader& operator=(const Reader&) = delete;

        std::optional<CsvFault> feed(char c)
        {
            beginByte(c);
            if (csv_parse(&m_parser, &c, 1, onCell, onRowEnd, this) != 1)
                return fault(m_position, std::string(1, c), "quotes around the whole cell, inner ones doubled");
            if (m_cellBytes > m_maxCell) {
                CsvFault found = fault(m_start, fmt::format("a cell of more than {} bytes", m_maxCell),
                    fmt::format("cells of at most {} bytes", m_maxCell));
                found.tooLarge = true;
                return found;
            }
            if ((c == '\n' || c == '\r') && m_start == m_position)
                beginCell();
            endByte(c);
            return std::nullopt;
        }

        std::optional<CsvFault> finish()
        {
            if (m_fresh)
                m_start = m_position;
            if (csv_fini(&m_parser, onCell, onRowEnd, this) != 0)
                return fault(m_start, "a quoted cell without an end", "a closing quote");
            return std::nullopt;
        }

        /// \return Whether a row is complete; it is moved to `row`.
        bool takeRow(CsvRow& row)
        {
            if (!std::exchange(m_rowEnded, false))
                return false;
            row = std::exchange(m_row, {});
            return true;
        }

    private:
        static void onCell(void* text, std::size_t size, void* self)
        {
            auto& reader = *static_cast<Reader*>(self);
            reader.m_row.push_back({ std::string(static_cast<const char*>(text), size), reader.m_start });
            reader.beginCell();
        }

        static void onRowEnd(int, void* self) { static_cast<Reader*>(self)->m_rowEnded = true; }

        static CsvFault fault(SourcePosition at, std::string read, std::string accepted)
        {
            return { at, std::move(read), std::move(accepted) };
        }

        void beginCell()
        {
            m_fresh = true;
            m_cellBytes = 0;
        }

        /// A cell begins at its first byte that is not blank.
        void beginByte(char c)
        {
            if (m_previous == '\r' && c == '\n')
                m_position = m_beforeBreak;
            if (m_fresh)
                m_start = m_position;
            m_fresh &= c == ' ' || c == '\t';
            ++m_cellBytes;
        }

        void endByte(char c)
        {
            m_beforeBreak = m_position;
            if (c == '\n' || c == '\r')
                m_position = { m_position.line + 1, 1 };
            else if ((static_cast<unsigned char>(c) & 0xc0U) != 0x80U)
                ++m_position.column;
            m_previous = c;
        }

        csv_parser m_parser {};
        std::size_t m_maxCell;
        CsvRow m_row;
        bool m_rowEnded = false;
        bool m_fresh = true;
        std::size_t m_cellBytes = 0;
        char m_previous = 0;
        SourcePosition m_position;
        SourcePosition m_beforeBreak;
        SourcePosition m_start;
    };

} // namespace

std::optional<CsvFault> readCsv(std::string_view text, std::size_t maxCell, const std::function<void(CsvRow)>& onRow)
{
    if (text.starts_with(byteOrderMark))
        text.remove_prefix(byteOrderMark.size());
    Reader reader(maxCell);
    CsvRow row;
    for (char c : text) {
        if (std::optional<CsvFault> fault = reader.feed(c))
            return fault;
        if (reader.takeRow(row))
            onRow(std::move(row));
    }
    if (std::optional<CsvFault> fault = reader.finish())
        return fault;
    if (reader.takeRow(row))
        onRow(std::move(row));
    return std::nullopt;
}

} // namespace fuchsialb::internal
