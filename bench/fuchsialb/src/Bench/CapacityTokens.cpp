#include "CapacityMeasurements.h"
#include "CapacityProbe.h"
#include "CapacitySample.h"
#include "fuchsialb/Member.h"
#include "fuchsialb/Wire.h"
#include "fuchsialb/src/Router/EntryTable.h"
#include "fuchsialb/src/Router/GroupChooser.h"
#include "fuchsialb/src/Router/SchedulerTable.h"

#include <fmt/format.h>

#include <memory>

namespace fuchsialb::bench {

using namespace std::chrono_literals;

namespace {

    const HostId entryHost { "host-00-000" };
    const HostId schedulerHost { "host-00-001" };
    // The average of 9.2 million tokens/s over 29,000 requests/s.
    constexpr std::uint32_t averageTokens = 317;
    constexpr std::uint32_t requestsInParallel = 32;

    ClaimOptions claimOptions()
    {
        ClaimOptions options;
        options.unixSeconds = [] { return std::int64_t { 0 }; };
        return options;
    }

    /// CPU microseconds and bytes of all tokens of one request.
    struct TokenCost {
        double scheduler = 0;
        double seal = 0;
        double open = 0;
        double entry = 0;
        double bytes = 0;
    };

    struct KeptBytes {
        double entry = 0;
        double scheduler = 0;
    };

    /// \brief An entry table and a scheduler table joined by sealed messages.
    class TokenPath {
    public:
        TokenPath()
            : m_configuration(std::make_shared<const Configuration>(sampleConfiguration(12, 10, 1, 12)))
        {
            m_clock.advance(1h);
            const Member self { schedulerHost, DataCentreId("dc-00"), "10.0.0.2:7000", MemberState::Alive,
                Incarnation(1), ConfigurationVersion(1) };
            m_membership = Membership::create(self, {}, m_clock, m_random).value();
            m_chooser = std::make_unique<internal::GroupChooser>(entryHost, DataCentreId("dc-00"), m_clock, m_random);
            m_chooser->configure(*m_configuration);
            m_chooser->onMembers(*m_membership);
            m_entries = std::make_unique<internal::EntryTable>(
                RouterFault::None, *m_chooser, *m_membership, m_clock, m_random);
            m_entries->configure(m_configuration);
            m_schedulers
                = std::make_unique<internal::SchedulerTable>(claimOptions(), RouterFault::None, m_clock, m_random);
            m_schedulers->configure(m_configuration);
            m_schedulers->own({ GroupId("group-000") });
        }

        std::vector<StartRun> start(std::uint32_t count, std::uint32_t tokens)
        {
            for (std::uint32_t i = 0; i < count; ++i)
                m_entries->arrive(sampleRequest(m_next++, tokens));
            for (const internal::EntryOutput& output : m_entries->takeOutputs())
                m_schedulers->submit(entryHost, std::get<Submit>(output.message));
            m_schedulers->settle();
            std::vector<StartRun> runs;
            for (const Action& action : m_schedulers->takeActions()) {
                if (const auto* run = std::get_if<StartRun>(&action))
                    runs.push_back(*run);
            }
            deliver(m_schedulers->takeOutputs());
            return runs;
        }

        void token(const std::vector<StartRun>& runs, std::uint32_t position, TokenCost& cost)
        {
            const double start = threadCpuMicroseconds();
            for (const StartRun& run : runs) {
                m_schedulers->onToken({ run.request, run.attempt, run.epoch, position, "word" });
                m_schedulers->settle();
            }
            const auto outputs = m_schedulers->takeOutputs();
            const double scheduled = threadCpuMicroseconds();
            std::vector<std::string> sealed;
            sealed.reserve(outputs.size());
            for (const auto& output : outputs)
                sealed.push_back(seal(
                    m_keys, schedulerHost, entryHost, Incarnation(1'700'000'000'000), ++m_sequence, output.message));
            const double sent = threadCpuMicroseconds();
            std::vector<Opened> opened;
            opened.reserve(sealed.size());
            for (const std::string& bytes : sealed)
                opened.push_back(open(m_keys, entryHost, bytes).value());
            const double received = threadCpuMicroseconds();
            for (const Opened& message : opened)
                m_entries->onTokens(schedulerHost, std::get<TokensDelivered>(message.message));
            m_entries->takeActions();
            const double delivered = threadCpuMicroseconds();
            cost.scheduler += scheduled - start;
            cost.seal += sent - scheduled;
            cost.open += received - sent;
            cost.entry += delivered - received;
            for (const std::string& bytes : sealed)
                cost.bytes += static_cast<double>(bytes.size());
        }

        void finish(const std::vector<StartRun>& runs)
        {
            for (const StartRun& run : runs)
                m_schedulers->onRunFinished({ run.request, run.attempt, run.epoch, "length" });
            m_schedulers->settle();
            m_schedulers->takeActions();
            deliver(m_schedulers->takeOutputs());
        }

