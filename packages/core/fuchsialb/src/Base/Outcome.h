#pragma once

#include <string_view>

namespace fuchsialb {

/// \brief What became of a request, as told to its caller.
enum class Outcome : unsigned char {
    /// The caller has the whole answer.
    Completed,
    /// No endpoint has run the request or will run it.
    NotRun,
    /// The request may have run; it is not repeated.
    Unknown,
};

constexpr std::string_view outcomeName(Outcome outcome)
{
    switch (outcome) {
    case Outcome::Completed:
        return "completed";
    case Outcome::NotRun:
        return "not-run";
    case Outcome::Unknown:
        return "outcome-unknown";
    }
    return "";
}

} // namespace fuchsialb
