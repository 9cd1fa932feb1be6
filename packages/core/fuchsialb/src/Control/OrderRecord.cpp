#include "OrderRecord.h"

#include <absl/strings/numbers.h>
#include <absl/strings/str_split.h>
#include <fmt/format.h>

#include <vector>

namespace fuchsialb::internal {

std::string encodeOrderRecord(const OrderRecord& record)
{
    return fmt::format("{}\n{}\n{}\n{}", record.fence, record.lease.count(), record.write, record.owner);
}

std::optional<OrderRecord> decodeOrderRecord(std::string_view bytes)
{
    const absl::string_view text(bytes.data(), bytes.size());
    const std::vector<std::string> parts = absl::StrSplit(text, absl::MaxSplits('\n', 3));
    OrderRecord record;
    std::int64_t lease = 0;
    if (parts.size() != 4 || !absl::SimpleAtoi(parts[0], &record.fence) || !absl::SimpleAtoi(parts[1], &lease)
        || !absl::SimpleAtoi(parts[2], &record.write) || lease < 0)
        return std::nullopt;
    record.lease = Duration(lease);
    record.owner = parts[3];
    return record;
}

} // namespace fuchsialb::internal
