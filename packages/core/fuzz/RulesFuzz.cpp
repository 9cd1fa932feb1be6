#include "fuchsialb/Config.h"

#include <cstdint>
#include <cstdlib>
#include <string_view>

using namespace fuchsialb;

/// Guards against a crash on damaged input, an error without a place, and rules that the codec does not take.
extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t* data, std::size_t size)
{
    const std::string_view text(reinterpret_cast<const char*>(data), size);
    const Parsed<Rules> parsed = RulesParser::parse(text, "rules.yaml", { 1 << 16 });
    if (parsed.ok() != parsed.errors.empty())
        std::abort();
    for (const InputError& error : parsed.errors) {
        if (error.line == 0 || error.column == 0 || error.accepted.empty() || describe(error).empty())
            std::abort();
    }
    if (!parsed.ok())
        return 0;
    const Parsed<Configuration> built = buildConfiguration(Inventory(), *parsed.value);
    if (built.ok() && !decodeConfiguration(encodeConfiguration(*built.value)).ok())
        std::abort();
    return 0;
}
