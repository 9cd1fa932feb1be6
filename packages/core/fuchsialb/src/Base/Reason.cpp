#include "Reason.h"

#include <absl/strings/cord.h>

#include <array>
#include <cassert>
#include <cstddef>
#include <string>

namespace fuchsialb {

namespace {

    constexpr std::string_view payloadUrl = "urn:fuchsialb:reason";

    struct Entry {
        std::string_view name;
        absl::StatusCode code;
    };

    constexpr std::array entries {
#define FUCHSIALB_REASON_ENTRY(enumerator, name, code) Entry { name, absl::StatusCode::code },
        FUCHSIALB_REASONS(FUCHSIALB_REASON_ENTRY)
#undef FUCHSIALB_REASON_ENTRY
    };

} // namespace

std::string_view reasonName(Reason reason) { return entries[static_cast<std::size_t>(reason)].name; }

absl::Status error(Reason reason, std::string_view detail)
{
    const Entry& entry = entries[static_cast<std::size_t>(reason)];
    assert(entry.code != absl::StatusCode::kOk);
    absl::Status status(entry.code, absl::string_view(detail.data(), detail.size()));
    const char index = static_cast<char>(reason);
    status.SetPayload(absl::string_view(payloadUrl.data(), payloadUrl.size()), absl::Cord(std::string(1, index)));
    return status;
}

Reason reasonOf(const absl::Status& status)
{
    if (status.ok())
        return Reason::Ok;
    const auto payload = status.GetPayload(absl::string_view(payloadUrl.data(), payloadUrl.size()));
    if (!payload || payload->size() != 1)
        return Reason::Internal;
    const auto index = static_cast<unsigned char>((*payload)[0]);
    return index < entries.size() ? static_cast<Reason>(index) : Reason::Internal;
}

} // namespace fuchsialb
