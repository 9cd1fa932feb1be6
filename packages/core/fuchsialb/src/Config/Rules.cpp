#include "Rules.h"

namespace fuchsialb {

namespace {

    std::string section(EntryKind kind) { return kind == EntryKind::Rank ? "ranks" : ""; }

} // namespace

SourcePosition Rules::position(EntryKind kind, const std::string& id, const std::string& field) const
{
    for (const Place& place :
        { Place(kind, id, field), Place(kind, id, ""), Place(EntryKind::General, "", section(kind)) }) {
        const auto found = positions.find(place);
        if (found != positions.end())
            return found->second;
    }
    return {};
}

RankRule defaultRankRule(Rank rank)
{
    using namespace std::chrono_literals;
    switch (rank) {
    case Rank::Urgent:
        return { 0.5, 720ms, 60ms, 2s };
    case Rank::Recording:
        return { 0.3, 3s, 200ms, 10s };
    case Rank::Summary:
        return { 0.2, 60s, 1s, 60s };
    }
    return {};
}

} // namespace fuchsialb
