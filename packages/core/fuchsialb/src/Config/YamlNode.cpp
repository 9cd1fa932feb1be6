#include "YamlNode.h"

#include <fmt/format.h>
#include <yaml-cpp/eventhandler.h>
#include <yaml-cpp/yaml.h>

#include <sstream>
#include <utility>

namespace fuchsialb::internal {

namespace {

    constexpr std::size_t maxDepth = 16;
    constexpr std::size_t maxNodes = 200'000;

    SourcePosition positionOf(const YAML::Mark& mark)
    {
        if (mark.is_null())
            return {};
        return { static_cast<std::uint32_t>(mark.line) + 1, static_cast<std::uint32_t>(mark.column) + 1 };
    }

    /// Builds the tree; throws the fault that ends the parsing.
    class TreeBuilder final : public YAML::EventHandler {
    public:
        YamlNode take() { return std::move(m_root.children.front()); }

        void OnDocumentStart(const YAML::Mark& mark) override
        {
            if (!m_root.children.empty())
                throw YamlFault { positionOf(mark), "a second document", "one YAML document" };
        }
        void OnDocumentEnd() override { }
        void OnNull(const YAML::Mark& mark, YAML::anchor_t) override
        {
            add({ YamlNode::Kind::Null, {}, positionOf(mark), {} });
        }
        void OnAlias(const YAML::Mark& mark, YAML::anchor_t) override
        {
            throw YamlFault { positionOf(mark), "an alias", "the value itself" };
        }
        void OnScalar(const YAML::Mark& mark, const std::string&, YAML::anchor_t, const std::string& value) override
        {
            add({ YamlNode::Kind::Scalar, value, positionOf(mark), {} });
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
                throw YamlFault { positionOf(mark), "a deeper level", fmt::format("at most {} levels", maxDepth) };
            m_open.push_back({ kind, {}, positionOf(mark), {} });
        }

        void close()
        {
            YamlNode node = std::move(m_open.back());
            m_open.pop_back();
            add(std::move(node));
        }

        YamlNode m_root;
        std::vector<YamlNode> m_open;
        std::size_t m_nodes = 0;
    };

} // namespace

std::variant<YamlNode, YamlFault> parseYaml(std::string_view text)
{
    std::istringstream stream { std::string(text) };
    TreeBuilder builder;
    try {
        YAML::Parser parser(stream);
        if (!parser.HandleNextDocument(builder))
            return YamlFault { {}, "no document", "one YAML document" };
        parser.HandleNextDocument(builder);
        return builder.take();
    } catch (const YamlFault& fault) {
        return fault;
    } catch (const YAML::Exception& exception) {
        return YamlFault { positionOf(exception.mark), exception.msg, "YAML" };
    }
}

} // namespace fuchsialb::internal
