#pragma once

#include <compare>
#include <cstdint>
#include <functional>
#include <string>
#include <utility>

namespace fuchsialb {

namespace internal {

    /// \brief Wraps a value so that ids of different kinds can't be mixed up.
    /// \tparam Tag An empty type that names the kind of id.
    /// \tparam Value The representation.
    template <typename Tag, typename Value> class StrongId {
    public:
        using ValueType = Value;

        StrongId() = default;
        explicit StrongId(Value value)
            : m_value(std::move(value))
        {
        }

        const Value& value() const { return m_value; }

        auto operator<=>(const StrongId&) const = default;
        bool operator==(const StrongId&) const = default;

        template <typename H> friend H AbslHashValue(H h, const StrongId& id)
        {
            return H::combine(std::move(h), id.m_value);
        }

    private:
        Value m_value {};
    };

    /// \brief A 128-bit value, ordered by its high word first.
    struct Bits128 {
        std::uint64_t high = 0;
        std::uint64_t low = 0;

        auto operator<=>(const Bits128&) const = default;
        bool operator==(const Bits128&) const = default;

        template <typename H> friend H AbslHashValue(H h, const Bits128& bits)
        {
            return H::combine(std::move(h), bits.high, bits.low);
        }
    };

} // namespace internal

using internal::Bits128;

using HostId = internal::StrongId<struct HostTag, std::string>;
using DataCentreId = internal::StrongId<struct DataCentreTag, std::string>;
using OrganisationId = internal::StrongId<struct OrganisationTag, std::string>;
using EndpointId = internal::StrongId<struct EndpointTag, std::string>;
using GroupId = internal::StrongId<struct GroupTag, std::string>;
/// The name of a model or of a plain service.
using TargetId = internal::StrongId<struct TargetTag, std::string>;
using AcceleratorKindId = internal::StrongId<struct AcceleratorKindTag, std::string>;
using LinkClassId = internal::StrongId<struct LinkClassTag, std::string>;

/// Drawn by the entry daemon, one for each call of a caller.
using RequestId = internal::StrongId<struct RequestTag, Bits128>;
/// Drawn by the scheduler daemon, one for each dispatch of a request.
using AttemptId = internal::StrongId<struct AttemptTag, Bits128>;
/// Rises with each new route of an attempt; engines refuse steps of an older epoch.
using Epoch = internal::StrongId<struct EpochTag, std::uint32_t>;
/// Version of the configuration; only rises.
using ConfigurationVersion = internal::StrongId<struct ConfigurationVersionTag, std::uint64_t>;
/// Version of one key of the platform's key-value service; 0 means that the key does not exist.
using KeyVersion = internal::StrongId<struct KeyVersionTag, std::uint64_t>;
/// Rises each time the store comes back from an older copy.
using StoreEra = internal::StrongId<struct StoreEraTag, std::uint64_t>;
/// Digest of the keys and values that a view of the store holds; 0 means that none is told.
using ContentDigest = internal::StrongId<struct ContentDigestTag, std::uint64_t>;
/// Rises each time a host restarts or refutes a suspicion.
using Incarnation = internal::StrongId<struct IncarnationTag, std::uint64_t>;

/// \return The id as 32 lower-case hexadecimal digits.
std::string toHex(const Bits128& bits);

} // namespace fuchsialb
