#include "HeadWatch.h"

#include "../Base/Hash.h"

#include <chrono>

namespace fuchsialb::internal {

namespace {

    using std::chrono::milliseconds;

    /// Pause after a failed operation; it differs between hosts so that they don't return to the store together.
    constexpr Duration retryPause = milliseconds(300);
    constexpr std::uint64_t retrySpreadUs = 200'000;

} // namespace

HeadWatch::HeadWatch(const HostId& self, const SpreadOptions& options)
    : m_options(options)
    , m_retryPause(retryPause + Duration(hash64(self.value()) % retrySpreadUs))
{
}

std::optional<ControlOperation> HeadWatch::next(TimePoint now, ConfigurationVersion known, StoreOperationId operation)
{
    if (m_inFlight && now < m_inFlight->until)
        return std::nullopt;
    if (m_inFlight) {
        m_inFlight.reset();
        m_notBefore = now + m_retryPause;
    }
    if (now < m_notBefore)
        return std::nullopt;
    const std::string key(configurationHeadKey);
    if (!m_nextRead || now >= *m_nextRead) {
        m_nextRead = now + m_options.readPeriod;
        m_inFlight = { operation, now + m_options.operationTimeout, true, known };
        return StoreRead { operation, key };
    }
    m_inFlight = { operation, now + m_options.watchWait + m_options.operationTimeout, false, known };
    return StoreWatch { operation, key, m_keyVersion, m_options.watchWait };
}

void HeadWatch::stop()
{
    m_inFlight.reset();
    m_nextRead.reset();
}

bool HeadWatch::onAnswer(const StoreAnswer& answer, TimePoint now)
{
    if (!m_inFlight || m_inFlight->operation != answer.operation)
        return false;
    const InFlight operation = *m_inFlight;
    m_inFlight.reset();
    if (answer.kind != StoreAnswer::Kind::Ok && answer.kind != StoreAnswer::Kind::Missing) {
        m_notBefore = now + m_retryPause;
        if (operation.read)
            m_nextRead.reset();
        return true;
    }
    ++m_answers;
    m_answered = now;
    if (answer.kind == StoreAnswer::Kind::Missing) {
        // An empty watch says only that nothing has changed.
        if (operation.read) {
            m_keyVersion = KeyVersion();
            m_storeBehind = operation.known > ConfigurationVersion();
        }
        return true;
    }
    m_keyVersion = answer.version;
    const auto head = m_options.decodeHead(answer.value);
    if (!head.ok()) {
        m_notBefore = now + m_retryPause;
        return true;
    }
    m_head = *head;
    m_storeBehind = head->version < operation.known;
    return true;
}

} // namespace fuchsialb::internal
