#include "LayerState.h"

#include <fmt/format.h>

#include <algorithm>
#include <array>

namespace fuchsialb::standins {

namespace {

    // Tokens are numbers of five hexadecimal digits, so a wrong state passes by chance once in a million.
    constexpr std::uint64_t vocabulary = 0x100000;

    template <std::size_t count> std::uint64_t mixed(const std::array<std::uint64_t, count>& values)
    {
        return hash64({ reinterpret_cast<const char*>(values.data()), sizeof values });
    }

} // namespace

std::uint64_t LayerState::append(std::uint64_t hidden)
{
    const std::size_t position = positions();
    const std::size_t layers = m_layers.count();
    m_inputs.push_back(hidden);
    for (std::size_t i = 0; i < layers; ++i) {
        const std::uint64_t earlier = position == 0 ? 0 : m_digests[m_digests.size() - layers];
        const std::uint64_t digest = mixed<2>({ earlier, hidden });
        m_digests.push_back(digest);
        hidden = mixed<4>({ hidden, m_layers.first + i, position, digest });
    }
    m_outputs.push_back(hidden);
    return hidden;
}

void LayerState::truncate(std::size_t positions)
{
    if (positions >= this->positions())
        return;
    m_inputs.resize(positions);
    m_outputs.resize(positions);
    m_digests.resize(positions * m_layers.count());
}

std::vector<std::uint64_t> LayerState::outputs(std::size_t first, std::size_t last) const
{
    const std::size_t end = std::min(last, positions());
    const std::size_t begin = std::min(first, end);
    return { m_outputs.begin() + static_cast<std::ptrdiff_t>(begin),
        m_outputs.begin() + static_cast<std::ptrdiff_t>(end) };
}

std::size_t LayerState::commonPrefix(std::span<const std::uint64_t> hidden) const
{
    const auto [mine, other] = std::mismatch(m_inputs.begin(), m_inputs.end(), hidden.begin(), hidden.end());
    return static_cast<std::size_t>(mine - m_inputs.begin());
}

Json LayerState::exported(std::size_t positions) const
{
    LayerState kept = *this;
    kept.truncate(positions);
    return { { "first_layer", m_layers.first }, { "end_layer", m_layers.end }, { "positions", kept.positions() },
        { "inputs", kept.m_inputs }, { "outputs", kept.m_outputs }, { "digests", kept.m_digests } };
}

std::optional<LayerState> LayerState::imported(const Json& content, LayerRange layers)
{
    LayerState state(layers);
    state.m_inputs = field<std::vector<std::uint64_t>>(content, "inputs", {});
    state.m_outputs = field<std::vector<std::uint64_t>>(content, "outputs", {});
    state.m_digests = field<std::vector<std::uint64_t>>(content, "digests", {});
    const LayerRange range { field(content, "first_layer", 0U), field(content, "end_layer", 0U) };
    const std::size_t positions = state.m_inputs.size();
    if (range != layers || state.m_outputs.size() != positions || state.m_digests.size() != positions * layers.count())
        return std::nullopt;
    return state;
}

std::uint64_t embedded(std::string_view token, std::size_t position) { return hash64(token, position + 1); }

Token tokenOf(std::uint64_t hidden)
{
    const std::uint64_t id = hidden % vocabulary;
    return { id, fmt::format("{:05x} ", id) };
}

std::vector<std::string> promptTokens(std::string_view prompt)
{
    std::vector<std::string> tokens;
    for (std::size_t begin = prompt.find_first_not_of(' '); begin != std::string_view::npos;) {
        const std::size_t end = std::min(prompt.find(' ', begin), prompt.size());
        tokens.emplace_back(prompt.substr(begin, end - begin));
        begin = prompt.find_first_not_of(' ', end);
    }
    if (tokens.empty())
        tokens.emplace_back();
    return tokens;
}

std::vector<std::string> expectedTokens(std::string_view prompt, std::uint32_t layers, std::size_t count)
{
    LayerState state({ 0, layers });
    std::uint64_t hidden = 0;
    for (const std::string& token : promptTokens(prompt))
        hidden = state.append(embedded(token, state.positions()));
    std::vector<std::string> texts;
    while (texts.size() < count) {
        texts.push_back(tokenOf(hidden).text);
        hidden = state.append(embedded(texts.back(), state.positions()));
    }
    return texts;
}

} // namespace fuchsialb::standins
