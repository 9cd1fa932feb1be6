#pragma once

#include "Json.h"

#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace fuchsialb::standins {

/// \brief KV cache of one request for a range of layers, and the arithmetic of a model made of hashes.
///
/// A hidden state is a number. Each layer mixes it with the layer's index, the position and a digest of all hidden
/// states that the layer has seen, so a layer that is skipped, repeated or run out of order, or that works on a wrong
/// cache, changes every token that follows.
class LayerState {
public:
    explicit LayerState(LayerRange layers)
        : m_layers(layers)
    {
    }

    /// \return Number of positions in the cache.
    std::size_t positions() const { return m_inputs.size(); }
    /// Runs all layers for the next position.
    /// \return The hidden state for the next stage.
    std::uint64_t append(std::uint64_t hidden);
    void truncate(std::size_t positions);
    /// \return The retained boundary outputs of positions [first, last).
    std::vector<std::uint64_t> outputs(std::size_t first, std::size_t last) const;
    /// \return Number of leading positions whose input equals `hidden`.
    std::size_t commonPrefix(std::span<const std::uint64_t> hidden) const;

    Json exported(std::size_t positions) const;
    /// \return None when the content does not fit `layers`.
    static std::optional<LayerState> imported(const Json& content, LayerRange layers);

private:
    LayerRange m_layers;
    std::vector<std::uint64_t> m_inputs;
    std::vector<std::uint64_t> m_outputs;
    /// For each position the digests of all layers.
    std::vector<std::uint64_t> m_digests;
};

/// \brief A generated token.
struct Token {
    std::uint64_t id = 0;
    std::string text;
};

/// \return The hidden state that enters layer 0.
std::uint64_t embedded(std::string_view token, std::size_t position);

/// \return The token that the output of the last layer stands for.
Token tokenOf(std::uint64_t hidden);

/// \return The tokens of a prompt: its words, or one empty token when there are none.
std::vector<std::string> promptTokens(std::string_view prompt);

/// \return The texts of the first `count` tokens that a model of `layers` layers generates for `prompt`.
std::vector<std::string> expectedTokens(std::string_view prompt, std::uint32_t layers, std::size_t count);

} // namespace fuchsialb::standins
