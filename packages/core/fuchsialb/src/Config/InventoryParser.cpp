#include "InventoryParser.h"

#include "ConfigurationCheck.h"
#include "CsvReader.h"

#include <absl/strings/ascii.h>
#include <absl/strings/numbers.h>
#include <fmt/format.h>

#include <algorithm>

namespace fuchsialb {

namespace {

    using internal::CsvCell;
    using internal::CsvRow;

    constexpr std::size_t columnCount = inventoryColumnNames.size();
    constexpr std::string_view idRule = "1 to 64 letters, digits, '.', '_' or '-', beginning with a letter or a digit";

    std::string lower(std::string_view text)
    {
        return absl::AsciiStrToLower(absl::string_view(text.data(), text.size()));
    }

    std::optional<std::uint32_t> wholeNumber(std::string_view text)
    {
        constexpr std::size_t maxDigits = 9;
        std::uint32_t value = 0;
        const bool digits = !text.empty() && text.size() <= maxDigits
            && std::all_of(text.begin(), text.end(), [](char c) { return c >= '0' && c <= '9'; });
        if (!digits || !absl::SimpleAtoi(absl::string_view(text.data(), text.size()), &value))
            return std::nullopt;
        return value;
    }

    /// Turns rows into entries.
    class Builder {
    public:
        explicit Builder(std::string_view file)
            : m_errors(std::string(file), Reason::InvalidInventory)
        {
            m_inventory.file = file;
        }

        void row(const CsvRow& row)
        {
            if (!m_haveHeader)
                header(row);
            else if (std::any_of(row.begin(), row.end(), [](const CsvCell& cell) { return !cell.text.empty(); }))
                entry(row);
        }

        void fault(const internal::CsvFault& fault)
        {
            const Reason reason = fault.tooLarge ? Reason::BodyTooLarge : Reason::InvalidInventory;
            m_errors.add(fault.at, fault.read, fault.accepted, reason);
        }

        void tooLarge(std::size_t size, std::size_t limit)
        {
            m_errors.add(
                {}, fmt::format("{} bytes", size), fmt::format("at most {} bytes", limit), Reason::BodyTooLarge);
        }

        Parsed<Inventory> finish()
        {
            if (!m_haveHeader && m_errors.empty())
                m_errors.add({}, "no header row", fmt::format("a row that names the columns {}", allColumns()));
            if (m_errors.empty())
                return { std::move(m_inventory), {} };
            return { std::nullopt, m_errors.take() };
        }

    private:
        static std::string allColumns() { return fmt::format("{}", fmt::join(inventoryColumnNames, ", ")); }

        void header(const CsvRow& row)
        {
            m_haveHeader = true;
            m_width = row.size();
            m_places.fill(row.size());
            for (std::size_t place = 0; place < row.size(); ++place)
                headerCell(row[place], place);
            for (std::size_t column = 0; column < columnCount; ++column) {
                if (m_places[column] == m_width)
                    missing(row, inventoryColumnNames[column]);
            }
            m_headerValid = m_errors.empty();
        }

        void headerCell(const CsvCell& cell, std::size_t place)
        {
            const auto* name = std::find(inventoryColumnNames.begin(), inventoryColumnNames.end(), lower(cell.text));
            if (name == inventoryColumnNames.end())
                return;
            std::size_t& known = m_places[static_cast<std::size_t>(name - inventoryColumnNames.begin())];
            if (known != m_width)
                m_errors.add(cell.at, cell.text, fmt::format("column {} once", *name));
            known = place;
        }

        void missing(const CsvRow& row, std::string_view column)
        {
            m_errors.add(row.front().at, "a header without it", fmt::format("a column named {}", column));
        }

        const CsvCell& cell(InventoryColumn column) const
        {
            return (*m_row)[m_places[static_cast<std::size_t>(column)]];
        }

        std::string_view text(InventoryColumn column) const { return cell(column).text; }

        void reject(InventoryColumn column, std::string_view accepted)
        {
            m_errors.add(cell(column).at, text(column), accepted);
        }

        std::string id(InventoryColumn column)
        {
            if (!validId(text(column)))
                reject(column, idRule);
            return std::string(text(column));
        }

        std::uint32_t number(InventoryColumn column, std::uint32_t high)
        {
            const std::optional<std::uint32_t> value = wholeNumber(text(column));
            if (!value || *value < 1 || *value > high)
                reject(column, fmt::format("1 to {}", high));
            return value.value_or(1);
        }

