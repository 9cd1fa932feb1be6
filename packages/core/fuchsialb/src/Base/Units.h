#pragma once

#include <chrono>
#include <compare>
#include <cstdint>

namespace fuchsialb {

namespace internal {

    /// \brief A quantity with a unit; sums and differences stay in the unit.
    template <typename Tag, typename Value> class Quantity {
    public:
        constexpr Quantity() = default;
        constexpr explicit Quantity(Value value)
            : m_value(value)
        {
        }

        constexpr Value value() const { return m_value; }

        constexpr auto operator<=>(const Quantity&) const = default;
        constexpr bool operator==(const Quantity&) const = default;

        constexpr Quantity& operator+=(Quantity other)
        {
            m_value += other.m_value;
            return *this;
        }
        constexpr Quantity& operator-=(Quantity other)
        {
            m_value -= other.m_value;
            return *this;
        }
        friend constexpr Quantity operator+(Quantity a, Quantity b) { return Quantity(a.m_value + b.m_value); }
        friend constexpr Quantity operator-(Quantity a, Quantity b) { return Quantity(a.m_value - b.m_value); }

    private:
        Value m_value {};
    };

} // namespace internal

using Tokens = internal::Quantity<struct TokensTag, std::int64_t>;
using Bytes = internal::Quantity<struct BytesTag, std::int64_t>;
using BytesPerSecond = internal::Quantity<struct BytesPerSecondTag, double>;
using RequestsPerSecond = internal::Quantity<struct RequestsPerSecondTag, double>;

using Duration = std::chrono::microseconds;

/// \brief Layers [first, end) of a model.
struct LayerRange {
    std::uint32_t first = 0;
    std::uint32_t end = 0;

    constexpr std::uint32_t count() const { return end - first; }
    auto operator<=>(const LayerRange&) const = default;
    bool operator==(const LayerRange&) const = default;
};

} // namespace fuchsialb
