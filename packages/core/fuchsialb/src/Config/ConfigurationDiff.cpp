#include "ConfigurationDiff.h"

#include "ConfigurationDocument.h"

#include <fmt/format.h>

#include <array>
#include <utility>

namespace fuchsialb {

namespace {

    using nlohmann::json;

    constexpr std::array<std::pair<EntryKind, std::string_view>, 6> sections { {
        { EntryKind::Target, "targets" },
        { EntryKind::Endpoint, "endpoints" },
        { EntryKind::Organisation, "organisations" },
        { EntryKind::AcceleratorKind, "accelerators" },
        { EntryKind::LinkClass, "links" },
        { EntryKind::Rank, "ranks" },
    } };
    constexpr std::array<std::string_view, 3> changeNames { "added", "removed", "changed" };
    constexpr std::array<std::string_view, 3> changeSigns { "+", "-", "~" };

    std::vector<FieldChange> fieldChanges(const json& before, const json& after)
    {
        std::vector<FieldChange> fields;
        for (const auto& [name, value] : (before.empty() ? after : before).items()) {
            const std::string old = before.contains(name) ? before[name].dump() : "";
            const std::string now = after.contains(name) ? after[name].dump() : "";
            if (old != now)
                fields.push_back({ name, old, now });
        }
        return fields;
    }

    void compareEntries(EntryKind kind, const json& before, const json& after, std::vector<EntryChange>& changes)
    {
        const json none = json::object();
        for (const auto& [id, entry] : before.items()) {
            if (!after.contains(id))
                changes.push_back({ EntryChange::Kind::Removed, kind, id, fieldChanges(entry, none) });
            else if (after[id] != entry)
                changes.push_back({ EntryChange::Kind::Changed, kind, id, fieldChanges(entry, after[id]) });
        }
        for (const auto& [id, entry] : after.items()) {
            if (!before.contains(id))
                changes.push_back({ EntryChange::Kind::Added, kind, id, fieldChanges(none, entry) });
        }
    }

    std::string plain(const std::string& value)
    {
        return value.size() >= 2 && value.front() == '"' ? value.substr(1, value.size() - 2) : value;
    }

    std::string fieldText(const FieldChange& field, EntryChange::Kind change)
    {
        if (change == EntryChange::Kind::Changed)
            return fmt::format("{}: {} -> {}", field.field, plain(field.before), plain(field.after));
        return fmt::format(
            "{}={}", field.field, plain(change == EntryChange::Kind::Added ? field.after : field.before));
    }

} // namespace

ConfigurationDiff ConfigurationDiff::create(const Configuration& before, const Configuration& after)
{
    ConfigurationDiff diff;
    nlohmann::json old = internal::configurationDocument(before);
    nlohmann::json now = internal::configurationDocument(after);
    for (const auto& [kind, section] : sections) {
        const std::string name(section);
        compareEntries(kind, old[name], now[name], diff.m_changes);
        old.erase(name);
        now.erase(name);
    }
    for (nlohmann::json* general : { &old, &now }) {
        general->erase("version");
        general->erase("format");
    }
    if (old != now)
        diff.m_changes.push_back({ EntryChange::Kind::Changed, EntryKind::General, "", fieldChanges(old, now) });
    return diff;
}

std::string ConfigurationDiff::text() const
{
    std::string result;
    for (const EntryChange& change : m_changes) {
        result
            += fmt::format("{} {}", changeSigns[static_cast<std::size_t>(change.change)], entryKindName(change.kind));
        if (!change.id.empty())
            result += ' ' + change.id;
        for (const FieldChange& field : change.fields)
            result += ' ' + fieldText(field, change.change);
        result += '\n';
    }
    return result;
}

std::string ConfigurationDiff::json() const
{
    nlohmann::json result = nlohmann::json::array();
    for (const EntryChange& change : m_changes) {
        nlohmann::json fields = nlohmann::json::object();
        for (const FieldChange& field : change.fields) {
            nlohmann::json values = nlohmann::json::object();
            if (!field.before.empty())
                values["old"] = nlohmann::json::parse(field.before);
            if (!field.after.empty())
                values["new"] = nlohmann::json::parse(field.after);
            fields[field.field] = std::move(values);
        }
        result.push_back({ { "change", changeNames[static_cast<std::size_t>(change.change)] },
            { "kind", entryKindName(change.kind) }, { "id", change.id }, { "fields", std::move(fields) } });
    }
    return result.dump();
}

} // namespace fuchsialb
