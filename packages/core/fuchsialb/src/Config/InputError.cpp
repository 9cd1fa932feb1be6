#include "InputError.h"

#include <fmt/format.h>

#include <algorithm>
#include <tuple>
#include <utility>

namespace fuchsialb {

namespace {

    constexpr std::size_t maxReadLength = 80;

    bool isControl(char c) { return static_cast<unsigned char>(c) < 0x20 || c == 0x7f; }

} // namespace

std::string printable(std::string_view text, std::size_t maxLength)
{
    std::string result;
    for (char c : text.substr(0, maxLength)) {
        if (isControl(c))
            result += fmt::format("\\x{:02x}", static_cast<unsigned char>(c));
        else if (c == '\'' || c == '\\')
            result += fmt::format("\\{}", c);
        else
            result += c;
    }
    return text.size() > maxLength ? result + "..." : result;
}

std::string describe(const InputError& error)
{
    return fmt::format("{}:{}:{}: read '{}', accepted is {} [{}]", error.file, error.line, error.column,
        printable(error.read, maxReadLength), error.accepted, reasonName(error.reason));
}

InputErrors::InputErrors(std::string file, Reason reason)
    : m_file(std::move(file))
    , m_reason(reason)
{
}

void InputErrors::add(SourcePosition at, std::string_view read, std::string_view accepted)
{
    add(at, read, accepted, m_reason);
}

void InputErrors::add(SourcePosition at, std::string_view read, std::string_view accepted, Reason reason)
{
    if (m_errors.size() >= maxListed) {
        ++m_unlisted;
        return;
    }
    m_errors.push_back({ m_file, at.line, at.column, std::string(read), std::string(accepted), reason });
}

std::vector<InputError> InputErrors::take()
{
    std::stable_sort(m_errors.begin(), m_errors.end(), [](const InputError& a, const InputError& b) {
        return std::tie(a.line, a.column) < std::tie(b.line, b.column);
    });
    if (m_unlisted > 0) {
        InputError last = m_errors.back();
        last.read = fmt::format("{} more errors", m_unlisted);
        last.accepted = fmt::format("a file without errors; the first {} are listed", maxListed);
        m_errors.push_back(std::move(last));
    }
    return std::exchange(m_errors, {});
}

} // namespace fuchsialb
