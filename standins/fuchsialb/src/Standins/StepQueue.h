#pragma once

#include "StageStep.h"

#include <functional>
#include <map>
#include <vector>

namespace fuchsialb::standins {

/// \brief Steps that wait for the next batch of a runner, most urgent first, then in order of arrival.
class StepQueue {
public:
    struct Item {
        StageStep step;
        /// Receives an error body, or null when the step has run.
        std::function<void(const Json& error)> done;
    };

    void push(Item item)
    {
        const auto priority = item.step.priority;
        m_items.emplace(std::pair(priority, ++m_arrivals), std::move(item));
    }

    /// \return At most `most` items.
    std::vector<Item> take(std::size_t most)
    {
        std::vector<Item> taken;
        while (taken.size() < most && !m_items.empty())
            taken.push_back(std::move(m_items.extract(m_items.begin()).mapped()));
        return taken;
    }

    std::size_t size() const { return m_items.size(); }

private:
    std::map<std::pair<std::uint32_t, std::uint64_t>, Item> m_items;
    std::uint64_t m_arrivals = 0;
};

} // namespace fuchsialb::standins
