#include "tests/support/FleetDataCentre.h"

#include <catch2/catch.hpp>

#include <algorithm>
#include <random>
#include <string>

using namespace fuchsialb;
using namespace fuchsialb::test;

namespace {

const TargetId model("model");
const PromptPartId crashing("crashing");

/// \brief Hosts of a data centre that send requests to runners, which end under one part of a prompt or by themselves.
///
/// A request is answered one step after it was sent, unless its runner ends before.
class CrashWorld {
public:
    struct Settings {
        std::size_t hosts = 18;
        std::uint32_t seed = 1;
        bool hasCrashingPart = false;
        /// Steps of 100 ms.
        int steps = 200;
    };

    explicit CrashWorld(const Settings& settings)
        : m_settings(settings)
        , m_random(settings.seed)
        , m_dataCentre(settings.hosts)
        , m_runners(runnerCount)
    {
        m_dataCentre.run(3s);
    }

    void run()
    {
        for (m_step = 0; m_step < m_settings.steps; ++m_step) {
            endSomeRunners();
            finishRequests();
            restartSomeHosts();
            sendRequests();
            m_dataCentre.step();
            countWrongQuarantines();
        }
    }

    /// \return Requests with the crashing part sent more than three seconds after the fifth end of a runner under it.
    std::size_t lateSends() const
    {
        constexpr std::size_t crashes = 5;
        if (m_crashes.size() < crashes)
            return 0;
        return static_cast<std::size_t>(std::count_if(
            m_sends.begin(), m_sends.end(), [&](TimePoint at) { return at > m_crashes[crashes - 1] + 3s; }));
    }

    std::size_t crashes() const { return m_crashes.size(); }
    std::size_t wrongQuarantines() const { return m_wrongQuarantines; }
    std::size_t soundRefused() const { return m_soundRefused; }

private:
    static constexpr std::size_t runnerCount = 12;

    struct Runner {
        int starts = 0;
        TimePoint downUntil {};
        bool ends = false;
    };

    struct Sent {
        Host* host = nullptr;
        std::vector<PromptPartId> parts;
        std::size_t runner = 0;
        bool crashes = false;
    };

    std::size_t below(std::size_t bound) { return m_random() % bound; }
    Host& anyHost() { return *m_dataCentre.hosts[below(m_dataCentre.hosts.size())]; }

    void endSomeRunners()
    {
        constexpr std::size_t rackSize = 5;
        if (below(40) == 0)
            m_runners[below(runnerCount)].ends = true;
        if (m_step == 120) {
            for (std::size_t i = 0; i < rackSize; ++i)
                m_runners[i].ends = true;
        }
    }

    void finishRequests()
    {
        for (const Sent& sent : m_sent) {
            Runner& runner = m_runners[sent.runner];
            if (sent.crashes && !runner.ends) {
                runner.ends = true;
                m_crashes.push_back(m_dataCentre.now);
            }
        }
        for (const Sent& sent : std::exchange(m_sent, {})) {
            const Runner& runner = m_runners[sent.runner];
            const RunnerProcess process { EndpointId("r" + std::to_string(sent.runner)), runner.starts };
            const TimePoint now = m_dataCentre.now;
            if (runner.ends)
                sent.host->crashes.recordCrash(process, model, sent.parts, now, now);
            else
                sent.host->crashes.recordAnswer(model, sent.parts, now, now);
        }
        for (Runner& runner : m_runners) {
            if (std::exchange(runner.ends, false)) {
                runner.downUntil = m_dataCentre.now + 1500ms;
                ++runner.starts;
            }
        }
    }

    void restartSomeHosts()
    {
        if (m_step != 60)
            return;
        for (std::size_t i = 0; i < m_dataCentre.hosts.size(); i += 3)
            m_dataCentre.hosts[i]->crashes = CrashEvidence();
    }

    void sendRequests()
    {
        const std::string shared = "shared" + std::to_string(below(3));
        for (std::size_t i = below(8); i > 0; --i)
            send({ PromptPartId(shared), PromptPartId("rare" + std::to_string(below(40))) }, false);
        if (m_settings.hasCrashingPart && below(3) == 0)
            send({ PromptPartId(shared), crashing }, true);
    }

    void send(std::vector<PromptPartId> parts, bool crashes)
    {
        Host& host = anyHost();
        const std::size_t runner = below(runnerCount);
        if (m_dataCentre.now < m_runners[runner].downUntil)
            return;
        if (host.crashes.quarantine(model, parts)) {
            m_soundRefused += crashes ? 0 : 1;
            return;
        }
        if (crashes)
            m_sends.push_back(m_dataCentre.now);
        m_sent.push_back({ &host, std::move(parts), runner, crashes });
    }

    void countWrongQuarantines()
    {
        for (const auto& host : m_dataCentre.hosts) {
            for (const auto& [part, quarantine] : host->crashes.quarantined())
                m_wrongQuarantines += part.second != crashing ? 1 : 0;
        }
    }

    Settings m_settings;
    std::mt19937 m_random;
    FleetDataCentre m_dataCentre;
    std::vector<Runner> m_runners;
    std::vector<Sent> m_sent;
    std::vector<TimePoint> m_sends;
    std::vector<TimePoint> m_crashes;
    std::size_t m_wrongQuarantines = 0;
    std::size_t m_soundRefused = 0;
    int m_step = 0;
};

} // namespace

// Guards against a series of crashes that goes on although the hosts could know its cause.
SCENARIO("a part under which runners end is contained beside other crashes, restarts and a lost rack")
{
    GIVEN("a fleet in which runners end under one part, and for other reasons")
    {
        const std::size_t hosts = GENERATE(5U, 18U, 36U);
        const std::uint32_t seed = GENERATE(range(1U, 21U));
        CrashWorld world({ hosts, seed, true });

        WHEN("requests with the part keep coming")
        {
            world.run();

            THEN("hardly any is sent once the hosts can know, and no other part is quarantined")
            {
                INFO("hosts " << hosts << ", seed " << seed << ", crashes " << world.crashes());
                CHECK(world.crashes() >= 2);
                CHECK(world.lateSends() <= 3);
                CHECK(world.wrongQuarantines() == 0);
                CHECK(world.soundRefused() == 0);
            }
        }
    }
}

// Guards against a service that is refused because its runners end for reasons apart from requests.
SCENARIO("runners that end for reasons apart from requests let no part be quarantined")
{
    GIVEN("a fleet whose runners end now and then, and several at once")
    {
        const std::uint32_t seed = GENERATE(range(1U, 101U));
        CrashWorld world({ 18, seed, false });

        WHEN("sound requests keep coming")
        {
            world.run();

            THEN("none of them is refused")
            {
                INFO("seed " << seed);
                CHECK(world.wrongQuarantines() == 0);
                CHECK(world.soundRefused() == 0);
            }
        }
    }
}
