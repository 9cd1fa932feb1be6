#include "ClusterRecord.h"

#include "Cluster.h"

#include <fmt/format.h>

#include <algorithm>
#include <set>

namespace fuchsialb {

namespace {

    class Checker {
    public:
        explicit Checker(const ClusterRecord& record)
            : m_record(record)
        {
            for (const ClusterExecution& execution : record.executions)
                m_executed.insert(execution.request);
            for (const ClusterStep& step : record.steps)
                m_executed.insert(step.request);
        }

        // A non-idempotent call that ran twice is a doubled sheet or payment.
        void checkAtMostOnce()
        {
            std::map<std::string, int> runs;
            for (const ClusterExecution& execution : m_record.executions) {
                if (++runs[execution.key] == 2)
                    fail(fmt::format("key {} ran more than once", execution.key));
            }
        }

        // A caller told "not run" sends again; if the first ran after all, the work is doubled.
        void checkNotRun(RequestId id, const ClusterCall& call)
        {
            for (const Result& result : call.results) {
                if (result.outcome == Outcome::NotRun && m_executed.contains(id))
                    fail(fmt::format(
                        "request {} was told not-run ({}) but ran", toHex(id.value()), reasonName(result.reason)));
            }
        }

        void checkOneAnswer(RequestId id, const ClusterCall& call, bool settled)
        {
            if (call.results.size() > 1)
                fail(fmt::format("request {} got {} final answers", toHex(id.value()), call.results.size()));
            if (settled && call.results.empty() && !call.entryLost)
                fail(fmt::format("request {} got no final answer", toHex(id.value())));
        }

        // Guards against tokens that are repeated, lost, reordered or of another request.
        void checkTokens(RequestId id, const ClusterCall& call)
        {
            for (std::uint32_t i = 0; i < call.tokens.size(); ++i) {
                if (call.tokens[i] != clusterToken(call.request.prompt, i)) {
                    fail(fmt::format("request {} got a wrong token at position {}", toHex(id.value()), i));
                    return;
                }
            }
            if (call.results.empty() || call.results.front().outcome != Outcome::Completed
                || call.request.kind != TargetKind::Model)
                return;
            if (call.tokens.size() != call.request.maxTokens)
                fail(fmt::format("request {} was completed with {} of {} tokens", toHex(id.value()), call.tokens.size(),
                    call.request.maxTokens));
        }

        void checkServiceAnswer(RequestId id, const ClusterCall& call)
        {
            if (call.request.kind != TargetKind::Service || call.results.empty())
                return;
            const Result& result = call.results.front();
            if (result.outcome != Outcome::Completed)
                return;
            if (!result.replayed && result.body != call.request.body)
                fail(fmt::format("request {} got the answer of another call", toHex(id.value())));
            const auto ran
                = [&](const ClusterExecution& execution) { return execution.key == call.request.idempotencyKey; };
            if (std::none_of(m_record.executions.begin(), m_record.executions.end(), ran))
                fail(fmt::format("request {} was told completed but its call never ran", toHex(id.value())));
        }

        void checkLayers(std::uint32_t layers)
        {
            for (const ClusterStep& step : m_record.steps) {
                std::uint32_t next = 0;
                for (const LayerRange& range : step.layers) {
                    if (range.first != next)
                        fail(fmt::format("request {} position {}: layer {} follows layer {}",
                            toHex(step.request.value()), step.position, range.first, next));
                    next = range.end;
                }
                if (next != layers)
                    fail(fmt::format(
                        "request {} position {}: {} layers ran", toHex(step.request.value()), step.position, next));
            }
        }

        void checkVersions()
        {
            for (const auto& [host, versions] : m_record.versions) {
                for (std::size_t i = 1; i < versions.size(); ++i) {
                    if (versions[i] < versions[i - 1])
                        fail(
                            fmt::format("host {} went back from version {} to {}", host, versions[i - 1], versions[i]));
                }
            }
        }

        std::vector<std::string> violations;

    private:
        void fail(std::string line) { violations.push_back(std::move(line)); }

        const ClusterRecord& m_record;
        std::set<RequestId> m_executed;
    };

} // namespace

std::vector<std::string> checkCluster(const ClusterRecord& record, const ClusterCheckOptions& options)
{
    Checker checker(record);
    checker.checkAtMostOnce();
    checker.checkLayers(options.layers);
    checker.checkVersions();
    for (const auto& [id, call] : record.calls) {
        checker.checkNotRun(id, call);
        checker.checkOneAnswer(id, call, options.settled);
        checker.checkTokens(id, call);
        checker.checkServiceAnswer(id, call);
    }
    return checker.violations;
}

} // namespace fuchsialb
