#pragma once

#include "Configuration.h"
#include "InputError.h"

#include <array>
#include <map>
#include <string>
#include <string_view>

namespace fuchsialb {

/// \brief Columns of the inventory, in the order of `inventoryColumnNames`.
enum class InventoryColumn : unsigned char {
    Id,
    Kind,
    DataCentre,
    Group,
    Target,
    Address,
    Layers,
    Accelerator,
    Accelerators,
    Link,
    MaxConcurrency,
    Fencing,
    Deduplicates,
    State,
};

inline constexpr std::array<std::string_view, 14> inventoryColumnNames { "id", "kind", "data_centre", "group", "target",
    "address", "layers", "accelerator", "accelerators", "link", "max_concurrency", "fencing", "deduplicates", "state" };

/// \brief One row of the inventory.
struct InventoryEntry {
    Endpoint endpoint;
    /// `Model` for a runner, `Service` for an endpoint of a plain service.
    TargetKind kind = TargetKind::Model;
    /// Where each column's cell is.
    std::array<SourcePosition, inventoryColumnNames.size()> positions;
};

/// \brief The inventory as read, before it is checked against the rules.
struct Inventory {
    std::string file;
    std::map<EndpointId, InventoryEntry> entries;
};

} // namespace fuchsialb
