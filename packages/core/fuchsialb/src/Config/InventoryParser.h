#pragma once

#include "Inventory.h"

#include <cstddef>
#include <string_view>

namespace fuchsialb {

/// \brief Reads the inventory, a CSV file as an asset register exports it.
///
/// The first row names the columns, in any order; columns with other names are ignored. Since a misspelt name would
/// be ignored as well, every column of `inventoryColumnNames` must be there.
class InventoryParser {
public:
    struct Limits {
        std::size_t maxFile = std::size_t { 64 } * 1024 * 1024;
        std::size_t maxCell = std::size_t { 1024 } * 1024;
    };

    /// \param text The whole file.
    /// \param file Its name, for errors.
    static Parsed<Inventory> parse(std::string_view text, std::string_view file, Limits limits);
    static Parsed<Inventory> parse(std::string_view text, std::string_view file) { return parse(text, file, Limits()); }
};

} // namespace fuchsialb
