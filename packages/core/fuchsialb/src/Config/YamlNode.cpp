#include "YamlNode.h"

#include <fmt/format.h>
#include <yaml-cpp/eventhandler.h>
#include <yaml-cpp/yaml.h>

#include <algorithm>
#include <sstream>
#include <utility>

namespace fuchsialb::internal {

namespace {

    constexpr std::size_t maxDepth = 16;
    constexpr std::size_t maxNodes = 200'000;

    constexpr std::string_view byteOrderMark = "\xef\xbb\xbf";

    /// Turns the marks of yaml-cpp, whose columns count bytes, into positions whose columns count characters.
    class Positions {
    public:
        explicit Positions(std::string_view text)
            : m_text(text)
            , m_lines { 0 }
        {
            for (std::size_t i = text.find('\n'); i != std::string_view::npos; i = text.find('\n', i + 1))
                m_lines.push_back(i + 1);
        }

        SourcePosition of(const YAML::Mark& mark)
        {
            if (mark.is_null())
                return {};
            const auto line = static_cast<std::size_t>(mark.line);
            const std::size_t begin = line < m_lines.size() ? m_lines[line] : m_text.size();
            const std::size_t end = std::min(begin + static_cast<std::size_t>(mark.column), m_text.size());
            // Marks mostly advance, so that a long line is counted once.
            if (line != m_line || end < m_end) {
                m_line = line;
                m_end = begin;
                m_characters = 0;
            }
            for (; m_end < end; ++m_end)
                m_characters += (static_cast<unsigned char>(m_text[m_end]) & 0xc0U) == 0x80U ? 0 : 1;
            return { static_cast<std::uint32_t>(line) + 1, m_characters + 1 };
        }

    private:
        std::string_view m_text;
        std::vector<std::size_t> m_lines;
        std::size_t m_line = 0;
        std::size_t m_end = 0;
        std::uint32_t m_characters = 0;
    };

    /// Builds the tree; throws the fault that ends the parsing.
    class TreeBuilder final : public YAML::EventHandler {
    public:
        explicit TreeBuilder(Positions& positions)
            : m_positions(positions)
        {
        }

        YamlNode take() { return std::move(m_root.children.front()); }

        void OnDocumentStart(const YAML::Mark& mark) override
        {
            if (!m_root.children.empty())
                throw YamlFault { m_positions.of(mark), "a second document", "one YAML document" };
        }
        void OnDocumentEnd() override { }
        void OnNull(const YAML::Mark& mark, YAML::anchor_t) override
        {
            add({ YamlNode::Kind::Null, {}, m_positions.of(mark), {} });
        }
        void OnAlias(const YAML::Mark& mark, YAML::anchor_t) override
        {
            throw YamlFault { m_positions.of(mark), "an alias", "the value itself" };
        }
        void OnScalar(const YAML::Mark& mark, const std::string&, YAML::anchor_t, const std::string& value) override
        {
            add({ YamlNode::Kind::Scalar, value, m_positions.of(mark), {} });
        }
        void OnSequenceStart(
            const YAML::Mark& mark, const std::string&, YAML::anchor_t, YAML::EmitterStyle::value) override
        {
            open(YamlNode::Kind::Sequence, mark);
        }
        void OnSequenceEnd() override { close(); }
        void OnMapStart(const YAML::Mark& mark, const std::string&, YAML::anchor_t, YAML::EmitterStyle::value) override
        {
            open(YamlNode::Kind::Map, mark);
        }
        void OnMapEnd() override { close(); }

    private:
        void add(YamlNode node)
        {
            if (++m_nodes > maxNodes)
                throw YamlFault { node.at, "more values than that", fmt::format("at most {} values", maxNodes) };
            (m_open.empty() ? m_root : m_open.back()).children.push_back(std::move(node));
        }

        void open(YamlNode::Kind kind, const YAML::Mark& mark)
        {
            if (m_open.size() >= maxDepth)
                throw YamlFault { m_positions.of(mark), "a deeper level", fmt::format("at most {} levels", maxDepth) };
            m_open.push_back({ kind, {}, m_positions.of(mark), {} });
        }

        void close()
        {
            YamlNode node = std::move(m_open.back());
            m_open.pop_back();
            add(std::move(node));
        }

        Positions& m_positions;
        YamlNode m_root;
        std::vector<YamlNode> m_open;
        std::size_t m_nodes = 0;
    };

} // namespace

std::variant<YamlNode, YamlFault> parseYaml(std::string_view text)
{
    if (text.starts_with(byteOrderMark))
        text.remove_prefix(byteOrderMark.size());
    std::istringstream stream { std::string(text) };
    Positions positions(text);
    TreeBuilder builder(positions);
    try {
        YAML::Parser parser(stream);
        if (!parser.HandleNextDocument(builder))
            return YamlFault { {}, "no document", "one YAML document" };
        parser.HandleNextDocument(builder);
        return builder.take();
    } catch (const YamlFault& fault) {
        return fault;
    } catch (const YAML::Exception& exception) {
        return YamlFault { positions.of(exception.mark), exception.msg, "YAML" };
    }
}

} // namespace fuchsialb::internal
