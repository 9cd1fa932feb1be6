#pragma once

#include "InputError.h"

#include <functional>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace fuchsialb::internal {

struct CsvCell {
    std::string text;
    /// Where the cell's text or its opening quote is.
    SourcePosition at;
};

using CsvRow = std::vector<CsvCell>;

/// \brief Why reading stopped before the end.
struct CsvFault {
    SourcePosition at;
    std::string read;
    std::string accepted;
    /// The cell is larger than accepted; otherwise the quoting is wrong.
    bool tooLarge = false;
};

/// \brief Reads CSV by libcsv, with the position of each cell.
///
/// Skips a byte-order mark and empty rows; lines end with LF, CR or CRLF in any mixture; quoted cells may hold commas,
/// line breaks and doubled quotes.
/// \param maxCell Most bytes of a cell.
/// \return The fault that ended the reading; rows before it have been passed to `onRow`.
std::optional<CsvFault> readCsv(std::string_view text, std::size_t maxCell, const std::function<void(CsvRow)>& onRow);

} // namespace fuchsialb::internal