        /// Destroys both tables. \return What each of them held.
        KeptBytes destroy()
        {
            const std::int64_t all = liveBytes();
            m_entries.reset();
            const std::int64_t withoutEntries = liveBytes();
            m_schedulers.reset();
            return { static_cast<double>(all - withoutEntries), static_cast<double>(withoutEntries - liveBytes()) };
        }

        void pass(Duration time)
        {
            m_clock.advance(time);
            m_schedulers->tick();
            m_schedulers->settle();
        }

    private:
        void deliver(const std::vector<internal::SchedulerOutput>& outputs)
        {
            for (const internal::SchedulerOutput& output : outputs) {
                if (const auto* accepted = std::get_if<Accepted>(&output.message))
                    m_entries->onAccepted(schedulerHost, *accepted);
                else if (const auto* finished = std::get_if<Finished>(&output.message))
                    m_entries->onFinished(schedulerHost, *finished);
            }
            m_entries->takeActions();
        }

        ManualClock m_clock;
        Random m_random { 1 };
        EnvelopeKeys m_keys { "fleet", std::string(32, 'k'), "" };
        std::shared_ptr<const Configuration> m_configuration;
        std::unique_ptr<Membership> m_membership;
        std::unique_ptr<internal::GroupChooser> m_chooser;
        std::unique_ptr<internal::EntryTable> m_entries;
        std::unique_ptr<internal::SchedulerTable> m_schedulers;
        std::uint64_t m_next = 1;
        std::uint64_t m_sequence = 0;
    };

    TokenCost tokenCost(std::uint32_t tokens, int rounds)
    {
        TokenPath path;
        TokenCost cost;
        double requests = 0;
        for (int round = 0; round < rounds; ++round) {
            const auto runs = path.start(requestsInParallel, tokens);
            for (std::uint32_t position = 0; position < tokens; ++position)
                path.token(runs, position, cost);
            path.finish(runs);
            requests += static_cast<double>(runs.size());
            // Lets the tables forget finished requests, so that rounds don't differ.
            path.pass(12s);
        }
        if (requests == 0)
            return {};
        return { cost.scheduler / requests, cost.seal / requests, cost.open / requests, cost.entry / requests,
            cost.bytes / requests };
    }

    KeptBytes keptBytes(std::uint32_t requests, bool finished)
    {
        TokenPath path;
        for (std::uint32_t done = 0; done < requests;) {
            const auto runs = path.start(requestsInParallel, averageTokens);
            TokenCost ignored;
            for (std::uint32_t position = 0; position < averageTokens; ++position)
                path.token(runs, position, ignored);
            if (finished)
                path.finish(runs);
            if (runs.empty())
                break;
            done += static_cast<std::uint32_t>(runs.size());
        }
        return path.destroy();
    }

    void addKept(
        CapacityReport& report, const std::string& state, const std::vector<std::uint32_t>& sizes, bool finished)
    {
        CapacitySeries entry { "entry_bytes_" + state, "requests " + state, "bytes", true, {} };
        CapacitySeries scheduler { "scheduler_bytes_" + state, "requests " + state, "bytes", true, {} };
        for (std::uint32_t size : sizes) {
            const KeptBytes kept = keptBytes(size, finished);
            entry.points.push_back({ double(size), kept.entry });
            scheduler.points.push_back({ double(size), kept.scheduler });
        }
        report.add(entry);
        report.add(scheduler);
    }

} // namespace

void measureTokens(CapacityReport& report, bool quick)
{
    const std::string x = "tokens of a request";
    CapacitySeries scheduler { "scheduler_token_us", x, "CPU us", false, {} };
    CapacitySeries sealing { "seal_token_us", x, "CPU us", false, {} };
    CapacitySeries opening { "open_token_us", x, "CPU us", false, {} };
    CapacitySeries entry { "entry_token_us", x, "CPU us", false, {} };
    CapacitySeries bytes { "token_link_bytes", x, "sealed bytes", true, {} };
    for (std::uint32_t tokens : { 50U, 100U, 200U, 400U }) {
        const TokenCost cost = tokenCost(tokens, quick ? 2 : 20);
        const double size = tokens;
        scheduler.points.push_back({ size, cost.scheduler });
        sealing.points.push_back({ size, cost.seal });
        opening.points.push_back({ size, cost.open });
        entry.points.push_back({ size, cost.entry });
        bytes.points.push_back({ size, cost.bytes });
    }
    for (const CapacitySeries& series : { scheduler, sealing, opening, entry, bytes })
        report.add(series);
    addKept(report, "finished", { 64, 128, 256, 512 }, true);
    addKept(report, "running", { 32, 64, 96, 128 }, false);
}

} // namespace fuchsialb::bench
