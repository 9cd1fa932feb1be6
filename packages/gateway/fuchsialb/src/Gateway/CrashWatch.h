#pragma once

#include "GatewayContext.h"

#include <map>
#include <memory>
#include <string>
#include <utility>
#include <vector>

namespace fuchsialb {

/// \brief Finds out whether the runner of a run that broke off has ended, and reports the run as evidence if it has.
///
/// A broken connection alone proves nothing: responses get lost, and runners cut connections. The process has ended if
/// its address accepts no connection any more, or if the runner or the registry tells of a later start there. The end
/// of a runner that drains is expected and is no evidence.
class CrashWatch {
public:
    enum class Finding : unsigned char {
        /// The runner was asked and has not answered yet.
        Asked,
        /// It could not be asked; the registry may tell later.
        Unknown,
        Alive,
        Ended,
    };

    explicit CrashWatch(GatewayContext& context);
    ~CrashWatch();
    CrashWatch(const CrashWatch&) = delete;
    CrashWatch& operator=(const CrashWatch&) = delete;

    /// Examines the runner of a run that broke off before it was answered, also one that was found alive before.
    /// \param parts The shared parts of the prompt.
    void examine(const RunnerEntry& runner, const TargetId& service, const std::vector<PromptPartId>& parts);
    /// \return What is known of a runner that was examined within the last few seconds, otherwise `Unknown`.
    Finding finding(const RunnerProcess& process) const;
    /// Looks at the registry, forgets what is too old and logs parts that are quarantined or no longer so.
    void tick(TimePoint now);

private:
    struct Case {
        std::string address;
        TimePoint brokenAt {};
        Finding finding = Finding::Asked;
        /// Shared parts of the requests that broke off there, by their services.
        std::map<TargetId, CrashEvidence::PartPositions> parts;
        std::size_t requests = 0;
    };

    void ask(const RunnerProcess& process, const std::string& address);
    void settle(const RunnerProcess& process, Finding finding);
    static void addParts(CrashEvidence::PartPositions& known, const std::vector<PromptPartId>& parts);
    void report(const RunnerProcess& process, const TargetId& service, const CrashEvidence::PartPositions& parts,
        TimePoint endedAt);
    /// \return Whether the registry names a later start at the address or under the id.
    bool hasStartedAgain(const RunnerProcess& process, const std::string& address) const;

    void logQuarantines();

    GatewayContext& m_context;
    /// Quarantined parts as logged, with the number of crashes.
    std::map<ServicePart, std::size_t> m_logged;
    std::map<RunnerProcess, Case> m_cases;
    std::shared_ptr<bool> m_alive = std::make_shared<bool>(true);
};

} // namespace fuchsialb
