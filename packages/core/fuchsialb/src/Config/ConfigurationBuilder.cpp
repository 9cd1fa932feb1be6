#include "ConfigurationBuilder.h"

#include <fmt/format.h>

#include <algorithm>
#include <iterator>
#include <set>

namespace fuchsialb {

namespace {

    /// \return The ids of the entries whose kind does not fit their target; each gets an error.
    std::set<std::string> checkKinds(const Inventory& inventory, const Rules& rules, InputErrors& errors)
    {
        std::set<std::string> wrong;
        for (const auto& [id, entry] : inventory.entries) {
            const auto target = rules.values.targets.find(entry.endpoint.target);
            if (target == rules.values.targets.end() || target->second.kind == entry.kind)
                continue;
            const bool runner = entry.kind == TargetKind::Model;
            errors.add(entry.positions[static_cast<std::size_t>(InventoryColumn::Target)],
                entry.endpoint.target.value(), runner ? "a model, for kind runner" : "a service, for kind endpoint");
            wrong.insert(id.value());
        }
        return wrong;
    }

    SourcePosition positionIn(const InventoryEntry& entry, std::string_view field)
    {
        const auto* name = std::find(inventoryColumnNames.begin(), inventoryColumnNames.end(), field);
        if (name == inventoryColumnNames.end())
            return entry.positions.front();
        return entry.positions[static_cast<std::size_t>(std::distance(inventoryColumnNames.begin(), name))];
    }

} // namespace

Parsed<Configuration> buildConfiguration(const Inventory& inventory, const Rules& rules)
{
    InputErrors inventoryErrors(inventory.file, Reason::InvalidConfiguration);
    InputErrors rulesErrors(rules.file, Reason::InvalidConfiguration);
    Configuration configuration = rules.values;
    for (const auto& [id, entry] : inventory.entries)
        configuration.endpoints.emplace_hint(configuration.endpoints.end(), id, entry.endpoint);

    const std::set<std::string> wrongKind = checkKinds(inventory, rules, inventoryErrors);
    for (const ConfigurationProblem& problem : checkConfiguration(configuration)) {
        if (problem.kind != EntryKind::Endpoint) {
            rulesErrors.add(rules.position(problem.kind, problem.id, problem.field), problem.read, problem.accepted);
        } else if (!wrongKind.contains(problem.id)) {
            const InventoryEntry& entry = inventory.entries.at(EndpointId(problem.id));
            inventoryErrors.add(positionIn(entry, problem.field), problem.read, problem.accepted);
        }
    }
    if (inventoryErrors.empty() && rulesErrors.empty())
        return { std::move(configuration), {} };
    std::vector<InputError> errors = inventoryErrors.take();
    std::ranges::move(rulesErrors.take(), std::back_inserter(errors));
    return { std::nullopt, std::move(errors) };
}

} // namespace fuchsialb
