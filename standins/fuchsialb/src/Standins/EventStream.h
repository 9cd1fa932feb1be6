#pragma once

#include "Json.h"

#include <functional>
#include <string>
#include <string_view>

namespace fuchsialb::standins {

/// \brief Reads server-sent events with JSON data; comments and other fields are skipped.
class EventStream {
public:
    explicit EventStream(std::function<void(const Json& event)> onEvent)
        : m_onEvent(std::move(onEvent))
    {
    }

    void feed(std::string_view piece)
    {
        constexpr std::string_view dataField = "data:";
        m_rest.append(piece);
        std::size_t begin = 0;
        for (std::size_t end = m_rest.find('\n'); end != std::string::npos; end = m_rest.find('\n', begin)) {
            const std::string_view line = std::string_view(m_rest).substr(begin, end - begin);
            begin = end + 1;
            if (!line.starts_with(dataField))
                continue;
            const Json event = parseObject(line.substr(dataField.size()));
            if (!event.empty())
                m_onEvent(event);
        }
        m_rest.erase(0, begin);
    }

private:
    std::function<void(const Json& event)> m_onEvent;
    std::string m_rest;
};

} // namespace fuchsialb::standins
