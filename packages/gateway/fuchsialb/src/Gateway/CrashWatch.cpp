#include "CrashWatch.h"

#include <algorithm>

namespace fuchsialb {

namespace {

    // Within this time a runner that crashed is back, or the registry has removed it.
    constexpr Duration caseLifetime = std::chrono::seconds(5);
    constexpr Duration reportTimeout = std::chrono::milliseconds(400);
    // Different parts of the prompts at one runner; some hundred of the longest ones.
    constexpr std::size_t maxParts = 65'536;

    std::string_view findingName(CrashWatch::Finding finding)
    {
        switch (finding) {
        case CrashWatch::Finding::Asked:
            return "asked";
        case CrashWatch::Finding::Unknown:
            return "unknown";
        case CrashWatch::Finding::Alive:
            return "alive";
        case CrashWatch::Finding::Ended:
            return "ended";
        }
        return "";
    }

} // namespace

CrashWatch::CrashWatch(GatewayContext& context)
    : m_context(context)
{
}

CrashWatch::~CrashWatch() { *m_alive = false; }

void CrashWatch::examine(const RunnerEntry& runner, const TargetId& service, const std::vector<PromptPartId>& parts)
{
    const RunnerProcess process { runner.id, runner.startedAt };
    const auto [found, isNew] = m_cases.try_emplace(process);
    Case& examined = found->second;
    // The runs that broke off before were not the reason for what happens now.
    if (examined.finding == Finding::Alive) {
        examined.parts.clear();
        examined.requests = 0;
    }
    ++examined.requests;
    if (examined.finding == Finding::Ended) {
        CrashEvidence::PartPositions late;
        addParts(late, parts);
        report(process, service, late, examined.brokenAt);
        return;
    }
    addParts(examined.parts[service], parts);
    if (isNew || examined.finding != Finding::Asked) {
        examined.address = runner.address;
        examined.brokenAt = m_context.now();
        examined.finding = Finding::Asked;
        ask(process, runner.address);
    }
}

CrashWatch::Finding CrashWatch::finding(const RunnerProcess& process) const
{
    const auto found = m_cases.find(process);
    return found == m_cases.end() ? Finding::Unknown : found->second.finding;
}

void CrashWatch::ask(const RunnerProcess& process, const std::string& address)
{
    HttpRequest request = m_context.translator.reportRequest(address);
    request.timeout = reportTimeout;
    request.freshConnection = true;
    HttpHandlers handlers;
    handlers.onResponse = [this, alive = m_alive, process](const HttpResponse& response) {
        if (!*alive)
            return;
        const auto report = m_context.translator.report(response);
        const bool isLaterStart = report.ok() && report->startedAt > process.startedAt;
        settle(process, isLaterStart ? Finding::Ended : Finding::Alive);
    };
    handlers.onFailure = [this, alive = m_alive, process](const HttpFailure& failure) {
        if (*alive)
            settle(process, failure.refused ? Finding::Ended : Finding::Unknown);
    };
    if (!m_context.http.start(std::move(request), std::move(handlers)).ok())
        settle(process, Finding::Unknown);
}

void CrashWatch::settle(const RunnerProcess& process, Finding finding)
{
    const auto found = m_cases.find(process);
    if (found == m_cases.end() || found->second.finding == Finding::Ended)
        return;
    found->second.finding = finding;
    LogLine line("runner-examined");
    line.add("runner", process.runner.value()).add("started_at", process.startedAt);
    line.add("finding", findingName(finding));
    line.add("requests", static_cast<std::int64_t>(found->second.requests));
    m_context.log.log(line);
    m_context.metrics.count("runners_examined", "finding", findingName(finding));
    if (finding != Finding::Ended)
        return;
    for (const auto& [service, parts] : found->second.parts)
        report(process, service, parts, found->second.brokenAt);
}

void CrashWatch::addParts(CrashEvidence::PartPositions& known, const std::vector<PromptPartId>& parts)
{
    for (std::uint32_t position = 0; position < parts.size(); ++position) {
        if (known.size() >= maxParts && !known.contains(parts[position]))
            continue;
        std::uint32_t& largest = known[parts[position]];
        largest = std::max(largest, position);
    }
}

void CrashWatch::report(
    const RunnerProcess& process, const TargetId& service, const CrashEvidence::PartPositions& parts, TimePoint endedAt)
{
    const RunnerDirectory::Runner* runner = m_context.runners.find(process.runner);
    if (runner && runner->entry.startedAt == process.startedAt && runner->entry.draining)
        return;
    m_context.crashEvidence.recordCrashUnder(process, service, parts, endedAt, m_context.now());
}

bool CrashWatch::hasStartedAgain(const RunnerProcess& process, const std::string& address) const
{
    const auto& runners = m_context.runners.runners();
    return std::any_of(runners.begin(), runners.end(), [&](const auto& item) {
        const RunnerEntry& entry = item.second.entry;
        return (entry.id == process.runner || entry.address == address) && entry.startedAt > process.startedAt;
    });
}

void CrashWatch::tick(TimePoint now)
{
    std::vector<RunnerProcess> ended;
    for (const auto& [process, examined] : m_cases) {
        if (examined.finding == Finding::Unknown && hasStartedAgain(process, examined.address))
            ended.push_back(process);
    }
    for (const RunnerProcess& process : ended)
        settle(process, Finding::Ended);
    std::erase_if(m_cases, [&](const auto& item) { return now - item.second.brokenAt >= caseLifetime; });
    m_context.crashEvidence.expire(now);
    logQuarantines();
}

void CrashWatch::logQuarantines()
{
    std::map<ServicePart, std::size_t> current;
    for (const auto& [part, quarantine] : m_context.crashEvidence.quarantined())
        current.emplace(part, quarantine.crashes);
    if (current == m_logged)
        return;
    const auto logPart = [&](std::string_view event, const ServicePart& part, std::size_t crashes) {
        LogLine line(event);
        line.add("service", part.first.value()).add("part", part.second.text());
        line.add("crashes", static_cast<std::int64_t>(crashes));
        m_context.log.log(line);
    };
    for (const auto& [part, crashes] : current) {
        if (const auto found = m_logged.find(part); found == m_logged.end() || found->second != crashes)
            logPart("part-quarantined", part, crashes);
    }
    for (const auto& [part, crashes] : m_logged) {
        if (!current.contains(part))
            logPart("part-released", part, crashes);
    }
    m_context.metrics.set("quarantined_parts", static_cast<double>(current.size()));
    m_logged = std::move(current);
}

} // namespace fuchsialb
