#pragma once

#include "fuchsialb/Router.h"

#include <cstdint>
#include <deque>
#include <mutex>
#include <string>
#include <vector>

namespace fuchsialb {

/// \brief Keeps the latest decisions for `explain`. Thread-safe.
class DecisionLog {
public:
    struct Entry {
        std::int64_t unixMicroseconds = 0;
        RequestId request;
        Reason reason = Reason::Ok;
        std::string detail;
    };

    explicit DecisionLog(std::size_t capacity);

    void add(std::int64_t unixMicroseconds, const Decision& decision);
    /// \return The decisions on a request (32 hexadecimal digits), oldest first.
    std::vector<Entry> ofRequest(std::string_view request) const;
    /// \return The latest decisions whose detail names a host or an endpoint, oldest first.
    std::vector<Entry> naming(std::string_view word) const;

private:
    std::size_t m_capacity;
    mutable std::mutex m_mutex;
    std::deque<Entry> m_entries;
};

} // namespace fuchsialb
