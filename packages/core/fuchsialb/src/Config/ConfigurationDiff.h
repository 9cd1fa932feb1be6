#pragma once

#include "Configuration.h"
#include "ConfigurationCheck.h"

#include <string>
#include <vector>

namespace fuchsialb {

/// \brief A field whose value differs; the values are in JSON, empty where the entry does not exist.
struct FieldChange {
    std::string field;
    std::string before;
    std::string after;

    bool operator==(const FieldChange&) const = default;
};

struct EntryChange {
    enum class Kind : unsigned char {
        Added,
        Removed,
        Changed,
    };

    Kind change = Kind::Changed;
    EntryKind kind = EntryKind::General;
    /// Empty for values of the configuration as a whole.
    std::string id;
    /// All fields of an entry that was added or removed, the fields that differ of one that was changed.
    std::vector<FieldChange> fields;

    bool operator==(const EntryChange&) const = default;
};

/// \brief What differs between two configurations, apart from their versions.
class ConfigurationDiff {
public:
    static ConfigurationDiff create(const Configuration& before, const Configuration& after);

    bool empty() const { return m_changes.empty(); }
    /// \return The changes by kind and id.
    const std::vector<EntryChange>& changes() const { return m_changes; }

    /// \return A line for each entry: "+ endpoint id field=value ...", "- endpoint id ..." or
    /// "~ endpoint id field: old -> new ...".
    std::string text() const;
    /// \return A JSON array of {change, kind, id, fields: {name: {old, new}}}.
    std::string json() const;

private:
    std::vector<EntryChange> m_changes;
};

} // namespace fuchsialb
