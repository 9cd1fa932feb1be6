#include "tests/support/FleetDataCentre.h"

#include <catch2/catch.hpp>

#include <random>

using namespace fuchsialb;
using namespace fuchsialb::test;

namespace {

/// How the store treats the hosts that it turns away.
enum class Refusal : unsigned char {
    /// Each call fails at once, also a watch that waits.
    Answered,
    /// A call gets no answer.
    Silent,
};

/// A data centre whose hosts watch and read the configuration in a store.
class ReadingDataCentre {
public:
    ReadingDataCentre(std::size_t hosts, Duration bound, Refusal refusal, std::uint32_t seed)
        : m_fleet(hosts)
        , m_bound(bound)
        , m_refusal(refusal)
        , m_random(seed)
        , m_readers(hosts)
    {
        run(6s);
        m_reads = 0;
    }

    void change() { m_versions.emplace_back(now(), ++m_version); }
    void turnAway(std::set<std::size_t> hosts) { m_turnedAway = std::move(hosts); }
    /// \return Reads of hosts that don't watch the store, since the data centre settled.
    std::size_t reads() const { return m_reads; }

    void run(Duration time)
    {
        for (const TimePoint end = m_fleet.now + time; m_fleet.now < end;)
            step();
    }

    /// \return Whether all hosts that the store answers have its configuration.
    bool areUpToDate() const
    {
        for (std::size_t i = 0; i < m_fleet.hosts.size(); ++i) {
            if (!m_turnedAway.contains(i) && m_fleet.hosts[i]->configuration.version().value() < m_version)
                return false;
        }
        return true;
    }

    Duration randomTime(Duration below)
    {
        return Duration(static_cast<Duration::rep>(m_random() % static_cast<std::uint64_t>(below.count())));
    }

private:
    struct Reader {
        std::optional<Duration> watchingSince;
        Duration watchTimeout { 0 };
        Duration nextWatchAt { 0 };
        ConfigurationRefresh refresh;
        ConfigurationRead read = ConfigurationRead::None;
        Duration readAt { 0 };
    };

    static constexpr Duration callTimeout = 1s;
    static constexpr Duration staleness = 3s;
    static constexpr Duration retryDelay = 600ms;

    Duration now() const { return m_fleet.now.time_since_epoch(); }

    ReadSchedule schedule(const Host& host) const { return ReadSchedule::forBound(m_bound, host.directory.cells()); }

    void step()
    {
        for (std::size_t i = 0; i < m_readers.size(); ++i) {
            Host& host = *m_fleet.hosts[i];
            watch(m_readers[i], host, m_turnedAway.contains(i));
            read(m_readers[i], host, m_turnedAway.contains(i));
        }
        m_fleet.step();
    }

    void watch(Reader& reader, Host& host, bool isTurnedAway)
    {
        if (!reader.watchingSince) {
            if (!host.directory.readsStore(m_fleet.now) || now() < reader.nextWatchAt)
                return;
            reader.watchingSince = now();
            reader.watchTimeout
                = host.directory.readsStoreFirst(m_fleet.now) ? schedule(host).watchTimeout : Duration(5s);
        }
        const Duration waited = now() - *reader.watchingSince;
        const bool isLate = waited >= reader.watchTimeout + callTimeout;
        if (isTurnedAway && (m_refusal == Refusal::Answered || isLate)) {
            host.storeReach.recordFailure(now());
            reader.watchingSince.reset();
            reader.nextWatchAt = now() + retryDelay;
        } else if (!isTurnedAway && host.configuration.version().value() < m_version) {
            static_cast<void>(host.configuration.accept(table(m_version), *reader.watchingSince));
            finishWatch(reader, host);
        } else if (!isTurnedAway && waited >= reader.watchTimeout) {
            host.configuration.confirm(host.configuration.version(), *reader.watchingSince + reader.watchTimeout);
            finishWatch(reader, host);
        }
    }

    static void finishWatch(Reader& reader, Host& host)
    {
        host.storeReach.recordSuccess();
        reader.watchingSince.reset();
    }

