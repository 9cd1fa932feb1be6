#include "StoreFetch.h"

#include "../Base/Hash.h"

#include <algorithm>
#include <utility>

namespace fuchsialb::internal {

void StoreFetch::start(const ConfigurationHead& head)
{
    m_inFlight.reset();
    m_head = head;
    std::erase_if(m_chunks, [&head](const auto& chunk) {
        return std::find(head.chunks.begin(), head.chunks.end(), chunk.first) == head.chunks.end();
    });
}

void StoreFetch::abandon()
{
    m_inFlight.reset();
    m_head.reset();
}

std::optional<ControlOperation> StoreFetch::next(TimePoint now, StoreOperationId operation)
{
    if (!m_head || m_inFlight)
        return std::nullopt;
    for (const Bits128& digest : m_head->chunks) {
        if (m_chunks.contains(digest))
            continue;
        m_inFlight = operation;
        m_wanted = digest;
        m_until = now + m_options.operationTimeout;
        return StoreRead { operation, m_options.chunkKey(digest) };
    }
    return std::nullopt;
}

bool StoreFetch::complete() const
{
    return m_head && std::all_of(m_head->chunks.begin(), m_head->chunks.end(), [this](const Bits128& digest) {
        return m_chunks.contains(digest);
    });
}

StoreFetch::Progress StoreFetch::onAnswer(const StoreAnswer& answer)
{
    if (!m_inFlight || *m_inFlight != answer.operation)
        return Progress::NotMine;
    m_inFlight.reset();
    if (answer.kind != StoreAnswer::Kind::Ok || hash128(answer.value) != m_wanted)
        return Progress::Failed;
    m_chunks[m_wanted] = answer.value;
    return Progress::Going;
}

std::pair<ConfigurationHead, std::string> StoreFetch::take()
{
    std::string encoding;
    for (const Bits128& digest : m_head->chunks)
        encoding += m_chunks[digest];
    ConfigurationHead head = *std::exchange(m_head, std::nullopt);
    return { std::move(head), std::move(encoding) };
}

} // namespace fuchsialb::internal
