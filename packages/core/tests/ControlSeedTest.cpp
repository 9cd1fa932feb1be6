#include "support/ControlSpreadWorld.h"

#include <catch2/catch.hpp>

#include <algorithm>

using namespace fuchsialb;
using namespace fuchsialb::test;
using namespace std::chrono_literals;

namespace {

constexpr int centres = 2;
constexpr int perCentre = 4;
constexpr Duration sampleInterval = 250ms;

/// What the checkers read; nothing of the objects under test is asked after the run.
struct Sample {
    TimePoint at;
    /// Version that the store shows; a restore from a backup lowers it.
    ConfigurationVersion stored;
    struct HostState {
        bool running = false;
        bool reachesStore = false;
        std::uint64_t incarnation = 0;
        ConfigurationVersion version;
        std::set<HostId> accepting;
    };
    std::map<HostId, HostState> hosts;
};

struct History {
    std::vector<Sample> samples;
    std::vector<InForceRecord> inForce;
    std::map<ConfigurationVersion, TimePoint> accepted;
    std::map<HostId, TimePoint> left;
};

/// Seeded disturbances for 40 s, then 10 s without any.
class SeededRun {
public:
    SeededRun(std::uint64_t seed, SpreadFault fault)
        : m_world(seed, fault)
        , m_random(seed ^ 0x9e3779b97f4a7c15)
    {
        m_world.net.faults = { 0.02, 0.02, Duration(200), Duration(30'000) };
        m_world.corruptChunks = 0.05;
        m_world.store.lostAnswers = 0.02;
        m_world.store.reachable = [this](const HostId& host) { return !m_blind.contains(host); };
        m_world.net.cut = [this](const HostId& a, const HostId& b) {
            return m_split && m_world.net.hosts.at(a).dataCentre != m_world.net.hosts.at(b).dataCentre;
        };
    }

    History run()
    {
        for (int i = 0; i < centres * perCentre; ++i)
            m_world.start(name(i), centre(i));
        m_world.net.publishHostList();
        m_world.publish();
        for (int step = 0; step < 200; ++step) {
            if (step % 8 == 0 && step < 160)
                disturb();
            if (step == 160) {
                m_blind.clear();
                m_split = false;
                restartAll();
            }
            m_world.net.runFor(sampleInterval);
            sample();
        }
        m_history.inForce = m_world.history;
        m_history.accepted = m_world.accepted;
        return std::move(m_history);
    }

private:
    static std::string name(int i) { return "h" + std::to_string(i); }
    static std::string centre(int i) { return "dc" + std::to_string(i / perCentre); }

    void restartAll()
    {
        for (int i = 0; i < centres * perCentre; ++i) {
            if (!m_world.net.up(HostId(name(i))))
                m_world.start(name(i), centre(i));
        }
        m_world.net.publishHostList();
    }

    void disturb()
    {
        const int i = static_cast<int>(m_random.below(centres * perCentre));
        const HostId host(name(i));
        switch (m_random.below(9)) {
        case 0:
            if (!m_history.left.contains(host))
                m_world.net.crash(host.value());
            break;
        case 1:
            m_world.net.pause(host.value(), Duration(m_random.below(8'000'000)));
            break;
        case 2:
            // A whole data centre loses the store, one host, or none.
            m_blind.clear();
            for (int j = 0; j < centres * perCentre; ++j) {
                if (j == i || (m_random.chance(0.5) && centre(j) == centre(i)))
                    m_blind.insert(HostId(name(j)));
            }
            break;
        case 3:
            m_split = !m_split;
            break;
        case 4:
            if (m_world.net.up(host) && m_history.left.empty()) {
                m_history.left[host] = m_world.net.clock.now();
                m_world.net.of(host.value()).leave();
            }
            break;
        case 5:
            restartAll();
            break;
        case 6:
            // The store is restored from the backup of some time ago, or a new backup is made.
            if (m_random.chance(0.3))
                m_world.store.restore(m_backup);
            m_backup = m_world.store.contentsByKey;
            break;
        default:
            for (std::uint64_t n = m_random.below(3) + 1; n > 0; --n)
                m_world.publish(m_random.below(2) == 0 ? 20 : 20'000);
        }
    }

    void sample()
    {
        Sample now;
        now.at = m_world.net.clock.now();
        const auto head = m_world.store.contentsByKey.find(std::string(configurationHeadKey));
        if (head != m_world.store.contentsByKey.end())
            now.stored = standInOptions().decodeHead(head->second.value)->version;
        for (const auto& [id, host] : m_world.net.hosts) {
            Sample::HostState& state = now.hosts[id];
            state.incarnation = host.incarnation;
            state.running = host.membership && host.pausedUntil <= now.at;
            state.reachesStore = state.running && !m_blind.contains(id);
            if (!state.running)
                continue;
            state.version = m_world.of(id.value()).status().inForce;
            for (const HostId& accepting : host.membership->accepting(host.dataCentre))
                state.accepting.insert(accepting);
        }
        m_history.samples.push_back(std::move(now));
    }

    ControlSpreadWorld m_world;
    Random m_random;
    std::set<HostId> m_blind;
    bool m_split = false;
    std::map<std::string, StoreAnswer> m_backup;
    History m_history;
};

/// Counts of broken guarantees.
struct Breaches {
    int reverted = 0;
    int damaged = 0;
    int late = 0;
    int newWork = 0;

    int all() const { return reverted + damaged + late + newWork; }
};

/// No daemon goes back, and each has exactly what was accepted.
void checkVersions(const History& history, Breaches& breaches)
{
    std::map<std::pair<HostId, std::uint64_t>, ConfigurationVersion> latest;
    for (const InForceRecord& record : history.inForce) {
        ConfigurationVersion& before = latest[{ record.host, record.incarnation }];
        breaches.reverted += record.version < before ? 1 : 0;
        breaches.damaged += record.whole ? 0 : 1;
        before = record.version;
    }
}

bool sameCentre(const HostId& a, const HostId& b)
{
    return std::stoi(a.value().substr(1)) / perCentre == std::stoi(b.value().substr(1)) / perCentre;
}

/// After 6 s in which a daemon ran, one host of its data centre reached the store and the store showed a version, all
/// without a break, the daemon has that version.
void checkInForceWithin6s(const History& history, Breaches& breaches)
{
    // Since when each pair of hosts has been a path to the store.
    std::map<std::pair<HostId, HostId>, TimePoint> since;
    std::map<HostId, std::uint64_t> incarnation;
    std::map<ConfigurationVersion, TimePoint> storedSince;
    for (const Sample& sample : history.samples) {
        for (const auto& [version, at] : history.accepted) {
            if (sample.stored < version)
                storedSince.erase(version);
            else
                storedSince.try_emplace(version, sample.at);
        }
        for (const auto& [id, host] : sample.hosts) {
            std::optional<TimePoint> path;
            for (const auto& [via, other] : sample.hosts) {
                const bool works = sameCentre(id, via) && host.running && other.reachesStore
                    && incarnation[id] == host.incarnation && incarnation[via] == other.incarnation;
                if (!works)
                    since.erase({ id, via });
                else
                    path = std::min(path.value_or(sample.at), since.try_emplace({ id, via }, sample.at).first->second);
            }
            if (!path || sample.at - *path < 6s)
                continue;
            for (const auto& [version, at] : storedSince)
                breaches.late += at + 6s <= sample.at && host.version < version ? 1 : 0;
        }
        for (const auto& [id, host] : sample.hosts)
            incarnation[id] = host.incarnation;
    }
}

/// A view of a running host shows a leaving one as accepting no longer than 3 s after it began to leave, or after
/// the viewer or the leaving host last was paused, started or stopped.
void checkLeaving(const History& history, Breaches& breaches)
{
    std::map<HostId, TimePoint> undisturbedSince;
    std::map<HostId, std::uint64_t> incarnation;
    for (const Sample& sample : history.samples) {
        for (const auto& [id, host] : sample.hosts) {
            if (!host.running || incarnation[id] != host.incarnation)
                undisturbedSince[id] = sample.at;
            incarnation[id] = host.incarnation;
        }
        for (const auto& [leaving, at] : history.left) {
            for (const auto& [id, host] : sample.hosts) {
                const TimePoint from = std::max({ at, undisturbedSince[id], undisturbedSince[leaving] });
                const bool due = host.running && id != leaving && sample.at > from + 3s;
                breaches.newWork += due && host.accepting.contains(leaving) ? 1 : 0;
            }
        }
    }
}

Breaches breachesOf(std::uint64_t seed, SpreadFault fault)
{
    const History history = SeededRun(seed, fault).run();
    Breaches breaches;
    checkVersions(history, breaches);
    checkInForceWithin6s(history, breaches);
    checkLeaving(history, breaches);
    return breaches;
}

} // namespace

// Guards against any order of losses, pauses, crashes and store faults in which a version reverts, is damaged or late,
// or a leaving host gets new work.
TEST_CASE("The guarantees of configuration and leaving hold under seeded faults")
{
    for (std::uint64_t seed = 1; seed <= seedCount(); ++seed) {
        const Breaches breaches = breachesOf(seed, SpreadFault::None);
        INFO("seed " << seed << ": reverted " << breaches.reverted << ", damaged " << breaches.damaged << ", late "
                     << breaches.late << ", new work " << breaches.newWork);
        CHECK(breaches.all() == 0);
    }
}

// Guards against checkers that can't fail.
TEST_CASE("The checkers find deliberate faults of the spread")
{
    const auto total = [](SpreadFault fault, int Breaches::*count) {
        int found = 0;
        for (std::uint64_t seed = 1; seed <= 20; ++seed)
            found += breachesOf(seed, fault).*count;
        return found;
    };
    CHECK(total(SpreadFault::InstallLower, &Breaches::reverted) > 0);
    CHECK(total(SpreadFault::IgnoreDigest, &Breaches::damaged) > 0);
    CHECK(total(SpreadFault::NeverTakeOver, &Breaches::late) > 0);
}
