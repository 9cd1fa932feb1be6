#include "CapacityMeasurements.h"
#include "CapacityProbe.h"
#include "CapacitySample.h"
#include "fuchsialb/Member.h"
#include "fuchsialb/Sched.h"
#include "fuchsialb/src/Router/GroupChooser.h"

#include <fmt/format.h>

#include <algorithm>
#include <memory>

namespace fuchsialb::bench {

using namespace std::chrono_literals;

namespace {

    constexpr std::uint32_t batch = 32;
    constexpr int quickRounds = 50;

    void endRuns(GroupScheduler& scheduler, const std::vector<StartRun>& runs)
    {
        for (const StartRun& run : runs) {
            for (std::uint32_t position = 0; position < run.maxTokens; ++position)
                scheduler.onToken(run.request, run.attempt, run.epoch, position, "t");
            scheduler.onRunFinished(run.request, run.attempt, run.epoch, "length");
        }
        scheduler.takeEffects();
    }

    /// \return CPU microseconds from `submit` to `StartRun` in a group of `runners`.
    double schedulerDecision(std::uint32_t runners, int rounds)
    {
        ManualClock clock;
        clock.advance(1h);
        Random random(1);
        const Configuration configuration = sampleConfiguration(runners, 10, 1, runners);
        const auto scheduler = GroupScheduler::create(GroupId("group-000"), configuration, clock, random).value();
        double cpu = 0;
        std::uint64_t number = 0;
        std::size_t started = 0;
        for (int round = 0; round < rounds; ++round) {
            std::vector<Request> requests;
            for (std::uint32_t i = 0; i < batch; ++i)
                requests.push_back(sampleRequest(number++, 1));
            const double before = threadCpuMicroseconds();
            for (Request& request : requests)
                scheduler->submit(std::move(request));
            const std::vector<Effect> effects = scheduler->takeEffects();
            cpu += threadCpuMicroseconds() - before;
            std::vector<StartRun> runs;
            for (const Effect& effect : effects) {
                if (const auto* start = std::get_if<StartRun>(&effect))
                    runs.push_back(*start);
            }
            started += runs.size();
            clock.advance(50ms);
            endRuns(*scheduler, runs);
            clock.advance(50ms);
            scheduler->tick();
            scheduler->takeEffects();
        }
        if (started * 10 < number * 9)
            fmt::print(stderr, "capacity: only {} of {} requests were dispatched at once\n", started, number);
        return started > 0 ? cpu / static_cast<double>(started) : 0;
    }

    struct ChooserCost {
        double choose = 0;
        double configure = 0;
        double memory = 0;
    };

    std::unique_ptr<Membership> loadedMembership(
        const Configuration& configuration, const ManualClock& clock, Random& random)
    {
        const Member self { HostId("host-000"), DataCentreId("dc-00"), "10.0.0.1:7000", MemberState::Alive,
            Incarnation(1), ConfigurationVersion(1) };
        auto membership = Membership::create(self, {}, clock, random).value();
        Probe probe;
        probe.sequence = 1;
        for (int i = 1; i < 155; ++i)
            probe.members.push_back({ HostId(fmt::format("host-{:03}", i)), DataCentreId("dc-00"),
                fmt::format("10.0.0.{}:7000", i + 1), MemberState::Alive, Incarnation(1), ConfigurationVersion(1) });
        membership->onMessage(HostId("host-001"), probe);
        std::set<GroupId> groups;
        for (const auto& [id, endpoint] : configuration.endpoints)
            groups.insert(endpoint.group);
        std::vector<GroupLoad> loads;
        for (const GroupId& group : groups) {
            GroupLoad load { group, HostId("host-001"), "10.0.0.2:7000", {}, 10, 64 };
            load.wait[Rank::Summary] = Duration(static_cast<std::int64_t>(random.below(100'000)));
            loads.push_back(std::move(load));
        }
        membership->setLoads(std::move(loads));
        return membership;
    }

    ChooserCost chooserCost(std::uint32_t runners, int rounds)
    {
        ManualClock clock;
        clock.advance(1h);
        Random random(1);
        const Configuration configuration = sampleConfiguration(runners, 10, 11, 12);
        const auto membership = loadedMembership(configuration, clock, random);
        const std::int64_t live = liveBytes();
        internal::GroupChooser chooser(HostId("host-000"), DataCentreId("dc-00"), clock, random);
        const double start = threadCpuMicroseconds();
        chooser.configure(configuration);
        chooser.onMembers(*membership);
        ChooserCost cost;
        cost.configure = threadCpuMicroseconds() - start;
        cost.memory = static_cast<double>(liveBytes() - live);
        std::vector<Request> requests;
        for (std::uint64_t i = 0; i < 256; ++i)
            requests.push_back(sampleRequest(i, 1));
        const double before = threadCpuMicroseconds();
        std::size_t chosen = 0;
        for (int round = 0; round < rounds; ++round) {
            for (const Request& request : requests)
                chosen += chooser.choose(request, *membership, {}) ? 1U : 0U;
            clock.advance(10ms);
        }
        cost.choose = (threadCpuMicroseconds() - before) / static_cast<double>(std::max<std::size_t>(chosen, 1));
        return cost;
    }

} // namespace

void takeDecisions(std::uint32_t runners) { schedulerDecision(runners, quickRounds); }

void measureDecisions(CapacityReport& report, bool quick)
{
    CapacitySeries decision { "scheduler_decision_us", "runners of the group", "CPU us", false, {} };
    for (std::uint32_t runners : { 4U, 8U, 16U })
        decision.points.push_back({ double(runners), schedulerDecision(runners, quick ? quickRounds : 1000) });
    report.add(decision);
    CapacitySeries choose { "group_choice_us", "runners of the fleet", "CPU us", false, {} };
    CapacitySeries configure { "chooser_configure_us", "runners of the fleet", "CPU us", false, {} };
    CapacitySeries memory { "chooser_bytes", "runners of the fleet", "bytes", true, {} };
    for (std::uint32_t runners : { 40U, 500U, 5000U }) {
        const ChooserCost cost = chooserCost(runners, quick ? 20 : 400);
        choose.points.push_back({ double(runners), cost.choose });
        configure.points.push_back({ double(runners), cost.configure });
        memory.points.push_back({ double(runners), cost.memory });
    }
    report.add(choose);
    report.add(configure);
    report.add(memory);
}

} // namespace fuchsialb::bench