    void read(Reader& reader, Host& host, bool isTurnedAway)
    {
        if (reader.read != ConfigurationRead::None) {
            const bool isLate = now() - reader.readAt >= callTimeout;
            if (isTurnedAway && m_refusal == Refusal::Silent && !isLate)
                return;
            finishRead(reader, host, isTurnedAway);
        }
        reader.read
            = reader.refresh.next(host.configuration, host.beats.newestConfiguration(), schedule(host).maxAge, now());
        reader.readAt = now();
        m_reads += reader.read == ConfigurationRead::None ? 0 : 1;
    }

    void finishRead(Reader& reader, Host& host, bool isTurnedAway)
    {
        const bool isNewest = reader.read == ConfigurationRead::Newest;
        reader.refresh.recordEnd(std::exchange(reader.read, ConfigurationRead::None), now());
        if (isTurnedAway) {
            host.storeReach.recordFailure(now());
            return;
        }
        host.storeReach.recordSuccess();
        static_cast<void>(
            host.configuration.accept(table(versionAt(isNewest ? reader.readAt : reader.readAt - staleness)),
                isNewest ? reader.readAt : Duration(0)));
    }

    std::uint64_t versionAt(Duration time) const
    {
        std::uint64_t version = 7;
        for (const auto& [at, changed] : m_versions)
            version = at <= time ? changed : version;
        return version;
    }

    FleetDataCentre m_fleet;
    Duration m_bound;
    Refusal m_refusal;
    std::mt19937 m_random;
    std::vector<Reader> m_readers;
    std::set<std::size_t> m_turnedAway;
    std::uint64_t m_version = 7;
    std::vector<std::pair<Duration, std::uint64_t>> m_versions;
    std::size_t m_reads = 0;
};

} // namespace

// Guards against hosts that handle requests by an old configuration since those that watch it are turned away.
TEST_CASE("A change of the configuration is known in time to each host that the store answers")
{
    struct Fleet {
        std::size_t hosts;
        Duration bound;
    };
    const Fleet fleet = GENERATE(Fleet { 6, 2s }, Fleet { 36, 3s }, Fleet { 60, 4s });
    const Refusal refusal = GENERATE(Refusal::Answered, Refusal::Silent);
    constexpr std::uint32_t runs = 8;
    INFO(fleet.hosts << " hosts");

    SECTION("while the store turns away the first ones, or a third of them")
    {
        for (std::uint32_t seed = 0; seed < runs; ++seed) {
            INFO("seed " << seed);
            ReadingDataCentre dataCentre(fleet.hosts, fleet.bound, refusal, seed);
            std::set<std::size_t> turnedAway { 0, 1 };
            std::mt19937 random(seed);
            while (seed % 2 == 1 && turnedAway.size() < fleet.hosts / 3)
                turnedAway.insert(random() % fleet.hosts);
            dataCentre.turnAway(turnedAway);
            for (int i = 0; i < 3; ++i) {
                dataCentre.run(dataCentre.randomTime(2500ms));
                dataCentre.change();
                dataCentre.run(fleet.bound);
                CHECK(dataCentre.areUpToDate());
            }
        }
    }

    SECTION("and in calm the other hosts read nothing by themselves")
    {
        ReadingDataCentre dataCentre(fleet.hosts, fleet.bound, refusal, 1);
        dataCentre.run(30s);
        CHECK(dataCentre.reads() == 0);
    }
}

// Guards against bounds that leave no time for the read of a host whose last proof has got old.
TEST_CASE("The ages at which hosts read by themselves follow from the bound")
{
    const std::uint32_t cells = GENERATE(1U, 8U);
    const Duration bound = GENERATE(Duration(1s), Duration(2s), Duration(3s), Duration(10s));
    const ReadSchedule schedule = ReadSchedule::forBound(bound, cells);
    CHECK(schedule.maxAge < bound);
    CHECK(schedule.maxAge <= 3s);
    CHECK(schedule.watchTimeout <= schedule.maxAge);
    CHECK(schedule.watchTimeout >= 300ms);
}
