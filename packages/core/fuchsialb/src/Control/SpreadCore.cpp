#include "SpreadCore.h"

#include <algorithm>
#include <chrono>
#include <utility>

namespace fuchsialb {

absl::StatusOr<std::unique_ptr<ConfigurationSpread>> ConfigurationSpread::create(
    HostId self, DataCentreId dataCentre, SpreadOptions options, const Clock& clock)
{
    if (!options.decode || !options.decodeHead || !options.chunkKey)
        return error(Reason::InvalidInput, "the codec hooks of the configuration must be set");
    if (options.chunk <= Bytes(0) || options.watchers == 0)
        return error(Reason::InvalidInput, "chunk size and number of watchers must be over 0");
    return std::make_unique<internal::SpreadCore>(std::move(self), std::move(dataCentre), std::move(options), clock);
}

namespace internal {

    namespace {

        /// Pause after a chunk of the store could not be read.
        constexpr Duration fetchPause = std::chrono::milliseconds(500);
        /// How long a host without any version prefers its peers' newer one to the store's.
        constexpr Duration firstVersionPatience = std::chrono::seconds(3);

    } // namespace

    SpreadCore::SpreadCore(HostId self, DataCentreId dataCentre, SpreadOptions options, const Clock& clock)
        : m_options(std::move(options))
        , m_clock(clock)
        , m_duty(self, dataCentre, m_options, clock.now())
        , m_watch(self, m_options)
        , m_fetch(m_options)
        , m_pull(std::move(self), std::move(dataCentre), m_options)
        , m_holder(m_options.decode, m_options.fault)
        , m_started(clock.now())
    {
    }

    void SpreadCore::onMembers(const std::vector<Member>& members)
    {
        m_duty.setMembers(members);
        m_pull.setMembers(members);
    }

    void SpreadCore::onStoreNews(const std::vector<StoreNews>& news)
    {
        const TimePoint now = m_clock.now();
        m_duty.setNews(news, now);
        if (!news.empty() && news.front().age != Duration::max())
            m_peerAnswered = std::max(m_peerAnswered.value_or(TimePoint::min()), now - news.front().age);
    }

    void SpreadCore::onMessage(const HostId& from, const ConfigMessage& message)
    {
        if (const auto* pull = std::get_if<ConfigPull>(&message)) {
            auto chunk = m_holder.answer(*pull, static_cast<std::size_t>(m_options.chunk.value()));
            if (chunk)
                m_sends.push_back({ from, *std::move(chunk) });
            return;
        }
        note(m_pull.onChunk(from, std::get<ConfigChunk>(message), m_holder, m_clock.now()));
        proceed();
    }

    void SpreadCore::onAnswer(const StoreAnswer& answer)
    {
        const TimePoint now = m_clock.now();
        if (m_watch.onAnswer(answer, now)) {
            proceed();
            return;
        }
        switch (m_fetch.onAnswer(answer)) {
        case StoreFetch::Progress::NotMine:
            return;
        case StoreFetch::Progress::Going:
            break;
        case StoreFetch::Progress::Failed:
            m_fetch.abandon();
            m_fetchNotBefore = now + fetchPause;
            break;
        }
        proceed();
    }

    void SpreadCore::note(VersionHolder::Offer offer)
    {
        if (offer == VersionHolder::Offer::Refused)
            ++m_refused;
    }

    void SpreadCore::tick() { proceed(); }

    ConfigurationVersion SpreadCore::newestKnown() const { return std::max(m_holder.number(), m_pull.newest()); }

    void SpreadCore::proceed()
    {
        const TimePoint now = m_clock.now();
        m_watching = m_duty.due(now);
        if (m_watching)
            emit(m_watch.next(now, newestKnown(), nextOperation()));
        else
            m_watch.stop();
        fetchFromStore(now);
        // The store is the nearer source while it works; a version that only peers have comes from them.
        if (!m_fetch.active() || m_pull.newest() > m_fetch.version()) {
            if (auto send = m_pull.next(m_holder, now))
                m_sends.push_back(*std::move(send));
        }
    }

    void SpreadCore::fetchFromStore(TimePoint now)
    {
        if (m_fetch.active() && (!m_holder.mayReplace(m_fetch.version()) || m_fetch.timedOut(now))) {
            if (m_fetch.timedOut(now))
                m_fetchNotBefore = now + fetchPause;
            m_fetch.abandon();
        }
        const ConfigurationHead* head = m_watch.head();
        // A version below the newest of the peers is taken only as the first one, when the peers haven't delivered.
        const bool waitsForPeers = head && head->version < m_pull.newest()
            && m_holder.number() == ConfigurationVersion() && now - m_started < firstVersionPatience;
        const bool wanted = head && m_holder.mayReplace(head->version) && !waitsForPeers;
        if (m_watching && wanted && !m_fetch.active() && now >= m_fetchNotBefore)
            m_fetch.start(*head);
        if (m_fetch.complete())
            finishFetch(now);
        emit(m_fetch.next(now, nextOperation()));
    }

    void SpreadCore::finishFetch(TimePoint now)
    {
        auto [head, encoding] = m_fetch.take();
        const VersionHolder::Offer offer = m_holder.offerWhole(head.version, head.digest, std::move(encoding));
        if (offer == VersionHolder::Offer::Refused) {
            m_fetch.clear();
            m_fetchNotBefore = now + fetchPause;
        }
        note(offer);
    }

    void SpreadCore::emit(std::optional<ControlOperation> operation)
    {
        if (!operation)
            return;
        ++m_operation;
        m_operations.push_back(*std::move(operation));
    }

    std::shared_ptr<const Configuration> SpreadCore::inForce() const
    {
        const auto version = m_holder.inForce();
        return version ? std::shared_ptr<const Configuration>(version, &version->configuration) : nullptr;
    }

    SpreadStatus SpreadCore::status() const
    {
        SpreadStatus status;
        status.inForce = m_holder.number();
        status.watching = m_watching;
        const auto answered = std::max(m_peerAnswered, m_watch.answered());
        if (answered)
            status.storeAge = m_clock.now() - *answered;
        status.storeBehind = m_watch.storeBehind();
        status.storeAnswers = m_watch.answers();
        status.refused = m_refused;
        return status;
    }

    std::vector<ControlOperation> SpreadCore::takeOperations() { return std::exchange(m_operations, {}); }

    std::vector<ConfigSend> SpreadCore::takeSends() { return std::exchange(m_sends, {}); }

} // namespace internal

} // namespace fuchsialb
