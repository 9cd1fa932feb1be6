#include "BoundedJson.h"

#include <algorithm>
#include <utility>
#include <vector>

namespace fuchsialb {

namespace {

    using nlohmann::json;

    // A node of an object, which is the largest one, with what the allocator adds.
    constexpr std::size_t valueBytes = 128;

    /// \brief Builds a tree from the events of nlohmann's parser as long as it stays within the limits.
    class TreeBuilder final : public nlohmann::json_sax<json> {
    public:
        explicit TreeBuilder(const JsonLimits& limits)
            : m_limits(limits)
            , m_bytesLeft(static_cast<std::size_t>(limits.maxTree.value()))
        {
        }

        json takeRoot() { return std::move(m_root); }

        bool null() override { return addScalar(nullptr, 0); }
        bool boolean(bool value) override { return addScalar(value, 0); }
        bool number_integer(number_integer_t value) override { return addScalar(value, 0); }
        bool number_unsigned(number_unsigned_t value) override { return addScalar(value, 0); }
        bool number_float(number_float_t value, const string_t&) override { return addScalar(value, 0); }
        bool string(string_t& value) override
        {
            const std::size_t size = value.size();
            return addScalar(std::move(value), size);
        }
        bool binary(binary_t&) override { return false; }

        bool start_object(std::size_t) override { return open(json::object()); }
        bool start_array(std::size_t) override { return open(json::array()); }
        bool end_object() override { return close(); }
        bool end_array() override { return close(); }

        bool key(string_t& name) override
        {
            if (m_skippedDepth > 0)
                return true;
            const auto& members = m_limits.members;
            m_skipsNext = m_open.size() == 1 && !members.empty()
                && std::find(members.begin(), members.end(), name) == members.end();
            m_key = std::move(name);
            return true;
        }

        bool parse_error(std::size_t, const std::string&, const json::exception&) override { return false; }

    private:
        template <typename Value> bool addScalar(Value&& value, std::size_t size)
        {
            if (m_skippedDepth > 0 || std::exchange(m_skipsNext, false))
                return true;
            return add(json(std::forward<Value>(value)), size) != nullptr;
        }

        bool open(json container)
        {
            if (m_skippedDepth > 0 || std::exchange(m_skipsNext, false)) {
                ++m_skippedDepth;
                return true;
            }
            if (m_open.size() >= m_limits.maxDepth)
                return false;
            json* added = add(std::move(container), 0);
            if (added)
                m_open.push_back(added);
            return added != nullptr;
        }

        bool close()
        {
            if (m_skippedDepth > 0)
                --m_skippedDepth;
            else
                m_open.pop_back();
            return true;
        }

        /// \return The value in the tree; null if the tree would exceed its limit.
        json* add(json value, std::size_t size)
        {
            const bool isMember = !m_open.empty() && m_open.back()->is_object();
            const std::size_t cost = valueBytes + size + (isMember ? m_key.size() : 0);
            if (cost > m_bytesLeft)
                return nullptr;
            m_bytesLeft -= cost;
            json& place = m_open.empty() ? m_root : isMember ? (*m_open.back())[m_key] : m_open.back()->emplace_back();
            place = std::move(value);
            return &place;
        }

        const JsonLimits& m_limits;
        std::size_t m_bytesLeft;
        json m_root = json::value_t::discarded;
        /// Containers that aren't closed yet, from the outermost one.
        std::vector<json*> m_open;
        std::string m_key;
        bool m_skipsNext = false;
        /// Containers that aren't closed yet within a member that is passed over, itself included.
        std::size_t m_skippedDepth = 0;
    };

} // namespace

nlohmann::json parseJson(std::string_view text, const JsonLimits& limits)
{
    TreeBuilder builder(limits);
    return json::sax_parse(text, &builder) ? builder.takeRoot() : json(json::value_t::discarded);
}

} // namespace fuchsialb
