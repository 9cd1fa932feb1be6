#include "CrashEvidence.h"

#include "../../Base/Hash.h"

#include <algorithm>
#include <bit>
#include <iterator>
#include <numeric>
#include <tuple>
#include <utility>

namespace fuchsialb {

namespace {

    // Doublings beyond this exceed the lifetime of a report.
    constexpr std::size_t maxTrialDoublings = 16;

    using Parts = std::vector<PromptPartId>;

    bool isBefore(const SuspectPart& suspect, PromptPartId part) { return suspect.part < part; }

    /// \param suspects Ordered by their ids.
    const SuspectPart* find(const std::vector<SuspectPart>& suspects, PromptPartId part)
    {
        const auto found = std::lower_bound(suspects.begin(), suspects.end(), part, isBefore);
        return found != suspects.end() && found->part == part ? &*found : nullptr;
    }

    bool contains(const Parts& parts, PromptPartId part)
    {
        return std::find(parts.begin(), parts.end(), part) != parts.end();
    }

    Parts sorted(Parts parts)
    {
        std::sort(parts.begin(), parts.end());
        return parts;
    }

    /// Appends a number as bytes, the same on every host.
    void append(std::string& bytes, std::uint64_t number)
    {
        for (std::size_t i = 0; i < sizeof(number); ++i)
            bytes += static_cast<char>(number >> (i * 8U) & 0xffU);
    }

    std::uint64_t hashOf(const RunnerProcess& process, const TargetId& service, std::uint64_t id,
        const std::vector<SuspectPart>& suspects)
    {
        // Each text is followed by a byte that can't be part of it.
        std::string bytes = process.runner.value() + '\n' + service.value() + '\n';
        append(bytes, static_cast<std::uint64_t>(process.startedAt));
        append(bytes, id);
        for (const SuspectPart& suspect : suspects) {
            append(bytes, suspect.part.value());
            append(bytes, suspect.position);
            append(bytes, suspect.answerBits);
        }
        return hash64(bytes);
    }

