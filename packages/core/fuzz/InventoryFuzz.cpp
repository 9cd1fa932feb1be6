#include "fuchsialb/Config.h"

#include <cstdint>
#include <cstdlib>
#include <string_view>

using namespace fuchsialb;

/// Guards against a crash on damaged input, an error without a place, and a result next to errors.
extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t* data, std::size_t size)
{
    const std::string_view text(reinterpret_cast<const char*>(data), size);
    const Parsed<Inventory> parsed = InventoryParser::parse(text, "inventory.csv", { 1 << 20, 4096 });
    if (parsed.ok() != parsed.errors.empty())
        std::abort();
    for (const InputError& error : parsed.errors) {
        if (error.line == 0 || error.column == 0 || error.accepted.empty() || describe(error).empty())
            std::abort();
    }
    return 0;
}
