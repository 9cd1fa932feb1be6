#pragma once

#include "../Base/Units.h"

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace fuchsialb::internal {

/// \brief The record `orders/<endpoint>` in the platform's store.
///
/// It holds the length of the lease and not a time of expiry: hosts share no clock. An observer counts the lease from
/// when it first saw this version of the record, the holder from before it wrote it, so the holder's ends first.
struct OrderRecord {
    /// Host and incarnation of the owner; empty when it was released.
    std::string owner;
    std::uint64_t fence = 0;
    Duration lease { 0 };
    /// Number of this write of this owner: a record that is read back proves which write took effect.
    std::uint64_t write = 0;

    bool operator==(const OrderRecord&) const = default;
};

std::string encodeOrderRecord(const OrderRecord& record);
/// \return Nothing when the bytes are no record.
std::optional<OrderRecord> decodeOrderRecord(std::string_view bytes);

} // namespace fuchsialb::internal