    std::uint64_t idOf(const std::vector<SuspectPart>& suspects)
    {
        std::string bytes;
        for (const SuspectPart& suspect : suspects)
            append(bytes, suspect.part.value());
        return hash64(bytes);
    }

} // namespace

void CrashEvidence::recordAnswer(
    const TargetId& service, const std::vector<PromptPartId>& parts, TimePoint startedAt, TimePoint now)
{
    m_answers.record(service, parts, now);
    if (m_reports.empty())
        return;
    const Parts answered = sorted(parts);
    std::size_t removed = 0;
    for (Report& report : m_reports) {
        if (report.service != service || report.endedAt >= startedAt)
            continue;
        removed += std::erase_if(report.suspects, [&](const SuspectPart& suspect) {
            return std::binary_search(answered.begin(), answered.end(), suspect.part);
        });
    }
    if (removed > 0)
        evaluate();
}

bool CrashEvidence::recordCrash(const RunnerProcess& process, const TargetId& service,
    const std::vector<PromptPartId>& parts, TimePoint endedAt, TimePoint now)
{
    PartPositions positions;
    std::uint32_t position = 0;
    for (const PromptPartId part : parts)
        positions[part] = position++;
    return recordCrashUnder(process, service, positions, endedAt, now);
}

bool CrashEvidence::recordCrashUnder(
    const RunnerProcess& process, const TargetId& service, const PartPositions& parts, TimePoint endedAt, TimePoint now)
{
    if (parts.empty() || now - endedAt >= m_limits.lifetime)
        return false;
    Report report { process, service, 0, {}, endedAt };
    report.suspects.reserve(parts.size());
    for (const auto& [part, position] : parts)
        report.suspects.push_back({ part, position });
    report.id = idOf(report.suspects);
    if (!add(std::move(report)))
        return false;
    evaluate();
    return true;
}

bool CrashEvidence::merge(const std::vector<CrashReport>& reports, TimePoint now)
{
    bool changed = false;
    for (const CrashReport& report : reports) {
        if (report.id != 0 && report.age < m_limits.lifetime)
            changed = add({ report.process, report.service, report.id, report.suspects, now - report.age }) || changed;
    }
    if (changed)
        evaluate();
    return changed;
}

bool CrashEvidence::add(Report report)
{
    for (SuspectPart& suspect : report.suspects)
        suspect.answerBits = std::max(suspect.answerBits, answerBits(report.service, suspect.part));
    const auto known = std::find_if(m_reports.begin(), m_reports.end(), [&](const Report& other) {
        return other.id == report.id && other.process == report.process && other.service == report.service;
    });
    if (known == m_reports.end()) {
        const std::uint64_t id = report.id;
        m_reports.push_back(std::move(report));
        limitReports();
        limitSuspects();
        // One that tells less than all others was removed again at once.
        const bool isKept = m_reports.back().id == id;
        m_additions += isKept ? 1 : 0;
        return isKept;
    }
    bool changed = false;
    std::vector<SuspectPart> merged;
    for (const SuspectPart& suspect : known->suspects) {
        const SuspectPart* other = find(report.suspects, suspect.part);
        if (other)
            merged.push_back({ suspect.part, std::max(suspect.position, other->position),
                std::max(suspect.answerBits, other->answerBits) });
        changed = changed || !other || merged.back() != suspect;
    }
    known->suspects = std::move(merged);
    return changed;
}

void CrashEvidence::limitReports()
{
    if (m_reports.size() <= m_limits.maxReports)
        return;
    // Those that tell nothing any more go first.
    const auto least = std::min_element(m_reports.begin(), m_reports.end(), [](const Report& a, const Report& b) {
        const auto rank = [](const Report& report) { return std::pair(!report.suspects.empty(), report.endedAt); };
        return rank(a) < rank(b);
    });
    m_reports.erase(least);
}

CrashEvidence::ProcessCounts CrashEvidence::processCounts() const
{
    std::vector<const Report*> byProcess;
    byProcess.reserve(m_reports.size());
    for (const Report& report : m_reports)
        byProcess.push_back(&report);
    std::sort(
        byProcess.begin(), byProcess.end(), [](const Report* a, const Report* b) { return a->process < b->process; });
    ProcessCounts counts;
    // The last process that a part was counted for, since several reports may be of one process.
    absl::flat_hash_map<std::uint64_t, const RunnerProcess*> countedFor;
    const RunnerProcess* process = nullptr;
    for (const Report* report : byProcess) {
        if (!process || *process != report->process)
            process = &report->process;
        const std::uint64_t serviceHash = hash64(report->service.value());
        for (const SuspectPart& suspect : report->suspects) {
            const std::uint64_t key = servicePartHash(serviceHash, suspect.part);
            if (std::exchange(countedFor[key], process) != process)
                ++counts[key];
        }
    }
    return counts;
}

void CrashEvidence::limitSuspects()
{
    const std::size_t total = std::accumulate(m_reports.begin(), m_reports.end(), std::size_t(0),
        [](std::size_t sum, const Report& report) { return sum + report.suspects.size(); });
    if (total <= m_limits.maxSuspects)
        return;
    // The cause is at more runners that ended than others; it is answered less often, and it is nearer to the end of
    // the prompt than parts that all requests share.
    using Rank = std::tuple<std::size_t, std::int64_t, std::uint32_t, PromptPartId>;
    const ProcessCounts counts = processCounts();
    const auto rankIn = [&counts](const Report& report) {
        return [&counts, service = hash64(report.service.value())](const SuspectPart& suspect) {
            return Rank { counts.at(servicePartHash(service, suspect.part)), -std::int64_t(suspect.answerBits),
                suspect.position, suspect.part };
        };
    };
    std::vector<Rank> ranks;
    ranks.reserve(total);
    for (const Report& report : m_reports)
        std::transform(report.suspects.begin(), report.suspects.end(), std::back_inserter(ranks), rankIn(report));
    const auto least = ranks.begin() + static_cast<std::ptrdiff_t>(total - m_limits.maxSuspects);
    std::nth_element(ranks.begin(), least, ranks.end());
    const Rank lowestKept = *least;
    for (Report& report : m_reports)
        std::erase_if(report.suspects,
            [&, rank = rankIn(report)](const SuspectPart& suspect) { return rank(suspect) < lowestKept; });
}

void CrashEvidence::expire(TimePoint now)
{
    const auto removed
        = std::erase_if(m_reports, [&](const Report& report) { return now - report.endedAt >= m_limits.lifetime; });
    std::erase_if(m_trials, [&](const auto& trial) { return now >= trial.second; });
    if (removed > 0)
        evaluate();
}

std::vector<CrashReport> CrashEvidence::reports(TimePoint now) const
{
    std::vector<CrashReport> list;
    list.reserve(m_reports.size());
    for (const Report& report : m_reports)
        list.push_back({ report.process, report.service, report.id, report.suspects,
            std::max(Duration(0), now - report.endedAt) });
    return list;
}

const CrashEvidence::Quarantine* CrashEvidence::quarantine(
    const TargetId& service, const std::vector<PromptPartId>& parts) const
{
    for (const auto& [part, quarantine] : m_quarantined) {
        if (part.first == service && contains(parts, part.second))
            return &quarantine;
    }
    return nullptr;
}

bool CrashEvidence::beginTrial(const TargetId& service, const PromptPartId& part, TimePoint now)
{
    const ServicePart key { service, part };
    const auto found = m_quarantined.find(key);
    const auto running = m_trials.find(key);
    if (found == m_quarantined.end() || now < found->second.trialAt
        || (running != m_trials.end() && now < running->second))
        return false;
    m_trials[key] = now + m_limits.trialTime;
    return true;
}

bool CrashEvidence::isSuspect(
    const RunnerProcess& process, const TargetId& service, const std::vector<PromptPartId>& parts) const
{
    if (const auto explained = m_explained.find(process); explained != m_explained.end())
        return explained->second.first == service && contains(parts, explained->second.second);
    return std::any_of(m_reports.begin(), m_reports.end(), [&](const Report& report) {
        return report.process == process && report.service == service
            && std::any_of(parts.begin(), parts.end(), [&](PromptPartId part) { return find(report.suspects, part); });
    });
}

std::size_t CrashEvidence::crashCount(const std::set<RunnerProcess>& processes) const
{
    std::vector<TimePoint> ends;
    ends.reserve(processes.size());
    for (const RunnerProcess& process : processes)
        ends.push_back(m_ends.at(process));
    std::sort(ends.begin(), ends.end());
    std::size_t count = 0;
    TimePoint windowStart {};
    for (const TimePoint end : ends) {
        if (count > 0 && end - windowStart < m_limits.crashWindow)
            continue;
        windowStart = end;
        ++count;
    }
    return count;
}

std::uint32_t CrashEvidence::answerBits(const TargetId& service, PromptPartId part) const
{
    return static_cast<std::uint32_t>(std::bit_width(m_answers.count(service, part)));
}

std::size_t CrashEvidence::requiredCrashes(const Candidate& candidate) const
{
    // One more for each doubling of the answers.
    return m_limits.minCrashes + std::min<std::size_t>(candidate.answerBits, m_limits.maxFurtherCrashes);
}

std::map<ServicePart, CrashEvidence::Candidate> CrashEvidence::candidates(
    const ProcessCounts& counts, const std::set<RunnerProcess>& explained) const
{
    std::map<ServicePart, Candidate> found;
    for (const Report& report : m_reports) {
        if (explained.contains(report.process))
            continue;
        const std::uint64_t serviceHash = hash64(report.service.value());
        for (const SuspectPart& suspect : report.suspects) {
            if (counts.at(servicePartHash(serviceHash, suspect.part)) < m_limits.minCrashes)
                continue;
            Candidate& candidate = found[{ report.service, suspect.part }];
            candidate.processes.insert(report.process);
            candidate.position = std::max(candidate.position, suspect.position);
            candidate.answerBits = std::max(candidate.answerBits, suspect.answerBits);
        }
    }
    return found;
}

void CrashEvidence::evaluate()
{
    m_quarantined.clear();
    m_explained.clear();
    m_ends.clear();
    for (const Report& report : m_reports) {
        const auto [found, isNew] = m_ends.emplace(report.process, report.endedAt);
        found->second = std::min(found->second, report.endedAt);
    }
    std::set<RunnerProcess> explained;
    const ProcessCounts counts = processCounts();
    while (true) {
        using Rank = std::tuple<std::ptrdiff_t, std::ptrdiff_t, std::uint32_t>;
        std::optional<Rank> bestRank;
        ServicePart best;
        Candidate bestCandidate;
        for (const auto& [part, candidate] : candidates(counts, explained)) {
            const auto margin = static_cast<std::ptrdiff_t>(crashCount(candidate.processes))
                - static_cast<std::ptrdiff_t>(requiredCrashes(candidate));
            const Rank rank { margin, -static_cast<std::ptrdiff_t>(candidate.answerBits), candidate.position };
            if (margin >= 0 && (!bestRank || rank > *bestRank)) {
                bestRank = rank;
                best = part;
                bestCandidate = candidate;
            }
        }
        if (!bestRank)
            break;
        TimePoint lastEnd {};
        for (const RunnerProcess& process : bestCandidate.processes) {
            lastEnd = std::max(lastEnd, m_ends.at(process));
            m_explained.emplace(process, best);
            explained.insert(process);
        }
        const std::size_t crashes = crashCount(bestCandidate.processes);
        const std::size_t doublings = std::min(crashes - requiredCrashes(bestCandidate), maxTrialDoublings);
        m_quarantined[best] = { best.second, crashes, lastEnd + m_limits.firstTrial * (1U << doublings) };
    }
    m_digest = 0;
    for (const Report& report : m_reports)
        m_digest ^= hashOf(report.process, report.service, report.id, report.suspects);
}

} // namespace fuchsialb
