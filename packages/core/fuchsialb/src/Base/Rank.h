#pragma once

#include <array>
#include <cstddef>
#include <optional>
#include <string_view>

namespace fuchsialb {

/// \brief The three ranks of work, most urgent first.
enum class Rank : unsigned char {
    Urgent,
    Recording,
    Summary,
};

inline constexpr std::size_t rankCount = 3;
inline constexpr std::array<Rank, rankCount> allRanks { Rank::Urgent, Rank::Recording, Rank::Summary };

/// \brief One value for each rank.
template <typename T> class RankTable {
public:
    T& operator[](Rank rank) { return m_values[static_cast<std::size_t>(rank)]; }
    const T& operator[](Rank rank) const { return m_values[static_cast<std::size_t>(rank)]; }
    bool operator==(const RankTable&) const = default;

private:
    std::array<T, rankCount> m_values {};
};

constexpr std::string_view rankName(Rank rank)
{
    switch (rank) {
    case Rank::Urgent:
        return "urgent";
    case Rank::Recording:
        return "recording";
    case Rank::Summary:
        return "summary";
    }
    return "";
}

constexpr std::optional<Rank> rankFromName(std::string_view name)
{
    for (Rank rank : allRanks) {
        if (rankName(rank) == name)
            return rank;
    }
    return std::nullopt;
}

} // namespace fuchsialb