        /// \return Whether the cell has `yes` and not `no`; both are matched without regard to case.
        bool choice(InventoryColumn column, std::string_view yes, std::string_view no, bool emptyIsNo)
        {
            const std::string value = lower(text(column));
            if (value != yes && value != no && !(value.empty() && emptyIsNo))
                reject(column, fmt::format("{} or {}", yes, no));
            return value == yes;
        }

        void layers(Endpoint& endpoint)
        {
            const std::string_view range = text(InventoryColumn::Layers);
            const std::size_t dash = range.find('-');
            const auto first = wholeNumber(range.substr(0, dash));
            const auto end = dash == std::string_view::npos ? std::nullopt : wholeNumber(range.substr(dash + 1));
            if (!first || !end || *first >= *end || *end > limits::layers)
                reject(InventoryColumn::Layers, "first-end with first below end, such as 0-8 for layers 0 to 7");
            endpoint.layers = { first.value_or(0), end.value_or(0) };
        }

        void runner(Endpoint& endpoint)
        {
            layers(endpoint);
            endpoint.acceleratorKind = AcceleratorKindId(id(InventoryColumn::Accelerator));
            endpoint.accelerators = number(InventoryColumn::Accelerators, limits::accelerators);
            endpoint.link = LinkClassId(id(InventoryColumn::Link));
        }

        void plainEndpoint(Endpoint& endpoint)
        {
            using enum InventoryColumn;
            for (InventoryColumn column : { Layers, Accelerator, Accelerators }) {
                if (!text(column).empty())
                    reject(column, "an empty cell for kind endpoint");
            }
            if (!text(Link).empty())
                endpoint.link = LinkClassId(id(Link));
        }

        void entry(const CsvRow& row)
        {
            if (!m_headerValid)
                return;
            const bool extra = row.size() > m_width
                && std::any_of(row.begin() + static_cast<std::ptrdiff_t>(m_width), row.end(),
                    [](const CsvCell& c) { return !c.text.empty(); });
            if (row.size() < m_width || extra) {
                m_errors.add(row.front().at, fmt::format("{} cells", row.size()), fmt::format("{} cells", m_width));
                return;
            }
            m_row = &row;
            InventoryEntry entry;
            for (std::size_t column = 0; column < columnCount; ++column)
                entry.positions[column] = row[m_places[column]].at;
            fill(entry);
            keep(std::move(entry));
        }

        void fill(InventoryEntry& entry)
        {
            using enum InventoryColumn;
            Endpoint& endpoint = entry.endpoint;
            endpoint.id = EndpointId(id(Id));
            entry.kind = choice(Kind, "runner", "endpoint", false) ? TargetKind::Model : TargetKind::Service;
            endpoint.dataCentre = DataCentreId(id(DataCentre));
            endpoint.group = GroupId(id(Group));
            endpoint.target = TargetId(id(InventoryColumn::Target));
            endpoint.address = text(Address);
            if (!validAddress(endpoint.address))
                reject(Address, "IPv4:port or [IPv6]:port");
            if (entry.kind == TargetKind::Model)
                runner(endpoint);
            else if (lower(text(Kind)) == "endpoint")
                plainEndpoint(endpoint);
            endpoint.maxConcurrency = number(MaxConcurrency, limits::concurrency);
            endpoint.checksFencing = choice(Fencing, "yes", "no", true);
            endpoint.deduplicates = choice(Deduplicates, "yes", "no", true);
            endpoint.state = choice(State, "leaving", "active", false) ? EndpointState::Leaving : EndpointState::Active;
        }

        void keep(InventoryEntry entry)
        {
            const EndpointId id = entry.endpoint.id;
            const auto [known, added] = m_inventory.entries.emplace(id, std::move(entry));
            if (!added)
                reject(InventoryColumn::Id,
                    fmt::format("an id of its own; line {} has this one", known->second.positions[0].line));
        }

        InputErrors m_errors;
        Inventory m_inventory;
        bool m_haveHeader = false;
        bool m_headerValid = false;
        std::size_t m_width = 0;
        std::array<std::size_t, columnCount> m_places {};
        const CsvRow* m_row = nullptr;
    };

} // namespace

Parsed<Inventory> InventoryParser::parse(std::string_view text, std::string_view file, Limits limits)
{
    Builder builder(file);
    if (text.size() > limits.maxFile) {
        builder.tooLarge(text.size(), limits.maxFile);
        return builder.finish();
    }
    const auto fault = internal::readCsv(text, limits.maxCell, [&](const CsvRow& row) { builder.row(row); });
    if (fault)
        builder.fault(*fault);
    return builder.finish();
}

} // namespace fuchsialb
